/** @file admission_cold.cpp Requests that wait for a token of a cold target. */
#include "admission_cold_func.h"

#include "admission_estimate_func.h"
#include "cold_limit_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double minServiceShare = 0.5; ///< Share of the mean service time that a request is assumed to take at least.

} // namespace

steady_time latestWhileCold(const admission_state &state, const admission_request &request, steady_time latest,
                            steady_time now)
{
    return hasColdToken(state.cold, now) ? latest : std::min(latest, request.goal);
}

bool missesGoalWhileCold(const admission_state &state, const admission_request &request, std::size_t before,
                         steady_time latest, steady_time now)
{
    if (hasColdToken(state.cold, now)) {
        return false;
    }
    const milliseconds least(std::llround(expectedServiceMs(state, isUrgent(request)) * minServiceShare));
    const auto wait = predictedColdWait(state.cold, before, now);
    return now + wait + least > latestWhileCold(state, request, latest, now);
}

void countColdRefusal(admission_state &state, steady_time now)
{
    state.cold.refusals += hasColdToken(state.cold, now) ? 0 : 1;
}

} // namespace quetzalspool
