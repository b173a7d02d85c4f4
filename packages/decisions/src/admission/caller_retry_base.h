/** @file caller_retry_base.h Statistics for recognizing callers that retry after a refusal. */
#ifndef CALLER_RETRY_BASE_H
#define CALLER_RETRY_BASE_H

#include "base_type.h"

#include <map>
#include <string>

namespace quetzalspool {

/** Statistics of the callers of one route. */
struct route_retries
{
    double longestDeadlineMs = 0; ///< Longest recent deadline in milliseconds, decaying.
    double firstDeadlineMs = 0; ///< Average deadline of first attempts, in milliseconds.
    double expectedRetries = 0; ///< Callers that got no response from a target and may retry, decaying.
    steady_time decayedAt{}; ///< When the decay was last applied.
};

/** Statistics of all routes, per thread. */
struct caller_retries
{
    std::map<std::string, route_retries> routes; ///< By name of the route.
};

} // namespace quetzalspool

#endif // CALLER_RETRY_BASE_H
