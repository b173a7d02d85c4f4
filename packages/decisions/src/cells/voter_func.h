/** @file voter_func.h Promises and refusals of a voter. */
#ifndef VOTER_FUNC_H
#define VOTER_FUNC_H

#include "voter_base.h"

namespace quetzalspool {

/**
 * Creates the state of a voter. As the promises of an earlier run are lost, it answers nothing for one promise period.
 * @param self The voter.
 * @param incarnation Its run.
 * @param timing Intervals of the cell.
 * @param now Present time.
 * @return State of the voter.
 */
voter_state startVoter(instance_id self, incarnation_id incarnation, const cell_timing &timing, steady_time now);

/**
 * Applies a new record. When it admits this run, renewals under earlier sets of voters are refused from then on.
 * @param state Voter.
 * @param stored Record with its revision.
 */
void applyRecord(voter_state &state, const stored_record &stored);

/**
 * Answers a renewal with a promise, if the term and the set of voters allow one.
 * @param state Voter.
 * @param message Renewal.
 * @param stored Newest record known to the voter.
 * @param timing Intervals of the cell.
 * @param now Present time.
 * @return Answer, or nothing during the boot wait.
 */
std::optional<promise_message> answerRenewal(voter_state &state, const renew_message &message,
                                             const stored_record &stored, const cell_timing &timing, steady_time now);

/**
 * Refuses a member's terms for good.
 * @param state Voter.
 * @param message Request of a coordinator.
 * @param now Present time.
 * @return Answer with the remaining time of the latest promise, or nothing during the boot wait.
 */
std::optional<term_ended_message> refuseTerms(voter_state &state, const end_term_message &message, steady_time now);

/**
 * Refuses renewals under earlier sets of voters for good.
 * @param state Voter.
 * @param message Request of a coordinator.
 * @param now Present time.
 * @return Answer with the remaining time of the latest promise under those sets, or nothing during the boot wait.
 */
std::optional<config_retired_message> retireConfigs(voter_state &state, const retire_config_message &message,
                                                    steady_time now);

} // namespace quetzalspool

#endif // VOTER_FUNC_H
