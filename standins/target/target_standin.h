/** @file target_standin.h Stands in for a customer's target server. */
#ifndef TARGET_STANDIN_H
#define TARGET_STANDIN_H

#include "async_condition.h"
#include "http_server.h"

#include <fstream>
#include <map>

namespace quetzalspool {

/** How a stand-in target is set up, and how it misbehaves. */
struct target_options
{
    endpoint listen; ///< Where it listens.
    endpoint daemon; ///< Admin port of the daemon beside it.
    std::string pool; ///< Pool.
    std::string name; ///< Name in its log.
    std::uint32_t slots = 12; ///< Requests worked on at once.
    std::uint32_t connections = 110; ///< Connections accepted.
    bool checksFences = true; ///< Whether it refuses older fences.
    milliseconds serviceTime{5}; ///< Time that one request takes.
    bool frozen = false; ///< Whether it works on nothing.
    bool shedding = false; ///< Whether it refuses all work, as its contract allows.
    std::string logFile; ///< File for a JSON line per run; empty for none.
};

/** A stand-in target. Belongs to one thread. */
struct target_standin
{
    target_options options; ///< Set-up and behaviour.
    std::uint32_t inFlight = 0; ///< Requests being worked on.
    std::uint64_t executions = 0; ///< Requests run.
    std::uint64_t refusals = 0; ///< Requests refused by contract.
    std::map<std::string, std::uint64_t> fences; ///< Highest fence seen, by pool and slot.
    steady_time leaseUntil{}; ///< End of the daemon's lease, by this target's clock.
    std::shared_ptr<async_condition> changed; ///< Wakes requests that wait for a slot or a thaw.
    std::ofstream log; ///< Log of runs.
};

/**
 * Serves the stand-in, announcing it to its daemon, until the acceptor is closed.
 * @param target Stand-in.
 * @param acceptor Listening socket.
 * @return An awaitable.
 */
asio::awaitable<void> serveTarget(std::shared_ptr<target_standin> target, std::shared_ptr<tcp::acceptor> acceptor);

} // namespace quetzalspool

#endif // TARGET_STANDIN_H
