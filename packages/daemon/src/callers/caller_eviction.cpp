/** @file caller_eviction.cpp Room for requests of callers: memory and connections, at the expense of stalled callers.
 */
#include "caller_eviction.h"

#include "elapsed_clock.h"
#include "memory_budget_func.h"

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr int releaseTurns = 4; ///< Turns of the event loop in which evicted callers release their memory.

/** A connection that may be closed in favour of others. */
using candidates = std::vector<std::pair<memory_holder, std::shared_ptr<caller_connection>>>;

/** Closes the candidate that has made no progress for longest. Returns the bytes that this releases; 0 if none. */
std::uint64_t evictOne(traffic_thread &thread, const candidates &from, const char *resource)
{
    std::vector<memory_holder> holders;
    holders.reserve(from.size());
    for (const auto &[holder, connection] : from) {
        holders.push_back(holder);
    }
    const auto now = clock::now();
    const auto chosen = chooseEviction(holders, now);
    if (!chosen) {
        return 0;
    }
    auto &connection = *from[*chosen].second;
    connection.evicted = true;
    connection.stream.cancel();
    countMetric(*thread.shared->metricsRegistry, std::string("callers_evicted_total{resource=\"") + resource + "\"}");
    if (consumeTokens(thread.evictionLog, now)) {
        const auto idle = std::chrono::duration_cast<milliseconds>(now - connection.lastProgress);
        logEvent(log_level::warn, "caller-evicted",
                 {{"resource", resource},
                  {"held_bytes", std::to_string(connection.held)},
                  {"idle_ms", std::to_string(idle.count())},
                  {"connections", std::to_string(thread.callers.size())},
                  {"memory_bytes", std::to_string(thread.shared->memory->used.load())},
                  {"lines_dropped", std::to_string(std::exchange(thread.evictionLog.dropped, 0))}});
    }
    return std::max<std::uint64_t>(connection.held, 1);
}

bool hasRoom(const traffic_thread &thread, std::uint64_t more, std::uint64_t total)
{
    const auto &memory = *thread.shared->memory;
    return admitsBytes({memory.limit, memory.reserved}, memory.used, more, total);
}

/** Gives up the response to another daemon that has made no progress for longest. Returns whether there was one. */
bool abortUnread(traffic_thread &thread)
{
    const std::vector<const unsent_response *> unsent(thread.unsentResponses.begin(), thread.unsentResponses.end());
    std::vector<memory_holder> holders;
    holders.reserve(unsent.size());
    for (const auto *response : unsent) {
        holders.push_back({0, response->lastProgress});
    }
    const auto now = clock::now();
    const auto chosen = chooseEviction(holders, now);
    if (!chosen) {
        return false;
    }
    const auto responder = unsent[*chosen]->responder;
    const auto idle = std::chrono::duration_cast<milliseconds>(now - unsent[*chosen]->lastProgress);
    abortResponse(*responder);
    countMetric(*thread.shared->metricsRegistry, "callers_evicted_total{resource=\"forwarded\"}");
    if (consumeTokens(thread.evictionLog, now)) {
        logEvent(log_level::warn, "caller-evicted",
                 {{"resource", "forwarded"},
                  {"idle_ms", std::to_string(idle.count())},
                  {"memory_bytes", std::to_string(thread.shared->memory->used.load())},
                  {"lines_dropped", std::to_string(std::exchange(thread.evictionLog.dropped, 0))}});
    }
    return true;
}

/**
 * Evicts a caller of a thread that holds memory; if there is none, gives up a response that another daemon does not
 * read. Returns whether this releases any.
 */
bool evictHolder(traffic_thread &thread)
{
    candidates holding;
    for (const auto &connection : thread.callers) {
        if (connection->held > 0 && !connection->evicted) {
            holding.emplace_back(memory_holder{connection->held, connection->lastProgress}, connection);
        }
    }
    return evictOne(thread, holding, "memory") > 0 || abortUnread(thread);
}

/** Evicts a caller and waits until it has released its memory. To be called on the thread. */
asio::awaitable<void> evictAndRelease(traffic_thread &thread, std::uint64_t more, std::uint64_t total)
{
    const bool released = evictHolder(thread);
    for (int turn = 0; released && turn < releaseTurns && !hasRoom(thread, more, total); ++turn) {
        co_await asio::post(thread.context, asio::use_awaitable);
    }
}

} // namespace

asio::awaitable<bool> makeMemoryRoom(traffic_thread &thread, std::uint64_t more, std::uint64_t total)
{
    if (hasRoom(thread, more, total)) {
        co_return true;
    }
    co_await evictAndRelease(thread, more, total);
    for (auto *other : thread.others) {
        if (hasRoom(thread, more, total)) {
            break;
        }
        co_await asio::co_spawn(other->context, evictAndRelease(*other, more, total), asio::use_awaitable);
    }
    const bool room = hasRoom(thread, more, total);
    if (!room) {
        countMetric(*thread.shared->metricsRegistry, "memory_refusals_total");
    }
    co_return room;
}

bool makeConnectionRoom(traffic_thread &thread)
{
    if (thread.callers.size() < thread.shared->maxCallers) {
        return true;
    }
    candidates idle;
    candidates stalled;
    for (const auto &connection : thread.callers) {
        if (!connection->evicted && (connection->awaitingRequest || connection->held > 0)) {
            auto &into = connection->awaitingRequest ? idle : stalled;
            into.emplace_back(memory_holder{connection->held, connection->lastProgress}, connection);
        }
    }
    return evictOne(thread, idle, "connections") > 0 || evictOne(thread, stalled, "connections") > 0;
}

} // namespace quetzalspool
