/** @file reassign_func.h The coordinator's work: ending terms, retiring sets of voters, and planned moves. */
#ifndef REASSIGN_FUNC_H
#define REASSIGN_FUNC_H

#include "cell_base.h"

namespace quetzalspool {

/**
 * Records which runs joined or left. The failure timeout of a member counts from when its run was first seen.
 * @param state Cell, with the previous record.
 * @param next New record.
 * @param now Present time.
 */
void trackMembership(cell_state &state, const cell_record &next, steady_time now);

/**
 * Checks whether the ending of a term waits for a read of the record from the store.
 * @param state Cell.
 * @return Whether the record must be read.
 */
bool awaitsStoreRead(const cell_state &state);

/**
 * Continues the endings that waited for a response of the store.
 * @param state Cell.
 */
void confirmEndings(cell_state &state);

/**
 * Starts the ending of unresponsive members' terms, resends requests, and waits for promises to expire.
 * @param state Cell.
 * @param actions Receives messages.
 * @param now Present time.
 */
void advanceTermEndings(cell_state &state, cell_actions &actions, steady_time now);

/**
 * Records a voter's refusal of a member's terms.
 * @param state Cell.
 * @param message Answer.
 * @param now Present time.
 */
void recordRefusal(cell_state &state, const term_ended_message &message, steady_time now);

/**
 * Requests the previous voters to refuse renewals under their set, while a change of voters is in progress.
 * @param state Cell.
 * @param actions Receives messages.
 * @param now Present time.
 */
void advanceRetirement(cell_state &state, cell_actions &actions, steady_time now);

/**
 * Records a voter's answer that it refuses renewals under earlier sets of voters.
 * @param state Cell.
 * @param message Answer.
 * @param now Present time.
 */
void recordRetirement(cell_state &state, const config_retired_message &message, steady_time now);

/**
 * Checks whether the previous set of voters can be removed from the record.
 * @param state Cell.
 * @param now Present time.
 * @return Whether a majority of it is retired, and the last promises of these voters under it have expired.
 */
bool isRetirementComplete(const cell_state &state, steady_time now);

/**
 * Plans moves of slots with a live owner, and requests the owners to release them.
 * @param state Cell.
 * @param actions Receives messages.
 * @param now Present time.
 */
void advanceReleases(cell_state &state, cell_actions &actions, steady_time now);

/**
 * Records the slots that an owner has released.
 * @param state Cell.
 * @param message Report of the owner.
 */
void recordRelease(cell_state &state, const slots_released_message &message);

/**
 * Lists the members whose terms a majority of voters refuses and whose promises have expired.
 * @param state Cell.
 * @param now Present time.
 * @return Instances that can be removed from the record.
 */
std::vector<instance_id> endedMembers(const cell_state &state, steady_time now);

} // namespace quetzalspool

#endif // REASSIGN_FUNC_H
