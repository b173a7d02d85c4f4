/** @file cell_type.h Timing of the lease protocol and descriptions of a cell's members. */
#ifndef CELL_TYPE_H
#define CELL_TYPE_H

#include "base_type.h"

namespace quetzalspool {

/** Intervals of the lease protocol. All daemons of a cell must use the same values. */
struct cell_timing
{
    milliseconds renewInterval{350}; ///< Time between two renewals of an instance lease.
    milliseconds leaseDuration{
        1100}; ///< How long the owner may rely on a voter's promise, from when it sent the renewal.
    milliseconds driftMargin{40}; ///< Added by the voter to its own promise, as clocks run at different rates.
    milliseconds failureTimeout{800}; ///< A member without a renewal for this long is considered unresponsive.
    milliseconds resendInterval{150}; ///< Time between two sends of an unanswered request of the coordinator.
    milliseconds voterReplaceDelay{4000}; ///< A voter without an answer for this long is replaced.
    milliseconds moveInterval{200}; ///< Minimum time between two rounds of planning for moves from live owners.
    std::size_t voterCount = 5; ///< Desired number of voters of a cell.

    /**
     * How long a voter is bound by a promise. A restarted voter, which has lost its promises, waits this long.
     * @return Duration.
     */
    [[nodiscard]] milliseconds promisePeriod() const
    {
        return leaseDuration + driftMargin;
    }
};

/** Addresses on which a daemon listens. */
struct daemon_endpoints
{
    std::string host; ///< IP address, the same for all ports.
    std::uint16_t callers = 0; ///< HTTP/1.1 port for callers.
    std::uint16_t peers =
        0; ///< HTTP/2 port (TCP) for other daemons; control datagrams use the same port number in UDP.
    std::uint16_t admin = 0; ///< HTTP port for operators, metrics and the daemon's own target.

    auto operator<=>(const daemon_endpoints &) const = default;
};

/** Properties that a target announces to its daemon. */
struct target_announcement
{
    pool_id pool; ///< Pool of the target; empty if no target has announced itself.
    endpoint address; ///< Address on which the target listens.
    std::uint32_t slots = 0; ///< Number of requests that it processes concurrently.
    std::uint32_t connections = 0; ///< Number of connections that it accepts.
    bool checksGrants = false; ///< Whether it rejects requests with an older fence or without a valid lease.

    auto operator<=>(const target_announcement &) const = default;
};

} // namespace quetzalspool

#endif // CELL_TYPE_H
