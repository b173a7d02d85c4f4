/** @file caller_response.cpp Responses to callers whose requests got none from a target. */
#include "caller_response.h"

#include "http_client.h"

#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

constexpr milliseconds refusalRetryAfter{300}; ///< Suggested retry time of requests refused before routing.

unsigned statusOf(const request_outcome &outcome)
{
    if (outcome.result == attempt_result::not_run) {
        return serviceUnavailable;
    }
    return outcome.reasonText == "duplicate" ? 409 : 504;
}

void addHeader(http_response &response, const std::string &name, std::string value)
{
    if (!name.empty()) {
        response.headers.emplace_back(name, std::move(value));
    }
}

/** Value of Retry-After in seconds: fractional if the callers accept that, else rounded up. */
std::string formatRetryAfter(const header_profile &names, milliseconds wait)
{
    wait = std::max(wait, milliseconds(1));
    if (!names.fractionalRetryAfter) {
        return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(wait).count());
    return text;
}

} // namespace

caller_refusal refusalWithoutRoute(bool hasTables)
{
    return hasTables ? caller_refusal{404, "no-route"} : caller_refusal{serviceUnavailable, "no-tables-yet"};
}

http_response failureResponse(const header_profile &names, const request_outcome &outcome)
{
    const nlohmann::json body{{"outcome", nameOf(outcome.result)},
                              {"reason", outcome.reasonText},
                              {"retry_after_ms", outcome.retryAfter.count()}};
    auto response = jsonResponse(statusOf(outcome), body.dump() + "\n");
    addHeader(response, names.outcome, nameOf(outcome.result));
    addHeader(response, names.reason, outcome.reasonText);
    if (outcome.result == attempt_result::not_run) {
        response.headers.emplace_back("Retry-After", formatRetryAfter(names, outcome.retryAfter));
        addHeader(response, names.retryAfterMs, std::to_string(outcome.retryAfter.count()));
    }
    return response;
}

http_response refusalResponse(const header_profile &names, const caller_refusal &rejection)
{
    const nlohmann::json body{{"outcome", "not-run"}, {"reason", rejection.reason}};
    auto response = jsonResponse(rejection.status, body.dump() + "\n");
    addHeader(response, names.outcome, "not-run");
    addHeader(response, names.reason, rejection.reason);
    if (rejection.status == serviceUnavailable) {
        response.headers.emplace_back("Retry-After", formatRetryAfter(names, refusalRetryAfter));
    }
    return response;
}

} // namespace quetzalspool
