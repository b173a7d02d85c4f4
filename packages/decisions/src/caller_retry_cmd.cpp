/** @file caller_retry_cmd.cpp Recognizes retries of callers and estimates the time since their first attempt. */
#include "caller_retry_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double firstAttemptShare = 0.75; ///< First attempts have at least this share of the longest deadline.
constexpr double firstDeadlineSmoothing = 0.05; ///< Weight of the newest first attempt in the average.
constexpr std::chrono::seconds longestDeadlineHalfLife{
    60}; ///< Half-life of the longest deadline while no request has it.
constexpr std::chrono::seconds expectedRetryHalfLife{3}; ///< Half-life of the number of expected retries.

double decayFactor(std::chrono::duration<double> past, std::chrono::seconds halfLife)
{
    return std::exp2(-past / halfLife);
}

route_retries &decayedRoute(caller_retries &retries, const std::string &name, steady_time now)
{
    auto &route = retries.routes[name];
    const auto past = now - route.decayedAt;
    route.longestDeadlineMs *= decayFactor(past, longestDeadlineHalfLife);
    route.expectedRetries *= decayFactor(past, expectedRetryHalfLife);
    route.decayedAt = now;
    return route;
}

} // namespace

milliseconds estimateRetryAge(caller_retries &retries, const std::string &route, milliseconds deadline, steady_time now)
{
    auto &seen = decayedRoute(retries, route, now);
    const auto named = static_cast<double>(deadline.count());
    seen.longestDeadlineMs = std::max(seen.longestDeadlineMs, named);
    if (named < seen.longestDeadlineMs * firstAttemptShare && seen.expectedRetries >= 0.5) {
        seen.expectedRetries = std::max(seen.expectedRetries - 1, 0.0);
        return milliseconds(std::llround(std::max(seen.firstDeadlineMs - named, 0.0)));
    }
    seen.firstDeadlineMs += seen.firstDeadlineMs == 0 ? named : firstDeadlineSmoothing * (named - seen.firstDeadlineMs);
    return milliseconds(0);
}

void expectRetry(caller_retries &retries, const std::string &route, steady_time now)
{
    decayedRoute(retries, route, now).expectedRetries += 1;
}

} // namespace quetzalspool
