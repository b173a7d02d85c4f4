/** @file dedup_cmd.cpp Remembering requests so that none runs twice. */
#include "dedup_func.h"

namespace quetzalspool {

namespace {

void forgetExpired(ledger_state &state, steady_time now)
{
    while (!state.order.empty() && state.order.front().first <= now) {
        state.entries.erase(state.order.front().second);
        state.cancelled.erase(state.order.front().second);
        state.order.pop_front();
    }
}

bool isFull(const ledger_state &state)
{
    return state.entries.size() + state.cancelled.size() >= state.capacity;
}

} // namespace

ledger_verdict enterRequest(ledger_state &state, const std::string &id, const std::string &attempt, steady_time now)
{
    forgetExpired(state, now);
    if (state.cancelled.contains(attempt)) {
        return ledger_verdict::cancelled;
    }
    const auto known = state.entries.find(id);
    if (known != state.entries.end()) {
        if (known->second.stage != ledger_stage::refused) {
            return ledger_verdict::duplicate;
        }
        known->second.stage = ledger_stage::entered;
        known->second.attempt = attempt;
        return ledger_verdict::fresh;
    }
    if (isFull(state)) {
        return ledger_verdict::full;
    }
    const auto until = now + state.window;
    state.entries[id] = {ledger_stage::entered, attempt, until};
    state.order.emplace_back(until, id);
    return ledger_verdict::fresh;
}

bool advanceRequest(ledger_state &state, const std::string &id, const std::string &attempt, ledger_stage stage)
{
    const auto known = state.entries.find(id);
    if (state.cancelled.contains(attempt) || known == state.entries.end() || known->second.attempt != attempt) {
        return false;
    }
    known->second.stage = stage;
    return true;
}

bool cancelRequest(ledger_state &state, const std::string &id, const std::string &attempt, steady_time now)
{
    forgetExpired(state, now);
    const auto known = state.entries.find(id);
    if (known != state.entries.end() && known->second.attempt == attempt) {
        if (known->second.stage != ledger_stage::entered && known->second.stage != ledger_stage::refused) {
            return false;
        }
        known->second.stage = ledger_stage::refused;
    }
    if (isFull(state)) {
        return false;
    }
    if (state.cancelled.insert(attempt).second) {
        state.order.emplace_back(now + state.window, attempt);
    }
    return true;
}

} // namespace quetzalspool
