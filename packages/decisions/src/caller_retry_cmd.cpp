/** @file caller_retry_cmd.cpp Decisions about how long callers have been asking. */
#include "caller_retry_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double firstPart = 0.75; ///< First attempts name at least this part of the longest deadline.
constexpr double usualSmoothing = 0.05; ///< Weight of the newest first attempt.
constexpr std::chrono::seconds longestHalfLife{60}; ///< The longest deadline halves in this time unless named again.
constexpr std::chrono::seconds awayHalfLife{3}; ///< A caller that was turned away counts half after this long.

double leftAfter(std::chrono::duration<double> past, std::chrono::seconds halfLife)
{
    return std::exp2(-past / halfLife);
}

route_callers &agedRoute(caller_ages &ages, const std::string &name, steady_time now)
{
    auto &route = ages.routes[name];
    const auto past = now - route.agedAt;
    route.longestMs *= leftAfter(past, longestHalfLife);
    route.turnedAway *= leftAfter(past, awayHalfLife);
    route.agedAt = now;
    return route;
}

} // namespace

milliseconds noteCaller(caller_ages &ages, const std::string &route, milliseconds deadline, steady_time now)
{
    auto &seen = agedRoute(ages, route, now);
    const auto named = static_cast<double>(deadline.count());
    seen.longestMs = std::max(seen.longestMs, named);
    if (named < seen.longestMs * firstPart && seen.turnedAway >= 0.5) {
        seen.turnedAway = std::max(seen.turnedAway - 1, 0.0);
        return milliseconds(std::llround(std::max(seen.usualMs - named, 0.0)));
    }
    seen.usualMs += seen.usualMs == 0 ? named : usualSmoothing * (named - seen.usualMs);
    return milliseconds(0);
}

void noteTurnedAway(caller_ages &ages, const std::string &route, steady_time now)
{
    agedRoute(ages, route, now).turnedAway += 1;
}

} // namespace quetzalspool
