/** @file caller_retry_base.h What a daemon has seen of callers that come back after a refusal. */
#ifndef CALLER_RETRY_BASE_H
#define CALLER_RETRY_BASE_H

#include "base_type.h"

#include <map>
#include <string>

namespace quetzalspool {

/** Callers of one route. */
struct route_retries
{
    double longestDeadlineMs = 0; ///< Longest deadline named lately, in milliseconds.
    double firstDeadlineMs = 0; ///< Mean deadline of first attempts, in milliseconds.
    double expectedRetries = 0; ///< Callers that got no answer from a target and may come back, old ones counting less.
    steady_time decayedAt{}; ///< When the above was last aged.
};

/** Callers of all routes, as one thread sees them. */
struct caller_retries
{
    std::map<std::string, route_retries> routes; ///< By name of the route.
};

} // namespace quetzalspool

#endif // CALLER_RETRY_BASE_H
