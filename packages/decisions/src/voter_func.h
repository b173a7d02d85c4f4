/** @file voter_func.h Decisions of a voter. */
#ifndef VOTER_FUNC_H
#define VOTER_FUNC_H

#include "voter_base.h"

namespace quetzalspool {

/**
 * Starts a voter, which has forgotten what an earlier run promised, and so waits one promise period.
 * @param self The voter.
 * @param incarnation Its run.
 * @param timing Intervals of the cell.
 * @param now Present time.
 * @return Its state.
 */
voter_state startVoter(instance_id self, incarnation_id incarnation, const cell_timing &timing, steady_time now);

/**
 * Notes the cell's record: the voter's own admission, and entries that are no longer needed.
 * @param state Voter.
 * @param stored Record with its revision.
 */
void applyRecord(voter_state &state, const stored_record &stored);

/**
 * Answers a renewal.
 * @param state Voter.
 * @param message Renewal.
 * @param stored The record as the voter knows it.
 * @param timing Intervals of the cell.
 * @param now Present time.
 * @return The answer, or nothing during the boot wait.
 */
std::optional<promise_message> answerRenewal(voter_state &state, const renew_message &message,
                                             const stored_record &stored, const cell_timing &timing, steady_time now);

/**
 * Refuses a member's terms for good.
 * @param state Voter.
 * @param message Request of a driver.
 * @param now Present time.
 * @return The answer, or nothing during the boot wait.
 */
std::optional<term_ended_message> refuseTerms(voter_state &state, const end_term_message &message, steady_time now);

/**
 * Stops vouching under earlier sets of voters.
 * @param state Voter.
 * @param message Request of a driver.
 * @param now Present time.
 * @return The answer, or nothing during the boot wait.
 */
std::optional<config_retired_message> retireConfigs(voter_state &state, const retire_config_message &message,
                                                    steady_time now);

} // namespace quetzalspool

#endif // VOTER_FUNC_H
