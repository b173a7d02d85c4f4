/** @file target_standin.h Stand-in for a customer's target server. */
#ifndef TARGET_STANDIN_H
#define TARGET_STANDIN_H

#include "async_condition.h"
#include "http_server.h"

#include <fstream>
#include <map>

namespace quetzalspool {

/** Configuration and faults of a stand-in target. */
struct target_options
{
    endpoint listen; ///< Address to listen on.
    endpoint daemon; ///< Admin port of the daemon beside it; port 0 for none.
    std::string pool; ///< Pool that it announces.
    std::string name; ///< Name of the target in its log.
    std::uint32_t slots = 12; ///< Requests served concurrently.
    std::uint32_t connections = 110; ///< Number of connections that it announces.
    bool checksFences = true; ///< Whether to refuse requests with older fences.
    milliseconds serviceTime{5}; ///< Service time of a request.
    bool frozen = false; ///< Whether requests are held without being served.
    bool shedding = false; ///< Whether all requests are refused as not run.
    std::string logFile; ///< File that receives a JSON line per executed request; empty for none.
};

/** State of a stand-in target. Used by one thread only. */
struct target_standin
{
    target_options options; ///< Configuration and faults.
    std::uint32_t inFlight = 0; ///< Requests being served.
    std::uint64_t executions = 0; ///< Requests executed.
    std::uint64_t refusals = 0; ///< Requests refused as not run.
    std::map<std::string, std::uint64_t> fences; ///< Highest fence seen, by pool and slot.
    steady_time leaseUntil{}; ///< End of the daemon's lease on this target's clock.
    std::shared_ptr<async_condition>
        changed; ///< Notified when a slot is freed or a fault changes, to wake waiting requests.
    std::ofstream log; ///< Log of executed requests.
};

/**
 * Serves requests and announces the target to its daemon, until the acceptor is closed.
 * @param target State of the stand-in.
 * @param acceptor Listening socket.
 * @return An awaitable.
 */
asio::awaitable<void> serveTarget(std::shared_ptr<target_standin> target, std::shared_ptr<tcp::acceptor> acceptor);

} // namespace quetzalspool

#endif // TARGET_STANDIN_H
