/** @file admission_estimate.cpp Slots that requests get beside one target, and how long they wait for one. */
#include "admission_estimate_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double warmUpStart = 0.25; ///< Share of the concurrency that a cold target gets at once.
constexpr double serviceSmoothing = 0.1; ///< Weight of the newest service time.
constexpr std::uint32_t reservePart = 6; ///< One slot in so many is left free for urgent requests.
constexpr milliseconds urgentTime{2000}; ///< Slots are left free for this long after an urgent request.
constexpr milliseconds urgentUseTime{2000}; ///< Span over which the slots used by urgent requests are smoothed.
constexpr double waitMargin = 2.0; ///< The wait of usual lookups varies: reckoned at its mean, half of the last ones
                                   ///< let in would be late.
constexpr double leastService = 0.1; ///< Milliseconds; a target is never reckoned faster.
constexpr double leastPass = 2; ///< Milliseconds; answers that are passed on in less don't wait for each other.
constexpr double leastVariance = 0.1; ///< Of the number of answers passed on at once: below, it shows no slope.
constexpr double leastSlots = 0.5; ///< Slots that usual lookups are reckoned to get at least, all together.

/** Requests that may be in flight now: fewer while the target is cold or was stalled. */
std::uint32_t concurrencyNow(const admission_state &state, steady_time now)
{
    if (state.probing) {
        return 1;
    }
    const auto warm =
        std::chrono::duration<double>(now - state.announcedAt) / std::chrono::duration<double>(state.limits.warmUp);
    const auto share = std::clamp(warmUpStart + (1 - warmUpStart) * warm, warmUpStart, 1.0);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(state.limits.concurrency * share)));
}

/** Brings the smoothed use by urgent requests up to date. Called before their number changes. */
void smoothUrgentUse(admission_state &state, steady_time now)
{
    const auto past = std::chrono::duration<double>(now - state.urgentUseAt) / urgentUseTime;
    state.urgentUse += (state.urgentInFlight - state.urgentUse) * (1 - std::exp(-past));
    state.urgentUseAt = now;
}

void smoothService(double &service, double newest)
{
    service = service == 0 ? newest : service + serviceSmoothing * (newest - service);
}

} // namespace

bool isUrgent(const admission_request &request)
{
    return request.kind == request_class::order || request.rank < usualRank;
}

double serviceOf(const admission_state &state, bool urgent)
{
    const auto known = urgent ? state.urgentServiceMs : state.usualServiceMs;
    return state.goalBound && known > 0 ? known : state.serviceMs;
}

void noteService(admission_state &state, const admission_request &request, milliseconds service)
{
    const auto newest = static_cast<double>(service.count());
    smoothService(state.serviceMs, newest);
    state.serviceMs = std::max(state.serviceMs, leastService);
    smoothService(isUrgent(request) ? state.urgentServiceMs : state.usualServiceMs, newest);
}

void notePassed(admission_state &state, const admission_request &request, milliseconds took)
{
    if (!request.passing || isUrgent(request)) {
        return;
    }
    auto &estimate = state.pass;
    const auto passed = static_cast<double>((took - request.worked).count());
    const auto weight = estimate.known ? serviceSmoothing : 1.0;
    const auto aheadOff = request.passedAfter - estimate.ahead;
    const auto tookOff = passed - estimate.tookMs;
    estimate.ahead += weight * aheadOff;
    estimate.tookMs += weight * tookOff;
    estimate.aheadVariance = (1 - weight) * (estimate.aheadVariance + weight * aheadOff * aheadOff);
    estimate.covariance = (1 - weight) * (estimate.covariance + weight * aheadOff * tookOff);
    estimate.known = true;
}

milliseconds passTime(const admission_state &state, std::size_t before, const admission_request &request)
{
    const auto &estimate = state.pass;
    if (!state.goalBound || isUrgent(request) || estimate.tookMs < leastPass) {
        return milliseconds(0);
    }
    const auto each =
        estimate.aheadVariance > leastVariance ? std::max(estimate.covariance / estimate.aheadVariance, 0.0) : 0.0;
    // Some of those in flight now are passed on while the target works.
    const auto done = each > 0 ? serviceOf(state, false) / each : 0.0;
    const auto ahead = std::max(static_cast<double>(state.inFlight - state.urgentInFlight + before) - done, 0.0);
    return milliseconds(std::llround(std::max(estimate.tookMs + each * (ahead - estimate.ahead), 0.0)));
}

void noteUrgent(admission_state &state, const admission_request &request, int change, steady_time now)
{
    smoothUrgentUse(state, now);
    if (isUrgent(request)) {
        assert(change > 0 || state.urgentInFlight > 0);
        state.urgentInFlight += change;
    }
}

milliseconds predictedWait(const admission_state &state, std::size_t before, bool urgent, steady_time now)
{
    const double all = concurrencyNow(state, now);
    const bool yields = state.goalBound && !urgent;
    const auto slots = yields ? std::max(all - state.urgentUse, leastSlots) : all;
    const auto mean = static_cast<double>(before + 1) / slots * serviceOf(state, urgent);
    return milliseconds(std::llround(yields ? mean * waitMargin : mean));
}

std::uint32_t slotsFor(const admission_state &state, const admission_request &request, steady_time now)
{
    const auto slots = concurrencyNow(state, now);
    if (isUrgent(request)) {
        return slots + state.passing;
    }
    const bool yields =
        state.goalBound && request.rank >= usualRank && !request.slot && now - state.urgentAt < urgentTime;
    const auto usual = yields ? std::max<std::uint32_t>(slots - slots / reservePart, 1) : slots;
    return state.goalBound ? usual + state.passing : usual;
}

} // namespace quetzalspool
