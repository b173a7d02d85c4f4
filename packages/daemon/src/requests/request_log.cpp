/** @file request_log.cpp Log lines and metrics about requests. */
#include "request_log.h"

#include "reason_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr std::size_t sampleInterval = 32; ///< One in so many requests answered in time is logged, at both ends.

std::string formatMs(milliseconds span)
{
    return std::to_string(span.count());
}

std::string formatRate(double perSecond)
{
    return std::to_string(perSecond);
}

milliseconds elapsedMs(steady_time from, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - from);
}

/** Whether an answered request is sampled, by its id alone, so that all daemons log the same requests. */
bool isSampled(const std::string &id)
{
    return std::hash<std::string>{}(id) % sampleInterval == 0;
}

/** Whether a request is logged as a failure: not answered, incomplete, or late. Operators investigate these. */
bool isFailure(const request_outcome &outcome, steady_time goal, steady_time now)
{
    return outcome.result != attempt_result::answered || !outcome.complete || now > goal;
}

bool isLate(const request_outcome &outcome, steady_time goal, steady_time now)
{
    return outcome.result == attempt_result::answered && now > goal;
}

/** Reserves log lines for a request. Returns the number of lines dropped before, or nothing if none may be written. */
std::optional<std::uint64_t> reserveLines(request_log_budget &requestBudget, const std::string &id, bool failure,
                                          std::uint32_t count, steady_time now)
{
    if (!failure && !isSampled(id)) {
        return std::nullopt;
    }
    auto &budget = failure ? requestBudget.failures : requestBudget.successes;
    if (!consumeTokens(budget, now, count)) {
        return std::nullopt;
    }
    return std::exchange(budget.dropped, 0);
}

/** Logs what a target was chosen by, and what its daemon reported then. */
void logChoice(const request_trace &trace, const attempt_trace &attempt)
{
    logEvent(log_level::info, "choice",
             {{"id", trace.id},
              {"attempt", attempt.attempt},
              {"owner", attempt.owner.value},
              {"expected", formatRate(*attempt.expected)},
              {"load", attempt.outcome.loadPerSlot ? formatRate(*attempt.outcome.loadPerSlot) : ""},
              {"service_ms", attempt.outcome.serviceMs ? formatRate(*attempt.outcome.serviceMs) : ""}});
}

void logAttempt(const request_trace &trace, const attempt_trace &attempt, std::size_t number)
{
    logEvent(log_level::info, "attempt",
             {{"id", trace.id},
              {"attempt", attempt.attempt},
              {"number", std::to_string(number)},
              {"owner", attempt.owner.value},
              {"pool", trace.pool.value},
              {"slot", attempt.slot ? std::to_string(attempt.slot->slot.value) : ""},
              {"fence", attempt.slot ? std::to_string(attempt.slot->fence.value) : ""},
              {"tables_version", std::to_string(attempt.tables)},
              {"owners_revision", std::to_string(attempt.owners.value)},
              {"after_ms", formatMs(attempt.startOffset)},
              {"took_ms", formatMs(attempt.duration)},
              {"outcome", nameOf(attempt.outcome.result)},
              {"reason", reasonWord(attempt.outcome.reasonText)},
              {"detail", attempt.outcome.logDetail.empty() ? attempt.outcome.reasonText : attempt.outcome.logDetail}});
    if (attempt.expected) {
        logChoice(trace, attempt);
    }
}

} // namespace

void logRequest(request_log_budget &requestBudget, const request_trace &trace, const request_outcome &outcome,
                steady_time now)
{
    const auto choices = std::count_if(trace.attempts.begin(), trace.attempts.end(),
                                       [](const auto &attempt) { return attempt.expected.has_value(); });
    const auto count = static_cast<std::uint32_t>(trace.attempts.size() + 1 + static_cast<std::size_t>(choices));
    const auto dropped = reserveLines(requestBudget, trace.id, isFailure(outcome, trace.goal, now), count, now);
    if (!dropped) {
        return;
    }
    for (std::size_t at = 0; at < trace.attempts.size(); ++at) {
        logAttempt(trace, trace.attempts[at], at + 1);
    }
    logEvent(log_level::info, "request-ended",
             {{"id", trace.id},
              {"route", trace.route},
              {"tables_version", std::to_string(trace.tables)},
              {"outcome", nameOf(outcome.result)},
              {"reason", reasonWord(outcome.reasonText)},
              {"late", isLate(outcome, trace.goal, now) ? "1" : "0"},
              {"whole", outcome.complete ? "1" : "0"},
              {"caller_left", trace.callerDisconnected ? "1" : "0"},
              {"attempts", std::to_string(trace.attempts.size())},
              {"took_ms", formatMs(elapsedMs(trace.arrivedAt, now))},
              {"retry_ms", formatMs(outcome.retryAfter)},
              {"lines_dropped", std::to_string(*dropped)}});
}

std::optional<std::uint64_t> reserveAttemptLine(request_log_budget &requestBudget, const routed_request &request,
                                                const request_outcome &outcome, steady_time now)
{
    return reserveLines(requestBudget, request.id, isFailure(outcome, request.goal, now), 1, now);
}

void logLocalAttempt(const routed_request &request, const local_attempt_trace &trace, const request_outcome &outcome,
                     std::uint64_t dropped, steady_time now)
{
    const bool admitted = trace.admittedAt != steady_time{};
    logEvent(log_level::info, "run",
             {{"id", request.id},
              {"attempt", request.attempt},
              {"pool", request.pool.value},
              {"slot", request.slot ? std::to_string(request.slot->slot.value) : ""},
              {"fence", request.slot ? std::to_string(request.slot->fence.value) : ""},
              {"class", request.kind == request_class::order ? "order" : "lookup"},
              {"rank", std::to_string(request.rank)},
              {"call", request.call ? "1" : "0"},
              {"in_flight", std::to_string(trace.inFlight)},
              {"queued", std::to_string(trace.queued)},
              {"service_ms", formatMs(trace.expectedService)},
              {"limit", trace.limitPerSecond ? formatRate(*trace.limitPerSecond) : ""},
              {"lease_left_ms", formatMs(trace.leaseLeft)},
              {"waited_ms", formatMs(elapsedMs(trace.queuedAt, admitted ? trace.admittedAt : now))},
              {"target_ms", admitted ? formatMs(elapsedMs(trace.admittedAt, now)) : ""},
              {"handed_over", trace.handedOver ? "1" : "0"},
              {"outcome", nameOf(outcome.result)},
              {"reason", reasonWord(outcome.reasonText)},
              {"late", isLate(outcome, request.goal, now) ? "1" : "0"},
              {"detail", trace.detail},
              {"lines_dropped", std::to_string(dropped)}});
}

void logNotice(const target_notice &notice, const notice_effect &effect)
{
    if (effect.beganLeaving) {
        logEvent(log_level::info, "target-says-leaving");
    }
    if (effect.limit != limit_change::none) {
        const bool named = notice.limit == limit_statement::named;
        logEvent(log_level::info, "target-limit",
                 {{"change", nameOf(effect.limit)}, {"limit", named ? formatRate(notice.requestsPerSecond) : ""}});
    }
}

void logReminder(const leaving_target &target, steady_time now)
{
    logEvent(log_level::info, "target-remembered-leaving",
             {{"target", target.incarnation.id}, {"since_ms", formatMs(elapsedMs(target.since, now))}});
}

void countRequest(metrics &registry, const request_trace &trace, const request_outcome &outcome, steady_time now)
{
    const std::string result = nameOf(outcome.result);
    countMetric(registry,
                "requests_total{route=\"" + trace.route + "\",outcome=\"" + result + "\",reason=\""
                    + reasonWord(outcome.reasonText) + "\"}");
    countMetric(registry,
                "attempts_total{count=\"" + std::to_string(std::min<std::size_t>(trace.attempts.size(), 9)) + "\"}");
    observeDuration(registry, "request_seconds{outcome=\"" + result + "\"}",
                    std::chrono::duration_cast<std::chrono::microseconds>(now - trace.arrivedAt));
}

} // namespace quetzalspool
