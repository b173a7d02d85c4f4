/** @file cell_func.h Event handlers of a cell. They update its state and return the actions to perform. */
#ifndef CELL_FUNC_H
#define CELL_FUNC_H

#include "cell_base.h"

namespace quetzalspool {

/**
 * Creates a daemon's state for a cell.
 * @param id Name of the cell.
 * @param self Entry of this daemon that the record should contain; its term is ignored.
 * @param joinsAsMember Whether the daemon is to be a member of the cell.
 * @param timing Intervals of the lease protocol.
 * @param startedAt When the process started.
 * @return The state.
 */
cell_state startCell(cell_id id, cell_member self, bool joinsAsMember, const cell_timing &timing,
                     steady_time startedAt);

/**
 * Performs what is due: renewals, failure detection, resends and planned changes. To be called about every 25 ms.
 * @param state Cell.
 * @param now Present time.
 * @return Actions.
 */
cell_actions tick(cell_state &state, steady_time now);

/**
 * Handles a control message of this cell.
 * @param state Cell.
 * @param message Message.
 * @param from Sender of the message, to which answers are sent.
 * @param now Present time.
 * @return Actions.
 */
cell_actions handleMessage(cell_state &state, const control_message &message, const endpoint &from, steady_time now);

/**
 * Applies a record from the store or a peer, unless the known revision is as new.
 * @param state Cell.
 * @param stored Record with its revision.
 * @param now Present time.
 */
void applyRecord(cell_state &state, const stored_record &stored, steady_time now);

/**
 * Completes a read of the record from the store.
 * @param state Cell.
 * @param stored Record with its revision; revision 0 if there is none.
 * @param now Present time.
 */
void completeRead(cell_state &state, const stored_record &stored, steady_time now);

/**
 * Ends a read of the record that failed.
 * @param state Cell.
 * @param now Present time.
 */
void failRead(cell_state &state, steady_time now);

/**
 * Completes a write of the record.
 * @param state Cell.
 * @param record Value written.
 * @param outcome Result of the write.
 * @param revision Revision after the write, if it was stored.
 * @param now Present time.
 * @return Actions.
 */
cell_actions completeWrite(cell_state &state, const cell_record &record, write_outcome outcome,
                           revision_number revision, steady_time now);

/**
 * Records that no request of a released slot is in flight, and reports it to the coordinator.
 * @param state Cell.
 * @param slot Slot.
 * @return Actions.
 */
cell_actions completeDrain(cell_state &state, const fenced_slot &slot);

/**
 * Makes the daemon leave its cell.
 * @param state Cell.
 */
void requestStop(cell_state &state);

/**
 * Lists the slots that this daemon may serve while its lease is valid.
 * @param state Cell.
 * @return Slots with their fences.
 */
std::vector<fenced_slot> servedSlots(const cell_state &state);

/**
 * Lists the slots that this daemon has released and whose admitted requests have not finished.
 * @param state Cell.
 * @return Slots with their fences, as long as they have these fences in the record.
 */
std::vector<fenced_slot> drainingSlots(const cell_state &state);

/**
 * Checks whether a member is unresponsive, by the renewals that this voter received.
 * @param state Cell.
 * @param member Member.
 * @param now Present time.
 * @return Whether no renewal has arrived for the failure timeout.
 */
bool isUnresponsive(const cell_state &state, const cell_member &member, steady_time now);

/**
 * Checks whether this daemon coordinates reassignments: it is the first live voter that is also a member.
 * @param state Cell.
 * @param now Present time.
 * @return Whether it is the coordinator.
 */
bool isCoordinator(const cell_state &state, steady_time now);

/**
 * Computes the next record that this daemon should write.
 * @param state Cell.
 * @param now Present time.
 * @return The changed record, or nothing if no change is needed.
 */
std::optional<cell_record> planRecord(cell_state &state, steady_time now);

/**
 * Chooses the voters of a cell: live members spread over failure domains, and one voter from another region.
 * @param state Cell.
 * @param now Present time.
 * @return Chosen voters; those that stay keep their admission number, new ones have 0.
 */
std::vector<cell_voter> chooseVoters(const cell_state &state, steady_time now);

} // namespace quetzalspool

#endif // CELL_FUNC_H
