/** @file dedup_cmd.cpp Deduplication of requests that must not run twice. */
#include "dedup_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

void removeExpired(dedup_state &state, steady_time now)
{
    while (!state.expiries.empty() && state.expiries.begin()->first <= now) {
        auto expiry = state.expiries.extract(state.expiries.begin());
        const auto known = state.entries.find(expiry.mapped());
        if (known != state.entries.end() && known->second.expiresAt > now) {
            expiry.key() = known->second.expiresAt; // Registered again since.
            state.expiries.insert(std::move(expiry));
            continue;
        }
        state.entries.erase(expiry.mapped());
        state.cancelled.erase(expiry.mapped());
    }
}

bool isFull(const dedup_state &state)
{
    return state.entries.size() + state.cancelled.size() >= state.capacity;
}

} // namespace

dedup_result registerAttempt(dedup_state &state, const std::string &id, const std::string &attempt, steady_time now,
                             steady_time deadline)
{
    removeExpired(state, now);
    if (state.cancelled.contains(attempt)) {
        return dedup_result::cancelled;
    }
    const auto expiresAt = std::max(now, deadline) + state.retention;
    const auto known = state.entries.find(id);
    if (known != state.entries.end()) {
        if (known->second.stage != dedup_stage::refused) {
            return dedup_result::duplicate;
        }
        known->second = {dedup_stage::registered, attempt, expiresAt};
        return dedup_result::accepted;
    }
    if (isFull(state)) {
        return dedup_result::full;
    }
    state.entries[id] = {dedup_stage::registered, attempt, expiresAt};
    state.expiries.emplace(expiresAt, id);
    return dedup_result::accepted;
}

bool advanceAttempt(dedup_state &state, const std::string &id, const std::string &attempt, dedup_stage stage)
{
    const auto known = state.entries.find(id);
    if (state.cancelled.contains(attempt) || known == state.entries.end() || known->second.attempt != attempt) {
        return false;
    }
    if (stage == dedup_stage::handed_over && known->second.stage != dedup_stage::registered) {
        return false;
    }
    known->second.stage = stage;
    return true;
}

bool cancelAttempt(dedup_state &state, const std::string &id, const std::string &attempt, steady_time now)
{
    removeExpired(state, now);
    const auto known = state.entries.find(id);
    if (known != state.entries.end() && known->second.attempt == attempt) {
        if (known->second.stage != dedup_stage::registered && known->second.stage != dedup_stage::refused) {
            return false;
        }
        known->second.stage = dedup_stage::refused;
    }
    if (isFull(state)) {
        return false;
    }
    if (state.cancelled.insert(attempt).second) {
        state.expiries.emplace(now + state.retention, attempt);
    }
    return true;
}

} // namespace quetzalspool
