/** @file lease_cmd.cpp Renewal of an instance lease, and its end by the voters' promises. */
#include "lease_func.h"
#include "record_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

/**
 * Computes until when the promises of a majority of one set of voters last.
 * @param state Lease.
 * @param voters Set of voters.
 * @return End of the majority's promises; the clock's epoch if there is no majority.
 */
steady_time majorityEnd(const lease_state &state, const std::vector<cell_voter> &voters)
{
    std::vector<steady_time> ends;
    for (const auto &voter : voters) {
        const auto held = state.promises.find(voter.id);
        const bool counts = held != state.promises.end() && held->second.incarnation == voter.incarnation;
        ends.push_back(counts ? held->second.until : steady_time{});
    }
    if (ends.empty()) {
        return {};
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[majorityOf(ends.size()) - 1];
}

} // namespace

std::optional<renew_message> nextRenewal(lease_state &state, const stored_record &stored, const cell_timing &timing,
                                         steady_time now)
{
    const auto *self = findMember(stored.record, state.self);
    if (now < state.nextRenewal || self == nullptr || self->incarnation != state.incarnation) {
        return std::nullopt;
    }
    state.nextRenewal = now + timing.renewInterval;
    const sent_renewal sent{state.nextSequence++, self->term, stored.record.config, now};
    state.sent.push_back(sent);
    while (state.sent.front().sentAt + timing.leaseDuration < now) {
        state.sent.pop_front();
    }
    return renew_message{stored.record.id, state.self, sent.term, sent.config, sent.sequence, stored.revision};
}

void applyPromise(lease_state &state, const promise_message &message, const stored_record &stored,
                  const cell_timing &timing, steady_time now)
{
    const auto sent = std::find_if(state.sent.begin(), state.sent.end(),
                                   [&](const auto &renewal) { return renewal.sequence == message.sequence; });
    const auto voters = allVoters(stored.record);
    const auto voter = std::find_if(voters.begin(), voters.end(),
                                    [&](const auto &row) { return row.incarnation == message.incarnation; });
    if (sent == state.sent.end() || sent->term != message.term || voter == voters.end()) {
        return; // The promise of a run of a voter that the record does not list would not count.
    }
    state.lastAnswer[voter->id] = now;
    if (message.termRefused) {
        state.highestRefusedTerm = std::max(state.highestRefusedTerm, message.term);
    }
    if (message.granted) {
        auto &held = state.promises[voter->id];
        const auto until = sent->sentAt + timing.leaseDuration;
        if (held.incarnation != message.incarnation || until >= held.until) {
            held = {message.incarnation, until};
        }
    }
    state.validUntil = std::max(state.validUntil, leaseEnd(state, stored.record));
}

steady_time leaseEnd(const lease_state &state, const cell_record &record)
{
    const auto current = majorityEnd(state, record.voters);
    if (record.previousVoters.empty()) {
        return current;
    }
    // While the set of voters changes, a majority of both sets is needed.
    return std::min(current, majorityEnd(state, record.previousVoters));
}

void applyRecord(lease_state &state, const stored_record &stored)
{
    const auto *self = findMember(stored.record, state.self);
    if (self == nullptr || self->incarnation != state.incarnation) {
        state.validUntil = {};
        return;
    }
    const bool renewed =
        !state.sent.empty() && state.sent.back().term == self->term && state.sent.back().config == stored.record.config;
    if (!renewed) {
        state.nextRenewal = {}; // A new term or set of voters is renewed without delay.
    }
}

} // namespace quetzalspool
