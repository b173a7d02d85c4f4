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

double decayFactor(std::chrono::duration<double> elapsed, std::chrono::seconds halfLife)
{
    return std::exp2(-elapsed / halfLife);
}

route_retries &decayedRoute(caller_retries &retries, const std::string &name, steady_time now)
{
    auto &route = retries.routes[name];
    const auto elapsed = now - route.decayedAt;
    route.longestDeadlineMs *= decayFactor(elapsed, longestDeadlineHalfLife);
    route.expectedRetries *= decayFactor(elapsed, expectedRetryHalfLife);
    route.decayedAt = now;
    return route;
}

} // namespace

milliseconds estimateRetryAge(caller_retries &retries, const std::string &route, milliseconds deadline, steady_time now)
{
    auto &statistics = decayedRoute(retries, route, now);
    const auto deadlineMs = static_cast<double>(deadline.count());
    statistics.longestDeadlineMs = std::max(statistics.longestDeadlineMs, deadlineMs);
    if (deadlineMs < statistics.longestDeadlineMs * firstAttemptShare && statistics.expectedRetries >= 0.5) {
        statistics.expectedRetries = std::max(statistics.expectedRetries - 1, 0.0);
        return milliseconds(std::llround(std::max(statistics.firstDeadlineMs - deadlineMs, 0.0)));
    }
    statistics.firstDeadlineMs += statistics.firstDeadlineMs == 0
        ? deadlineMs
        : firstDeadlineSmoothing * (deadlineMs - statistics.firstDeadlineMs);
    return milliseconds(0);
}

void expectRetry(caller_retries &retries, const std::string &route, steady_time now)
{
    decayedRoute(retries, route, now).expectedRetries += 1;
}

} // namespace quetzalspool
