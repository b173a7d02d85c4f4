/** @file control.h The control thread. */
#ifndef CONTROL_H
#define CONTROL_H

#include "control_base.h"

namespace quetzalspool {

/**
 * Binds the control socket and starts all loops on the thread's context.
 * @param control Control state with its shared state set.
 * @param why Receives the reason if something can't be started.
 * @return Whether it was started.
 */
bool startControl(control_state &control, last_reason &why);

/**
 * Performs the actions of a cell, then publishes what changed.
 * @param control Control state.
 * @param cell Cell.
 * @param actions Actions.
 */
void performActions(control_state &control, const cell_id &cell, cell_actions actions);

/**
 * Sends a control message.
 * @param control Control state.
 * @param to Destination.
 * @param message Message.
 */
void sendDatagram(control_state &control, const endpoint &to, const control_message &message);

/**
 * Brings the gate up to date with the own cell: open slots and the lease.
 * @param control Control state.
 */
void publishOwnership(control_state &control);

/**
 * Takes what the target beside this daemon announced.
 * @param control Control state.
 * @param facts Announcement; an empty pool means that the target is gone.
 * @param now Present time.
 */
void applyAnnouncement(control_state &control, const target_announcement &announcement, steady_time now);

/**
 * Starts a planned stop.
 * @param control Control state.
 */
void beginLeaving(control_state &control);

/**
 * Tells whether this daemon is no member of its cell any more.
 * @param control Control state.
 * @return Whether it has left.
 */
bool hasLeft(const control_state &control);

/**
 * The cell this daemon belongs to.
 * @param control Control state.
 * @return Cell.
 */
cell_state &ownCell(control_state &control);

} // namespace quetzalspool

#endif // CONTROL_H
