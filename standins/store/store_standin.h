/** @file store_standin.h Stand-in for the platform's key-value service: a subset of the etcd v3 HTTP/JSON gateway. */
#ifndef STORE_STANDIN_H
#define STORE_STANDIN_H

#include "async_condition.h"
#include "http_server.h"
#include "store_type.h"

#include <deque>
#include <map>

namespace quetzalspool {

/** Faults that the stand-in simulates. */
struct store_faults
{
    bool down = false; ///< Calls fail after a wait; watches end.
    milliseconds delay{1}; ///< Delay before each response.
    std::uint64_t dropResponses = 0; ///< Number of following writes that are made, but reported as unavailable.
    std::uint64_t writesPerSecond = 0; ///< Rate limit of writes; 0 for none. Writes beyond it are refused.
};

/** Call counters. */
struct store_counters
{
    std::uint64_t reads = 0; ///< Range calls.
    std::uint64_t writes = 0; ///< Transactions.
    std::uint64_t watches = 0; ///< Watches opened.
    std::uint64_t openWatches = 0; ///< Watches open at present.
    std::uint64_t bytes = 0; ///< Bytes of request and response bodies.
};

/** State of the stand-in store. Used by one thread only. */
struct store_standin
{
    std::map<std::string, stored_value> values; ///< Stored values by key.
    std::int64_t revision = 1; ///< Revision of the whole store.
    std::deque<std::pair<std::int64_t, watch_event>> events; ///< Recent changes with their revisions, for watches.
    store_faults faults; ///< Faults in effect.
    store_counters counters; ///< Call counters.
    steady_time writeWindowStart{}; ///< Start of the current one-second window of the rate limit.
    std::uint64_t writesInWindow = 0; ///< Writes in this window.
    std::shared_ptr<async_condition> changed; ///< Notified on every change, to wake watches.
};

/**
 * Serves the stand-in until the acceptor is closed.
 * @param store State of the stand-in.
 * @param acceptor Listening socket.
 * @return An awaitable.
 */
asio::awaitable<void> serveStore(std::shared_ptr<store_standin> store, std::shared_ptr<tcp::acceptor> acceptor);

} // namespace quetzalspool

#endif // STORE_STANDIN_H
