/** @file cell_type.h Timing of a cell and small types about its members. */
#ifndef CELL_TYPE_H
#define CELL_TYPE_H

#include "base_type.h"

namespace quetzalspool {

/** Intervals of the lease protocol. All daemons of a cell use the same values. */
struct cell_timing
{
    milliseconds renewInterval{350}; ///< Between two renewals of an instance lease.
    milliseconds leaseDuration{1100}; ///< How long a vouch holds for the lease's holder.
    milliseconds driftMargin{40}; ///< Added by the granter, for clocks that run at different rates.
    milliseconds failureTimeout{800}; ///< Without a renewal for this long, a member is taken as silent.
    milliseconds resendInterval{150}; ///< Between two sends of an unanswered request for an ended term.
    milliseconds voterReplaceDelay{4000}; ///< Silence after which a voter is replaced.
    milliseconds moveInterval{200}; ///< Least time between two writes of planned moves that are not urgent.
    std::size_t voterCount = 5; ///< Voters wanted for a cell.

    /**
     * @return How long the granter of a vouch keeps its promise, and how long a restarted voter waits.
     */
    [[nodiscard]] milliseconds promisePeriod() const
    {
        return leaseDuration + driftMargin;
    }
};

/** Where a daemon listens. */
struct daemon_endpoints
{
    std::string host; ///< IP address, the same for all ports.
    std::uint16_t callers = 0; ///< HTTP/1.1 port for callers.
    std::uint16_t peers = 0; ///< HTTP/2 port for other daemons, TCP; control datagrams use the same number in UDP.
    std::uint16_t admin = 0; ///< HTTP port for operators, metrics and the target beside the daemon.

    auto operator<=>(const daemon_endpoints &) const = default;
};

/** What a target announces to the daemon beside it. */
struct target_announcement
{
    pool_id pool; ///< Pool that the target belongs to; empty if no target has announced itself.
    endpoint address; ///< Where the target listens.
    std::uint32_t slots = 0; ///< Requests it works on at once.
    std::uint32_t connections = 0; ///< Connections it accepts.
    bool checksGrants = false; ///< Whether it refuses work under an older fence.

    auto operator<=>(const target_announcement &) const = default;
};

} // namespace quetzalspool

#endif // CELL_TYPE_H
