/** @file reassign_func.h Driving the end of a term, the retirement of voters, and planned moves. */
#ifndef REASSIGN_FUNC_H
#define REASSIGN_FUNC_H

#include "cell_base.h"

namespace quetzalspool {

/**
 * Notes which runs joined or left, so that silence counts from when a run was first seen.
 * @param state Cell, with the record known before.
 * @param next The record that follows.
 * @param now Present time.
 */
void trackMembership(cell_state &state, const cell_record &next, steady_time now);

/**
 * Tells whether a silent member waits for the store to answer.
 * @param state Cell.
 * @return Whether a read of the record is wanted.
 */
bool awaitsStoreRead(const cell_state &state);

/**
 * Lets endings go on that waited for the store to answer.
 * @param state Cell.
 */
void confirmEndings(cell_state &state);

/**
 * Starts, resends and finishes the ending of silent members' terms.
 * @param state Cell.
 * @param actions Receives messages.
 * @param now Present time.
 */
void advanceTermEndings(cell_state &state, cell_actions &actions, steady_time now);

/**
 * Takes a voter's refusal of a member's terms.
 * @param state Cell.
 * @param message Answer.
 * @param now Present time.
 */
void recordRefusal(cell_state &state, const term_ended_message &message, steady_time now);

/**
 * Asks the previous set of voters to vouch no more under it, while a change of voters is under way.
 * @param state Cell.
 * @param actions Receives messages.
 * @param now Present time.
 */
void advanceRetirement(cell_state &state, cell_actions &actions, steady_time now);

/**
 * Takes a voter's promise to vouch no more under an earlier set.
 * @param state Cell.
 * @param message Answer.
 * @param now Present time.
 */
void recordRetirement(cell_state &state, const config_retired_message &message, steady_time now);

/**
 * Tells whether the previous set of voters can be dropped from the record.
 * @param state Cell.
 * @param now Present time.
 * @return Whether a majority of it promised, and its last promises have run out.
 */
bool isRetirementComplete(const cell_state &state, steady_time now);

/**
 * Plans moves of slots whose owner lives, and asks the owners to give them back.
 * @param state Cell.
 * @param actions Receives messages.
 * @param now Present time.
 */
void advanceReleases(cell_state &state, cell_actions &actions, steady_time now);

/**
 * Takes an owner's word that it gave slots back.
 * @param state Cell.
 * @param message Word of the owner.
 */
void recordRelease(cell_state &state, const slots_released_message &message);

/**
 * Lists the members whose terms have ended and whose promises have run out.
 * @param state Cell.
 * @param now Present time.
 * @return Their names.
 */
std::vector<instance_id> endedMembers(const cell_state &state, steady_time now);

} // namespace quetzalspool

#endif // REASSIGN_FUNC_H
