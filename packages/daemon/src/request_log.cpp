/** @file request_log.cpp Log lines and counts about requests. */
#include "request_log.h"

#include "reason_func.h"

namespace quetzalspool {

namespace {

constexpr std::size_t sampledPart = 32; ///< Of requests answered in time, one in so many is logged, at both ends.

std::string shown(milliseconds span)
{
    return std::to_string(span.count());
}

milliseconds since(steady_time from, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - from);
}

/** Whether an answered request belongs to the sample. All daemons choose the same ones. */
bool isSampled(const std::string &id)
{
    return std::hash<std::string>{}(id) % sampledPart == 0;
}

/** Whether a request is one of those that operators ask about: not answered, not whole, or late. */
bool isFailure(const request_outcome &outcome, steady_time goal, steady_time now)
{
    return outcome.result != attempt_result::answered || !outcome.whole || now > goal;
}

bool isLate(const request_outcome &outcome, steady_time goal, steady_time now)
{
    return outcome.result == attempt_result::answered && now > goal;
}

/** Takes the right to write lines about a request; gives how many were left out before, or nothing. */
std::optional<std::uint64_t> takeRight(request_lines &lines, const std::string &id, bool failure, std::uint32_t count,
                                       steady_time now)
{
    if (!failure && !isSampled(id)) {
        return std::nullopt;
    }
    auto &budget = failure ? lines.failures : lines.answers;
    if (!takeLines(budget, now, count)) {
        return std::nullopt;
    }
    return std::exchange(budget.dropped, 0);
}

void logAttempt(const request_note &note, const attempt_note &attempt, std::size_t number)
{
    logEvent(log_level::info, "attempt",
             {{"id", note.id},
              {"attempt", attempt.attempt},
              {"number", std::to_string(number)},
              {"owner", attempt.owner.value},
              {"pool", note.pool.value},
              {"slot", attempt.slot ? std::to_string(attempt.slot->slot.value) : ""},
              {"fence", attempt.slot ? std::to_string(attempt.slot->fence.value) : ""},
              {"tables_version", std::to_string(attempt.tables)},
              {"owners_revision", std::to_string(attempt.owners.value)},
              {"after_ms", shown(attempt.startedAfter)},
              {"took_ms", shown(attempt.took)},
              {"outcome", nameOf(attempt.outcome.result)},
              {"reason", reasonWord(attempt.outcome.text)},
              {"detail", attempt.outcome.text}});
}

} // namespace

void logRequest(request_lines &lines, const request_note &note, const request_outcome &outcome, steady_time now)
{
    const auto count = static_cast<std::uint32_t>(note.attempts.size() + 1);
    const auto dropped = takeRight(lines, note.id, isFailure(outcome, note.goal, now), count, now);
    if (!dropped) {
        return;
    }
    for (std::size_t at = 0; at < note.attempts.size(); ++at) {
        logAttempt(note, note.attempts[at], at + 1);
    }
    logEvent(log_level::info, "request-ended",
             {{"id", note.id},
              {"route", note.route},
              {"outcome", nameOf(outcome.result)},
              {"reason", reasonWord(outcome.text)},
              {"late", isLate(outcome, note.goal, now) ? "1" : "0"},
              {"whole", outcome.whole ? "1" : "0"},
              {"caller_left", note.callerLeft ? "1" : "0"},
              {"attempts", std::to_string(note.attempts.size())},
              {"took_ms", shown(since(note.arrivedAt, now))},
              {"retry_ms", shown(outcome.retryAfter)},
              {"lines_dropped", std::to_string(*dropped)}});
}

std::optional<std::uint64_t> takeRunLine(request_lines &lines, const routed_request &request,
                                         const request_outcome &outcome, steady_time now)
{
    return takeRight(lines, request.id, isFailure(outcome, request.goal, now), 1, now);
}

void logRun(const routed_request &request, const run_note &note, const request_outcome &outcome, std::uint64_t dropped,
            steady_time now)
{
    const bool admitted = note.admittedAt != steady_time{};
    logEvent(log_level::info, "run",
             {{"id", request.id},
              {"attempt", request.attempt},
              {"pool", request.pool.value},
              {"slot", request.slot ? std::to_string(request.slot->slot.value) : ""},
              {"fence", request.slot ? std::to_string(request.slot->fence.value) : ""},
              {"class", request.kind == request_class::order ? "order" : "lookup"},
              {"rank", std::to_string(request.rank)},
              {"in_flight", std::to_string(note.inFlight)},
              {"queued", std::to_string(note.queued)},
              {"service_ms", shown(note.service)},
              {"lease_left_ms", shown(note.leaseLeft)},
              {"waited_ms", shown(since(note.askedAt, admitted ? note.admittedAt : now))},
              {"target_ms", admitted ? shown(since(note.admittedAt, now)) : ""},
              {"handed_over", note.handedOver ? "1" : "0"},
              {"outcome", nameOf(outcome.result)},
              {"reason", reasonWord(outcome.text)},
              {"late", isLate(outcome, request.goal, now) ? "1" : "0"},
              {"detail", note.detail},
              {"lines_dropped", std::to_string(dropped)}});
}

void countRequest(metrics &numbers, const request_note &note, const request_outcome &outcome, steady_time now)
{
    const std::string result = nameOf(outcome.result);
    countMetric(numbers,
                "requests_total{route=\"" + note.route + "\",outcome=\"" + result + "\",reason=\""
                    + reasonWord(outcome.text) + "\"}");
    countMetric(numbers,
                "attempts_total{count=\"" + std::to_string(std::min<std::size_t>(note.attempts.size(), 9)) + "\"}");
    observeDuration(numbers, "request_seconds{outcome=\"" + result + "\"}",
                    std::chrono::duration_cast<std::chrono::microseconds>(now - note.arrivedAt));
}

} // namespace quetzalspool
