/** @file voter_cmd.cpp Promises and refusals of a voter. */
#include "record_func.h"
#include "voter_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

/**
 * Computes the remaining time of a promise, rounded up so that it is never reported as shorter than it is.
 * @param until End of a promise.
 * @param now Present time.
 * @return Remaining time in milliseconds, at least zero.
 */
milliseconds remainingUntil(steady_time until, steady_time now)
{
    return until <= now ? milliseconds(0) : std::chrono::ceil<milliseconds>(until - now);
}

/**
 * Checks whether a renewal may be answered with a promise, given this voter's refusals and those that an earlier run of
 * it may have made.
 * @param state Voter.
 * @param message Renewal.
 * @param entry Promises and refusals to the member.
 * @return Whether the voter may make the promise.
 */
bool mayPromise(const voter_state &state, const renew_message &message, const member_promise &entry)
{
    // An earlier run may have refused any term that was recorded before this run was admitted.
    const bool recordedSince = state.admitted != 0 && message.term.value > state.admitted;
    return recordedSince && message.term > entry.refusedUpTo && message.config >= state.retiredBefore;
}

} // namespace

voter_state startVoter(instance_id self, incarnation_id incarnation, const cell_timing &timing, steady_time now)
{
    voter_state state;
    state.self = std::move(self);
    state.incarnation = incarnation;
    state.bootWaitUntil = now + timing.promisePeriod();
    return state;
}

void applyRecord(voter_state &state, const stored_record &stored)
{
    const auto &record = stored.record;
    for (const auto *voters : {&record.voters, &record.previousVoters}) {
        const auto *own = findVoter(*voters, state.self);
        if (own != nullptr && own->incarnation == state.incarnation && own->admitted > state.admitted) {
            state.admitted = own->admitted;
            // An earlier run may have agreed to make no more promises under earlier sets of voters.
            state.retiredBefore = std::max(state.retiredBefore, record.config);
        }
    }
}

std::optional<promise_message> answerRenewal(voter_state &state, const renew_message &message,
                                             const stored_record &stored, const cell_timing &timing, steady_time now)
{
    if (now < state.bootWaitUntil) {
        return std::nullopt;
    }
    auto &entry = state.memberPromises[message.owner];
    entry.lastRenewal = now;
    promise_message answer{message.cell, state.incarnation, message.term, message.sequence};
    answer.known = stored.revision;
    answer.termRefused = message.term <= entry.refusedUpTo;
    answer.granted = mayPromise(state, message, entry);
    if (answer.granted) {
        entry.promisedUntil = std::max(entry.promisedUntil, now + timing.promisePeriod());
        state.latestPromiseEnd = std::max(state.latestPromiseEnd, entry.promisedUntil);
    }
    return answer;
}

std::optional<term_ended_message> refuseTerms(voter_state &state, const end_term_message &message, steady_time now)
{
    if (now < state.bootWaitUntil) {
        return std::nullopt;
    }
    auto &entry = state.memberPromises[message.member];
    entry.refusedUpTo = std::max(entry.refusedUpTo, message.upTo);
    return term_ended_message{message.cell, state.self, message.member, message.upTo,
                              remainingUntil(entry.promisedUntil, now)};
}

std::optional<config_retired_message> retireConfigs(voter_state &state, const retire_config_message &message,
                                                    steady_time now)
{
    if (now < state.bootWaitUntil) {
        return std::nullopt;
    }
    if (message.minConfig > state.retiredBefore) {
        state.retiredBefore = message.minConfig;
        state.retiredPromiseEnd = state.latestPromiseEnd;
    }
    return config_retired_message{message.cell, state.self, state.retiredBefore,
                                  remainingUntil(state.retiredPromiseEnd, now)};
}

} // namespace quetzalspool
