/** @file store_standin.h Stands in for the platform's key-value service: a subset of the etcd v3 HTTP/JSON gateway. */
#ifndef STORE_STANDIN_H
#define STORE_STANDIN_H

#include "async_condition.h"
#include "http_server.h"
#include "store_type.h"

#include <deque>
#include <map>

namespace quetzalspool {

/** How the stand-in misbehaves. */
struct store_faults
{
    bool down = false; ///< Answers nothing.
    milliseconds delay{1}; ///< Wait before each answer.
    std::uint64_t dropResponses = 0; ///< So many of the next writes are made, but not answered.
    std::uint64_t writesPerSecond = 0; ///< Writes beyond are refused; 0 means no limit.
};

/** Calls that were counted. */
struct store_counters
{
    std::uint64_t reads = 0; ///< Range calls.
    std::uint64_t writes = 0; ///< Transactions.
    std::uint64_t watches = 0; ///< Watches opened.
    std::uint64_t openWatches = 0; ///< Watches waiting now.
    std::uint64_t bytes = 0; ///< Bytes of bodies in both directions.
};

/** The stand-in. Belongs to one thread. */
struct store_standin
{
    std::map<std::string, stored_value> values; ///< By key.
    std::int64_t revision = 1; ///< Revision of the whole store.
    std::deque<std::pair<std::int64_t, watch_event>> events; ///< Changes, for watches.
    store_faults faults; ///< How it misbehaves.
    store_counters counters; ///< What was asked of it.
    steady_time writeWindowStart{}; ///< Start of the second in which writes are counted.
    std::uint64_t writesInWindow = 0; ///< Writes in it.
    std::shared_ptr<async_condition> changed; ///< Wakes watches.
};

/**
 * Serves the stand-in until the acceptor is closed.
 * @param store Stand-in.
 * @param acceptor Listening socket.
 * @return An awaitable.
 */
asio::awaitable<void> serveStore(std::shared_ptr<store_standin> store, std::shared_ptr<tcp::acceptor> acceptor);

} // namespace quetzalspool

#endif // STORE_STANDIN_H
