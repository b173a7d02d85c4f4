/** @file call_throttle_base.h State by which the daemon beside a calling target throttles fresh requests. */
#ifndef CALL_THROTTLE_BASE_H
#define CALL_THROTTLE_BASE_H

#include "base_type.h"

#include <deque>
#include <map>
#include <string>

namespace quetzalspool {

/** Throttle of one route. */
struct route_throttle
{
    double share = 1; ///< Share of the fresh requests that is admitted.
    double credit = 0; ///< Fresh requests that may be admitted beyond those so far; negative if callers that came back
                       ///< were admitted ahead of their turn.
    double increase = 0; ///< Next additive increase of the share.
    std::uint32_t ended = 0; ///< Requests that ended since the last adjustment.
    std::uint32_t failed = 0; ///< Of those, requests that failed because of a call.
    steady_time adjustedAt{}; ///< Last adjustment of the share.
    std::uint32_t refused = 0; ///< Requests refused so far, by which returns are spread.
};

/** Throttle of the local target's routes. */
struct call_throttle
{
    std::deque<steady_time> failedCalls; ///< When calls of the target were refused or lost, oldest first, of the last
                                         ///< seconds; each explains one failed request.
    std::map<std::string, route_throttle> routes; ///< Routes by name of which requests failed because of calls; a
                                                  ///< route that is fully admitted again has no entry.
};

/** What the throttle takes into account of a fresh request. */
struct fresh_request
{
    bool returned = false; ///< Whether its caller has presumably been refused before.
    std::chrono::duration<double, std::milli> left{0}; ///< Time until the response should be there.
    std::chrono::duration<double, std::milli> service{0}; ///< Expected service time.
};

/** Whether a fresh request is admitted. */
struct throttle_decision
{
    bool admitted = true; ///< Whether it is.
    milliseconds retryAfter{0}; ///< Time after which the caller should come back, if it is not.
};

} // namespace quetzalspool

#endif // CALL_THROTTLE_BASE_H
