/** @file call_follower.cpp Recognizes the calls of the local target, and throttles fresh requests whose calls fail. */
#include "call_follower.h"

#include "admission_estimate_func.h"
#include "call_priority_func.h"
#include "call_throttle_func.h"

namespace quetzalspool {

namespace {

constexpr unsigned firstServerError = 500; ///< Statuses from this one on are failures of the target.

/** Whether a request at the local target is a fresh one that the throttle applies to. */
bool followsFresh(const daemon_shared &shared, const routed_request &request)
{
    // A daemon that does not follow calls sends no route.
    return shared.settings.overload.followCalls && !request.call && !request.route.empty();
}

} // namespace

std::optional<std::uint32_t> rankIfCall(daemon_shared &shared, const std::string &id)
{
    if (!shared.settings.overload.followCalls) {
        return std::nullopt;
    }
    const std::lock_guard lock(shared.admissionControl.mutex);
    return rankOfCall(shared.admissionControl.inProgress, id);
}

void markCall(const daemon_shared &shared, routed_request &request, const std::optional<std::uint32_t> &callRank,
              milliseconds retryAge)
{
    request.call = callRank.has_value();
    request.rank = callRank.value_or(request.rank);
    request.returned = shared.settings.overload.followCalls && retryAge > milliseconds(0);
}

void recordCallEnd(daemon_shared &shared, const request_trace &trace, const request_outcome &outcome, steady_time now)
{
    if (!trace.call) {
        return;
    }
    const bool answered = outcome.result == attempt_result::answered;
    // A late response does not show a lack of capacity: targets also slow down briefly under normal load.
    if (!answered) {
        countMetric(*shared.metricsRegistry, "calls_refused_total");
        const std::lock_guard lock(shared.admissionControl.mutex);
        recordFailedCall(shared.admissionControl.throttle, now);
    }
}

throttle_decision decideThrottle(const daemon_shared &shared, const admission_state &admission, call_throttle &throttle,
                                 const routed_request &request, steady_time now)
{
    if (!followsFresh(shared, request)) {
        return {};
    }
    const bool urgent = request.kind == request_class::order || request.rank < normalRank;
    const fresh_request fresh{request.returned, std::min(request.goal, request.deadline) - now,
                              std::chrono::duration<double, std::milli>(expectedServiceMs(admission, urgent))};
    return throttleFresh(throttle, request.route, fresh, now);
}

std::optional<admission_result> throttleRequest(daemon_shared &shared, const routed_request &request, steady_time now)
{
    auto &control = shared.admissionControl;
    const auto decision = decideThrottle(shared, control.admission, control.throttle, request, now);
    if (decision.admitted) {
        return std::nullopt;
    }
    ++control.admission.refusals[refusal::throttled];
    countMetric(*shared.metricsRegistry, "requests_throttled_total{route=\"" + request.route + "\"}");
    if (consumeTokens(control.throttleLogBudget, now)) {
        logEvent(log_level::info, "route-throttled",
                 {{"route", request.route},
                  {"share", std::to_string(admittedShare(control.throttle, request.route))},
                  {"retry_ms", std::to_string(decision.retryAfter.count())},
                  {"lines_dropped", std::to_string(std::exchange(control.throttleLogBudget.dropped, 0))}});
    }
    return admission_result{false, false, refusal::throttled, decision.retryAfter};
}

void recordTargetEnd(daemon_shared &shared, const routed_request &request, const request_outcome &outcome,
                     const target_end &end, steady_time now)
{
    if (!followsFresh(shared, request) || outcome.result == attempt_result::not_run) {
        return;
    }
    const bool lost = outcome.result == attempt_result::unknown || end.status >= firstServerError;
    const std::lock_guard lock(shared.admissionControl.mutex);
    recordEnd(shared.admissionControl.throttle, request.route, lost, end.startedAt, now);
}

} // namespace quetzalspool
