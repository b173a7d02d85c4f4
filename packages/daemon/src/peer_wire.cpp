/** @file peer_wire.cpp Requests and outcomes as headers between daemons. */
#include "peer_wire.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr std::string_view ownPrefix = "qs-"; ///< Headers of this protocol; all others are the caller's.
constexpr const char *busyHeader = "qs-busy"; ///< Requests at the target in hundredths of its slots.
constexpr const char *passedPrefix = "qs-h-"; ///< In front of a caller's header, so that none can pass for ours.

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::int64_t numberOf(const std::vector<http_header> &headers, const char *name)
{
    return std::atoll(findHeader(headers, name).c_str());
}

std::string busyText(double busy)
{
    return std::to_string(std::lround(busy * 100));
}

std::vector<http_header> passedHeaders(const std::vector<http_header> &headers)
{
    std::vector<http_header> passed;
    for (const auto &[name, value] : headers) {
        if (name.starts_with(passedPrefix)) {
            passed.emplace_back(name.substr(std::string_view(passedPrefix).size()), value);
        }
    }
    return passed;
}

} // namespace

peer_request toPeer(const routed_request &request, steady_time now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - now);
    const auto untilGoal = std::chrono::duration_cast<milliseconds>(std::min(request.goal, request.deadline) - now);
    peer_request out{runPath,
                     {{"qs-method", request.http.method},
                      {"qs-path", request.http.path},
                      {"qs-id", request.id},
                      {"qs-attempt", request.attempt},
                      {"qs-pool", request.pool.value},
                      {"qs-class", request.kind == request_class::order ? "order" : "lookup"},
                      {"qs-idempotent", request.idempotent ? "1" : "0"},
                      {"qs-goal-ms", std::to_string(untilGoal.count())},
                      {"qs-patience-ms", std::to_string(request.patience.count())},
                      {"qs-rank", std::to_string(request.rank)},
                      {"qs-deadline-ms", std::to_string(left.count())}},
                     request.http.body};
    if (request.slot) {
        out.headers.emplace_back("qs-key", request.key);
        out.headers.emplace_back("qs-slot", std::to_string(request.slot->slot.value));
        out.headers.emplace_back("qs-fence", std::to_string(request.slot->fence.value));
    }
    for (const auto &[name, value] : request.http.headers) {
        out.headers.emplace_back(passedPrefix + lower(name), value);
    }
    return out;
}

std::optional<routed_request> fromPeer(peer_request request, steady_time now)
{
    routed_request in;
    in.http = {findHeader(request.headers, "qs-method"), findHeader(request.headers, "qs-path"),
               passedHeaders(request.headers), std::move(request.body)};
    in.id = findHeader(request.headers, "qs-id");
    in.attempt = findHeader(request.headers, "qs-attempt");
    in.pool.value = findHeader(request.headers, "qs-pool");
    in.kind = findHeader(request.headers, "qs-class") == "order" ? request_class::order : request_class::lookup;
    in.idempotent = findHeader(request.headers, "qs-idempotent") == "1";
    in.rank = static_cast<std::uint32_t>(numberOf(request.headers, "qs-rank"));
    in.patience = milliseconds(numberOf(request.headers, "qs-patience-ms"));
    in.goal = now + milliseconds(numberOf(request.headers, "qs-goal-ms"));
    in.deadline = now + milliseconds(numberOf(request.headers, "qs-deadline-ms"));
    const auto fence = findHeader(request.headers, "qs-fence");
    if (!fence.empty()) {
        in.key = findHeader(request.headers, "qs-key");
        in.slot = fenced_slot{in.pool,
                              {static_cast<std::uint32_t>(numberOf(request.headers, "qs-slot"))},
                              {static_cast<std::uint64_t>(numberOf(request.headers, "qs-fence"))}};
    }
    if (in.http.method.empty() || in.http.path.empty() || in.id.empty() || in.attempt.empty()) {
        return std::nullopt;
    }
    return in;
}

std::vector<http_header> outcomeHeaders(const request_outcome &outcome)
{
    std::vector<http_header> headers{{"qs-outcome", nameOf(outcome.result)},
                                     {"qs-reason", std::to_string(static_cast<int>(outcome.reason))},
                                     {"qs-text", outcome.text},
                                     {"qs-handed-over", outcome.handedOver ? "1" : "0"},
                                     {"qs-retry-ms", std::to_string(outcome.retryAfter.count())}};
    if (outcome.busy) {
        headers.emplace_back(busyHeader, busyText(*outcome.busy));
    }
    return headers;
}

request_outcome outcomeFrom(const std::vector<http_header> &headers)
{
    request_outcome outcome;
    const auto name = findHeader(headers, "qs-outcome");
    outcome.result = name == "answered" ? attempt_result::answered
        : name == "not-run"             ? attempt_result::not_run
                                        : attempt_result::unknown;
    const auto reason = numberOf(headers, "qs-reason");
    if (reason > 0 && reason <= static_cast<std::int64_t>(refusal::cancelled)) {
        outcome.reason = static_cast<refusal>(reason);
    }
    outcome.text = findHeader(headers, "qs-text");
    outcome.handedOver = findHeader(headers, "qs-handed-over") == "1";
    outcome.retryAfter = milliseconds(numberOf(headers, "qs-retry-ms"));
    const auto busy = findHeader(headers, busyHeader);
    if (!busy.empty()) {
        outcome.busy = std::atof(busy.c_str()) / 100;
    }
    return outcome;
}

std::vector<http_header> answerHeaders(const std::vector<http_header> &headers, std::optional<std::uint64_t> length,
                                       double busy)
{
    std::vector<http_header> out{{"qs-outcome", "answered"}, {busyHeader, busyText(busy)}};
    if (length) {
        out.emplace_back("qs-length", std::to_string(*length));
    }
    for (const auto &[name, value] : headers) {
        auto key = lower(name);
        if (!key.starts_with(ownPrefix)) {
            out.emplace_back(std::move(key), value);
        }
    }
    return out;
}

} // namespace quetzalspool
