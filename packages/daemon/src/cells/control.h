/** @file control.h The control thread: timers, datagrams, cell actions. */
#ifndef CONTROL_H
#define CONTROL_H

#include "control_base.h"

namespace quetzalspool {

/**
 * Binds the control socket and starts all coroutines of the control thread.
 * @param control Control state with its shared state set.
 * @param why Receives the reason if the socket can't be bound.
 * @return Whether it was started.
 */
bool startControl(control_state &control, last_reason &why);

/**
 * Performs the actions that a cell has decided on.
 * @param control Control state.
 * @param cell Cell that decided on the actions.
 * @param actions Actions, performed in this order.
 */
void performActions(control_state &control, const cell_id &cell, cell_actions actions);

/**
 * Sends a control message as one datagram; it may get lost.
 * @param control Control state.
 * @param to Destination.
 * @param message Message.
 */
void sendDatagram(control_state &control, const endpoint &to, const control_message &message);

/**
 * Finds the distance to the daemon at an address.
 * @param control Control state.
 * @param to Peer address of the daemon.
 * @return The distance; region if the address is not known.
 */
byte_distance findDistance(control_state &control, const endpoint &to);

/**
 * Sets the served slots and the lease of admission control to those of the own cell.
 * @param control Control state.
 */
void publishOwnership(control_state &control);

/**
 * Applies an announcement of the target beside this daemon.
 * @param control Control state.
 * @param announcement Announcement; an empty pool means that the target is gone.
 * @param now Current time.
 */
void applyAnnouncement(control_state &control, const target_announcement &announcement, steady_time now);

/**
 * Starts a planned stop: new work is refused and the own slots are released. Does nothing if one was started.
 * @param control Control state.
 */
void beginLeaving(control_state &control);

/**
 * Returns whether this daemon is no longer a member of its cell.
 * @param control Control state.
 * @return Whether it has left.
 */
bool hasLeft(const control_state &control);

/**
 * Returns the cell this daemon belongs to.
 * @param control Control state.
 * @return State of the cell.
 */
cell_state &ownCell(control_state &control);

} // namespace quetzalspool

#endif // CONTROL_H
