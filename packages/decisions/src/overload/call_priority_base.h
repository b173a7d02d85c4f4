/** @file call_priority_base.h State by which calls, requests that targets make within others, go before fresh requests.
 */
#ifndef CALL_PRIORITY_BASE_H
#define CALL_PRIORITY_BASE_H

#include "base_type.h"

#include <map>
#include <string>
#include <tuple>

namespace quetzalspool {

/** Priority by class and rank; smaller goes first. */
using request_urgency = std::tuple<int, std::uint32_t>;

/** Requests in progress at the local target. The calls that the target makes belong to one of them. */
struct requests_in_progress
{
    std::map<std::string, std::uint32_t> ranks; ///< Rank by the id with which the target got the request.
};

/** Period after the refusal of a call in which fresh requests of the same or less urgency are refused. */
struct call_hold
{
    std::map<request_urgency, steady_time> until; ///< End of the period by the urgency of the refused call.
};

/** Calls at the local target, by which the waits of fresh requests are predicted. */
struct call_estimate
{
    double serviceMs = 0; ///< Exponential average of their service time in milliseconds; 0 if there were none.
    std::uint32_t inFlight[2] = {0, 0}; ///< Normal and urgent ones in flight.
    double meanInFlight[2] = {0, 0}; ///< The same, smoothed: concurrency not available to fresh requests.
    steady_time updatedAt{}; ///< When the averages were last updated.
};

} // namespace quetzalspool

#endif // CALL_PRIORITY_BASE_H
