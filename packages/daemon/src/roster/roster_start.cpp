/** @file roster_start.cpp The first copy of the store of a daemon that starts. */
#include "roster_start.h"

#include "elapsed_clock.h"
#include "log_func.h"
#include "roster_exchange.h"
#include "roster_keys.h"
#include "roster_mirror.h"
#include "start_func.h"

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds askInterval{100}; ///< Between two requests to a reader that has no copy yet.
constexpr milliseconds readerAnswerLimit{400}; ///< A store that has not answered by then may be away, which its calls
                                               ///< through other daemons are for.
constexpr milliseconds decisionLimit{10000}; ///< Safety limit of the wait for the decision.

std::string readerKey(const roster_control &control)
{
    const auto &self = control.state.self.member;
    return std::string(readersPrefix) + startGroup(self.domain, self.id);
}

void applyStoredReader(start_state &state, const stored_value *value)
{
    applyReader(state, value == nullptr ? std::nullopt : parseReader(value->value),
                value == nullptr ? revision_number{} : value->revision, clock::now());
}

asio::awaitable<void> readReader(roster_control &control, start_state &state)
{
    last_reason why;
    const auto read = co_await control.port.store.read(readerKey(control), why);
    recordStoreResult(control, read.has_value(), why);
    state.storeAnswers = read.has_value();
    if (read) {
        control.firstReaderKnown = true;
        applyStoredReader(state, read->value ? &*read->value : nullptr);
    }
}

/** Writes the own address, on the condition that no other daemon has written its own meanwhile. */
asio::awaitable<void> claimReader(roster_control &control, start_state &state)
{
    last_reason why;
    ++state.claims;
    const auto key = readerKey(control);
    leased_txn txn{{{key, state.readerRevision}}, {{key, formatReader(state.self), {}}}};
    const auto result = co_await control.port.store.commit(std::move(txn), why);
    recordStoreResult(control, result.has_value(), why);
    state.storeAnswers = result.has_value();
    if (result && result->status == commit_status::stored) {
        state.claimed = true;
        logEvent(log_level::info, "start-reader", {{"key", key}});
    } else if (result && !result->current.empty()) {
        applyStoredReader(state, &result->current.front());
    }
}

asio::awaitable<void> askReader(roster_control &control, start_state &state)
{
    const auto result = co_await pollUpstream(control, *state.reader);
    state.silentAnswers = result == poll_result::unresponsive ? state.silentAnswers + 1 : 0;
    if (!control.state.listed) {
        co_await sleepFor(askInterval);
    }
}

} // namespace

asio::awaitable<void> getFirstCopy(roster_control &control, std::function<void()> onChange)
{
    start_state state;
    state.self = peerEndpoint(control.state.self.member);
    state.startedAt = clock::now();
    co_await readReader(control, state);
    auto step = nextStartStep(state, clock::now());
    while (!control.state.listed && step != start_step::read_store) {
        if (step == start_step::claim) {
            co_await claimReader(control, state);
        } else {
            co_await askReader(control, state);
        }
        step = nextStartStep(state, clock::now());
    }
    logEvent(log_level::info, "first-copy",
             {{"from", control.state.listed && state.reader ? toString(*state.reader) : "store"}});
    control.awaitingFirstCopy = false;
    control.firstCopy.notifyAll();
    onChange();
}

asio::awaitable<void> awaitFirstCopy(roster_control &control)
{
    const auto startedAt = clock::now();
    while (control.awaitingFirstCopy) {
        const auto limit = control.firstReaderKnown ? decisionLimit : readerAnswerLimit;
        if (clock::now() >= startedAt + limit) {
            break;
        }
        co_await control.firstCopy.waitUntil(startedAt + limit);
    }
}

} // namespace quetzalspool
