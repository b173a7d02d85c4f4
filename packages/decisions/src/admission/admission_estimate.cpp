/** @file admission_estimate.cpp Estimates for admission: concurrency, service time, queueing and transfer time. */
#include "admission_estimate_func.h"

#include "call_priority_func.h"
#include "cold_limit_func.h"
#include "rate_limit_func.h"
#include "speed_estimate_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double warmUpStart = 0.25; ///< Share of the concurrency that a target gets right after its announcement.
constexpr std::uint32_t unheardConcurrency = 2; ///< Requests in flight until the first response shows whether the
                                                ///< target has a rate limit.
constexpr double serviceSmoothing = 0.1; ///< Weight of the newest service or transfer time in the averages.
constexpr std::uint32_t urgentReserveDivisor =
    6; ///< One in this many slots of the target is reserved for urgent requests.
constexpr milliseconds urgentReserveTime{2000}; ///< The reserve is kept for this long after an urgent request.
constexpr milliseconds urgentSmoothingTime{2000}; ///< Time constant of the average of urgent requests in flight.
constexpr double waitMargin = 2.0; ///< Factor on the mean wait of normal lookups, which varies: with the mean itself,
                                   ///< half of the last ones admitted would be late.
constexpr double minServiceMs = 0.1; ///< Lower bound of the average service time.
constexpr double minTransferMs = 2; ///< Responses with a shorter mean transfer time don't wait for each other.
constexpr double minAheadVariance = 0.1; ///< Below this variance of the number of transfers, no slope can be derived.
constexpr double minNormalSlots = 0.5; ///< Lower bound of the concurrency assumed for all normal lookups together.

/** Concurrency of the target: reduced while it warms up, 1 while it is probed after a stall. */
std::uint32_t currentConcurrency(const admission_state &state, steady_time now)
{
    if (state.probing) {
        return 1;
    }
    const auto warm =
        std::chrono::duration<double>(now - state.announcedAt) / std::chrono::duration<double>(state.limits.warmUp);
    const auto share = std::clamp(warmUpStart + (1 - warmUpStart) * warm, warmUpStart, 1.0);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(state.limits.concurrency * share)));
}

/** Updates the average number of urgent requests in flight. Must be called before the number changes. */
void updateMeanUrgent(admission_state &state, steady_time now)
{
    const auto elapsed = std::chrono::duration<double>(now - state.meanUrgentUpdatedAt) / urgentSmoothingTime;
    state.meanUrgentInFlight += (state.urgentInFlight - state.meanUrgentInFlight) * (1 - std::exp(-elapsed));
    state.meanUrgentUpdatedAt = now;
}

void updateMeanService(double &service, double newest)
{
    service = service == 0 ? newest : service + serviceSmoothing * (newest - service);
}

} // namespace

bool isUrgent(const admission_request &request)
{
    return request.kind == request_class::order || request.rank < normalRank;
}

work_kind workKind(const admission_request &request)
{
    return {isUrgent(request), request.route};
}

double expectedServiceMs(const admission_state &state, bool urgent, bool call)
{
    if (call && state.calls.serviceMs > 0) {
        return state.calls.serviceMs;
    }
    if (const auto learned = learnedServiceMs(state.speed, urgent); learned > 0) {
        return learned;
    }
    const auto known = urgent ? state.urgentServiceMs : state.normalServiceMs;
    return state.enforceGoals && known > 0 ? known : state.serviceMs;
}

void recordServiceTime(admission_state &state, const admission_request &request, milliseconds service, steady_time now)
{
    const auto newest = static_cast<double>(service.count());
    updateMeanService(state.serviceMs, newest);
    state.serviceMs = std::max(state.serviceMs, minServiceMs);
    auto &kind = request.call ? state.calls.serviceMs
        : isUrgent(request)   ? state.urgentServiceMs
                              : state.normalServiceMs;
    updateMeanService(kind, newest);
    if (!request.failed && !request.call) {
        learnService(state.speed, workKind(request), service, now);
    }
}

void recordTransfer(admission_state &state, const admission_request &request, milliseconds took)
{
    if (!request.transferring || isUrgent(request)) {
        return;
    }
    auto &estimate = state.transfer;
    const auto transferMs = static_cast<double>((took - request.serviceTime).count());
    const auto weight = estimate.known ? serviceSmoothing : 1.0;
    const auto aheadError = request.transfersAhead - estimate.meanAhead;
    const auto transferError = transferMs - estimate.meanMs;
    estimate.meanAhead += weight * aheadError;
    estimate.meanMs += weight * transferError;
    estimate.aheadVariance = (1 - weight) * (estimate.aheadVariance + weight * aheadError * aheadError);
    estimate.covariance = (1 - weight) * (estimate.covariance + weight * aheadError * transferError);
    estimate.known = true;
}

milliseconds predictedTransfer(const admission_state &state, std::size_t before, const admission_request &request)
{
    const auto &estimate = state.transfer;
    if (!state.enforceGoals || isUrgent(request) || estimate.meanMs < minTransferMs) {
        return milliseconds(0);
    }
    const auto msPerResponse =
        estimate.aheadVariance > minAheadVariance ? std::max(estimate.covariance / estimate.aheadVariance, 0.0) : 0.0;
    // Some of the responses in flight are transferred while the target processes the request.
    const auto transferredMeanwhile = msPerResponse > 0 ? expectedServiceMs(state, false) / msPerResponse : 0.0;
    const auto ahead =
        std::max(static_cast<double>(state.inFlight - state.urgentInFlight + before) - transferredMeanwhile, 0.0);
    return milliseconds(std::llround(std::max(estimate.meanMs + msPerResponse * (ahead - estimate.meanAhead), 0.0)));
}

void countUrgent(admission_state &state, const admission_request &request, int change, steady_time now)
{
    updateMeanUrgent(state, now);
    if (isUrgent(request)) {
        assert(change > 0 || state.urgentInFlight > 0);
        state.urgentInFlight += change;
    }
    if (request.call) {
        countCall(state.calls, isUrgent(request), change, now);
    }
}

milliseconds predictedWait(const admission_state &state, std::size_t before, bool urgent, steady_time now, bool call)
{
    const double concurrency = currentConcurrency(state, now);
    const bool yields = state.enforceGoals && !urgent;
    const auto forUrgent = yields ? state.meanUrgentInFlight : 0;
    // Urgent calls are among the urgent requests.
    const auto forCalls =
        call ? 0 : slotsOfCalls(state.calls, urgent, now) - (yields ? slotsOfCalls(state.calls, true, now) : 0);
    const auto taken = forUrgent + forCalls;
    const auto slots = taken > 0 ? std::max(concurrency - taken, minNormalSlots) : concurrency;
    // A call waits for the requests of all kinds that run.
    const auto service = call ? state.serviceMs : expectedServiceMs(state, urgent);
    const auto forSlot = static_cast<double>(before + 1) / slots * service;
    const auto forToken = static_cast<double>(predictedTokenWait(state.rate, before, !yields, now).count());
    const auto forColdToken = static_cast<double>(predictedColdWait(state.cold, before, now).count());
    const auto mean = std::max({forSlot, forToken, forColdToken});
    return milliseconds(std::llround(yields && !call ? mean * waitMargin : mean));
}

std::uint32_t concurrencyFor(const admission_state &state, const admission_request &request, steady_time now)
{
    if (!state.heard) {
        return unheardConcurrency;
    }
    const auto slots = currentConcurrency(state, now);
    if (isUrgent(request)) {
        return slots + state.transferring;
    }
    const bool yields = state.enforceGoals && request.rank >= normalRank && !request.slot && !request.call
        && now - state.lastUrgentAt < urgentReserveTime;
    const auto normal = yields ? std::max<std::uint32_t>(slots - slots / urgentReserveDivisor, 1) : slots;
    return state.enforceGoals ? normal + state.transferring : normal;
}

} // namespace quetzalspool
