/** @file cell_func.h Events of a cell: each takes the state and the present time and gives actions. */
#ifndef CELL_FUNC_H
#define CELL_FUNC_H

#include "cell_base.h"

namespace quetzalspool {

/**
 * Starts a daemon's view of a cell.
 * @param id Cell.
 * @param self The daemon as it wants to be listed; its term is ignored.
 * @param joinsAsMember Whether it is to be a member.
 * @param timing Intervals.
 * @param startedAt When the process started.
 * @return The state.
 */
cell_state startCell(cell_id id, cell_member self, bool joinsAsMember, const cell_timing &timing,
                     steady_time startedAt);

/**
 * Lets time pass: renewals, silence, resends, planned changes. Called every 25 ms or so.
 * @param state Cell.
 * @param now Present time.
 * @return Actions.
 */
cell_actions tick(cell_state &state, steady_time now);

/**
 * Takes a control message of this cell.
 * @param state Cell.
 * @param message Message.
 * @param from Where it came from; answers go there.
 * @param now Present time.
 * @return Actions.
 */
cell_actions handleMessage(cell_state &state, const control_message &message, const endpoint &from, steady_time now);

/**
 * Takes a record, from the store or a peer. An older revision than the known one is ignored.
 * @param state Cell.
 * @param stored Record with its revision.
 * @param now Present time.
 */
void applyRecord(cell_state &state, const stored_record &stored, steady_time now);

/**
 * Notes that the store answered a read of the record.
 * @param state Cell.
 * @param stored Record with its revision; revision 0 if there is none.
 * @param now Present time.
 */
void completeRead(cell_state &state, const stored_record &stored, steady_time now);

/**
 * Notes that a read of the record failed.
 * @param state Cell.
 * @param now Present time.
 */
void failRead(cell_state &state, steady_time now);

/**
 * Takes the outcome of a write.
 * @param state Cell.
 * @param record What was written.
 * @param outcome How it ended.
 * @param revision Revision after the write, if it was stored.
 * @param now Present time.
 * @return Actions.
 */
cell_actions completeWrite(cell_state &state, const cell_record &record, write_outcome outcome,
                           revision_number revision, steady_time now);

/**
 * Notes that a closed slot has no request in flight.
 * @param state Cell.
 * @param slot Slot.
 * @return Actions.
 */
cell_actions completeDrain(cell_state &state, const fenced_slot &slot);

/**
 * Asks the daemon to leave its cell.
 * @param state Cell.
 */
void requestStop(cell_state &state);

/**
 * Lists the slots this daemon may serve while its lease is valid.
 * @param state Cell.
 * @return Slots with their fences.
 */
std::vector<fenced_slot> servedSlots(const cell_state &state);

/**
 * Lists the slots that this daemon is giving back and whose requests are not over yet.
 * @param state Cell.
 * @return Slots with their fences, as long as the record still assigns them to this daemon under these.
 */
std::vector<fenced_slot> drainingSlots(const cell_state &state);

/**
 * Tells whether a member is silent, as far as this voter hears.
 * @param state Cell.
 * @param member Member.
 * @param now Present time.
 * @return Whether it has sent no renewal for the silence limit.
 */
bool isUnresponsive(const cell_state &state, const cell_member &member, steady_time now);

/**
 * Tells whether this daemon is the one to drive reassignments now: the first live voter that is a member.
 * @param state Cell.
 * @param now Present time.
 * @return Whether it drives.
 */
bool isCoordinator(const cell_state &state, steady_time now);

/**
 * Works out the record this daemon wants next.
 * @param state Cell.
 * @param now Present time.
 * @return A changed record, or nothing if the present one is as wanted.
 */
std::optional<cell_record> planRecord(cell_state &state, steady_time now);

/**
 * Chooses the set of voters for a cell: living members spread over failure domains, and one from another region.
 * @param state Cell.
 * @param now Present time.
 * @return Wanted voters; those that stay keep their admission.
 */
std::vector<cell_voter> chooseVoters(const cell_state &state, steady_time now);

} // namespace quetzalspool

#endif // CELL_FUNC_H
