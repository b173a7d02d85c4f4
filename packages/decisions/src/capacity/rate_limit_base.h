/** @file rate_limit_base.h State of the rate limit that the local target names in its responses. */
#ifndef RATE_LIMIT_BASE_H
#define RATE_LIMIT_BASE_H

#include "base_type.h"

#include <optional>

namespace quetzalspool {

/** Rate limit of the local target: a token bucket. Each request that is handed over takes a token. */
struct rate_limit
{
    std::optional<double> perSecond; ///< Requests per second that the target takes; unset while it names no limit.
    steady_time namedAt{}; ///< When a response last named it.
    double tokens = 0; ///< Tokens at `refilledAt`.
    steady_time refilledAt{}; ///< Up to when tokens were added.
    double urgentPerSecond = 0; ///< Smoothed rate of urgent requests, at `urgentUpdatedAt`.
    steady_time urgentUpdatedAt{}; ///< When that rate was last updated.
    steady_time returnsPlannedUntil{}; ///< Refused callers have been told to come back at times up to this one.
};

/** What a response changed. */
enum class limit_change
{
    none, ///< Nothing.
    begun, ///< There was no limit before.
    changed, ///< The limit has another value.
    ended, ///< There is no limit any more.
    unreadable, ///< Nothing, since the limit named can't be read.
};

} // namespace quetzalspool

#endif // RATE_LIMIT_BASE_H
