/** @file peer_wire.cpp Encoding of requests and outcomes as headers between daemons. */
#include "peer_wire.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace quetzalspool {

namespace {

constexpr std::string_view protocolPrefix =
    "qs-"; ///< Prefix of this protocol's headers; all others are the caller's or the target's.
constexpr const char *loadHeader = "qs-busy"; ///< Load of the target, in hundredths of its slots.
constexpr const char *serviceHeader = "qs-service-ms"; ///< Expected service time at the target.
constexpr double maxServiceMs = 3600000; ///< A longer service time is not believed.
constexpr const char *callerPrefix =
    "qs-h-"; ///< Prefix added to a caller's headers, so that none is taken for a protocol header.

constexpr const char *crashesHeader =
    "qs-crashes"; ///< Crashes of targets of which the request is suspected, as far as the sender knows.
constexpr const char *callHeader = "qs-call"; ///< Set if a target makes the request within another one.
constexpr const char *returnedHeader = "qs-returned"; ///< Set if the caller has presumably been refused before.
constexpr std::int64_t maxCrashes = 1000; ///< A larger number is not believed.
constexpr milliseconds maxAge{60000}; ///< Longest time sent since which a target is leaving; its leave time is shorter.

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::int64_t parseNumber(const std::vector<http_header> &headers, const char *name)
{
    return std::atoll(findHeader(headers, name).c_str());
}

/** Crashes of which a request is suspected, as far as the other daemon knows; 0 if it does not say. */
std::uint32_t parseCrashes(const std::vector<http_header> &headers)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(parseNumber(headers, crashesHeader), 0, maxCrashes));
}

/** Adds a number unless it is 0, which is what daemons of all builds take for an absent one. */
void addNumber(std::vector<http_header> &headers, const char *name, std::int64_t number)
{
    if (number != 0) {
        headers.emplace_back(name, std::to_string(number));
    }
}

void addCrashes(std::vector<http_header> &headers, std::uint32_t crashes)
{
    addNumber(headers, crashesHeader, crashes);
}

std::string formatLoad(double loadPerSlot)
{
    return std::to_string(std::lround(loadPerSlot * 100));
}

void addService(std::vector<http_header> &headers, std::optional<double> serviceMs)
{
    if (serviceMs) {
        headers.emplace_back(serviceHeader, std::to_string(std::max(std::lround(*serviceMs), 1L)));
    }
}

/** Expected service time that the other daemon reports; nothing if it reports none or no usable number. */
std::optional<double> parseService(const std::vector<http_header> &headers)
{
    const auto milliseconds = static_cast<double>(parseNumber(headers, serviceHeader));
    return milliseconds > 0 && milliseconds <= maxServiceMs ? std::optional(milliseconds) : std::nullopt;
}

std::vector<http_header> callerHeaders(const std::vector<http_header> &headers)
{
    std::vector<http_header> callerHeaders;
    for (const auto &[name, value] : headers) {
        if (name.starts_with(callerPrefix)) {
            callerHeaders.emplace_back(name.substr(std::string_view(callerPrefix).size()), value);
        }
    }
    return callerHeaders;
}

/** Id of a request as its caller's header names it; empty if there is none or targets get another one. */
std::string callerId(const std::vector<http_header> &headers, const header_profile &names)
{
    return names.composeRequestIds ? std::string() : findHeader(headers, names.requestId);
}

} // namespace

std::string makeToken(std::uint64_t draw)
{
    // 32 symbols with short Huffman codes in HPACK: 5 or 6 bits, and 7 for j. Other symbols of 6 bits are separators.
    static const char symbols[] = "0123456789abcdefghijlmnoprstuA-_";
    std::string token;
    for (std::size_t at = 0; at < tokenLength; ++at) {
        token += symbols[draw % 32];
        draw /= 32;
    }
    return token;
}

peer_request encodeRequest(const routed_request &request, const header_profile &names, steady_time now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - now);
    const auto untilGoal = std::chrono::duration_cast<milliseconds>(std::min(request.goal, request.deadline) - now);
    peer_request encoded{attemptPath,
                         {{"qs-method", request.http.method},
                          {"qs-path", request.http.path},
                          {"qs-attempt", request.attempt},
                          {"qs-pool", request.pool.value},
                          {"qs-goal-ms", std::to_string(untilGoal.count())},
                          {"qs-deadline-ms", std::to_string(left.count())}},
                         request.http.body};
    const bool repeated = !request.id.empty() && request.id == callerId(request.http.headers, names);
    (repeated ? encoded.derivable : encoded.headers).emplace_back("qs-id", request.id);
    if (request.kind == request_class::order) {
        encoded.headers.emplace_back("qs-class", "order");
    }
    if (request.idempotent) {
        encoded.headers.emplace_back("qs-idempotent", "1");
    }
    addNumber(encoded.headers, "qs-patience-ms", request.responseTimeout.count());
    addNumber(encoded.headers, "qs-rank", request.rank);
    if (!request.key.empty()) {
        encoded.headers.emplace_back("qs-key", request.key);
    }
    if (request.slot) {
        encoded.headers.emplace_back("qs-slot", std::to_string(request.slot->slot.value));
        encoded.headers.emplace_back("qs-fence", std::to_string(request.slot->fence.value));
    }
    if (request.call) {
        encoded.headers.emplace_back(callHeader, "1");
    }
    if (request.returned) {
        encoded.headers.emplace_back(returnedHeader, "1");
    }
    addCrashes(encoded.headers, request.crashes);
    for (const auto &[name, value] : request.http.headers) {
        encoded.headers.emplace_back(callerPrefix + toLower(name), value);
    }
    return encoded;
}

std::optional<routed_request> decodeRequest(peer_request request, const header_profile &names, steady_time now)
{
    routed_request decoded;
    decoded.http = {findHeader(request.headers, "qs-method"), findHeader(request.headers, "qs-path"),
                    callerHeaders(request.headers), std::move(request.body)};
    decoded.id = findHeader(request.headers, "qs-id");
    if (decoded.id.empty()) {
        decoded.id = callerId(decoded.http.headers, names);
    }
    decoded.attempt = findHeader(request.headers, "qs-attempt");
    decoded.pool.value = findHeader(request.headers, "qs-pool");
    decoded.kind = findHeader(request.headers, "qs-class") == "order" ? request_class::order : request_class::lookup;
    decoded.idempotent = findHeader(request.headers, "qs-idempotent") == "1";
    decoded.rank = static_cast<std::uint32_t>(parseNumber(request.headers, "qs-rank"));
    decoded.route = findHeader(request.headers, routeHeader);
    decoded.call = findHeader(request.headers, callHeader) == "1";
    decoded.returned = findHeader(request.headers, returnedHeader) == "1";
    decoded.crashes = parseCrashes(request.headers);
    decoded.responseTimeout = milliseconds(parseNumber(request.headers, "qs-patience-ms"));
    decoded.goal = now + milliseconds(parseNumber(request.headers, "qs-goal-ms"));
    decoded.deadline = now + milliseconds(parseNumber(request.headers, "qs-deadline-ms"));
    const auto fence = findHeader(request.headers, "qs-fence");
    decoded.key = findHeader(request.headers, "qs-key");
    if (!fence.empty()) {
        decoded.slot = fenced_slot{decoded.pool,
                                   {static_cast<std::uint32_t>(parseNumber(request.headers, "qs-slot"))},
                                   {static_cast<std::uint64_t>(parseNumber(request.headers, "qs-fence"))}};
    }
    if (decoded.http.method.empty() || decoded.http.path.empty() || decoded.id.empty() || decoded.attempt.empty()) {
        return std::nullopt;
    }
    return decoded;
}

std::string encodeLeavingTarget(const leaving_target &target, steady_time now)
{
    const auto age = std::clamp(std::chrono::duration_cast<milliseconds>(now - target.since), milliseconds(0), maxAge);
    return std::to_string(target.incarnation.startedUnixMs) + " " + std::to_string(age.count()) + " "
        + target.incarnation.id;
}

std::optional<leaving_target> decodeLeavingTarget(const std::string &value, steady_time now)
{
    std::istringstream fields(value);
    leaving_target target;
    std::int64_t age = 0;
    fields >> target.incarnation.startedUnixMs >> age >> target.incarnation.id;
    if (!fields || age < 0 || age > maxAge.count()) {
        return std::nullopt;
    }
    target.since = now - milliseconds(age);
    return target;
}

std::vector<http_header> encodeOutcome(const request_outcome &outcome)
{
    std::vector<http_header> headers{{"qs-outcome", nameOf(outcome.result)}};
    addNumber(headers, "qs-reason", static_cast<int>(outcome.reason));
    if (!outcome.reasonText.empty()) {
        headers.emplace_back("qs-text", outcome.reasonText);
    }
    if (outcome.handedOver) {
        headers.emplace_back("qs-handed-over", "1");
    }
    addNumber(headers, "qs-retry-ms", outcome.retryAfter.count());
    addCrashes(headers, outcome.crashes);
    if (outcome.loadPerSlot) {
        headers.emplace_back(loadHeader, formatLoad(*outcome.loadPerSlot));
    }
    addService(headers, outcome.serviceMs);
    return headers;
}

request_outcome decodeOutcome(const std::vector<http_header> &headers)
{
    request_outcome outcome;
    const auto name = findHeader(headers, "qs-outcome");
    outcome.result = name == "answered" ? attempt_result::answered
        : name == "not-run"             ? attempt_result::not_run
                                        : attempt_result::unknown;
    const auto reason = parseNumber(headers, "qs-reason");
    if (reason > 0 && reason <= static_cast<std::int64_t>(refusal::throttled)) {
        outcome.reason = static_cast<refusal>(reason);
    }
    outcome.reasonText = findHeader(headers, "qs-text");
    outcome.handedOver = findHeader(headers, "qs-handed-over") == "1";
    outcome.crashes = parseCrashes(headers);
    outcome.retryAfter = milliseconds(parseNumber(headers, "qs-retry-ms"));
    const auto loadPerSlot = findHeader(headers, loadHeader);
    if (!loadPerSlot.empty()) {
        outcome.loadPerSlot = std::atof(loadPerSlot.c_str()) / 100;
    }
    outcome.serviceMs = parseService(headers);
    return outcome;
}

std::vector<http_header> encodeResponseHeaders(const std::vector<http_header> &headers,
                                               std::optional<std::uint64_t> length, double loadPerSlot,
                                               std::optional<double> serviceMs)
{
    std::vector<http_header> encoded{{"qs-outcome", "answered"}, {loadHeader, formatLoad(loadPerSlot)}};
    addService(encoded, serviceMs);
    if (length) {
        encoded.emplace_back("qs-length", std::to_string(*length));
    }
    for (const auto &[name, value] : headers) {
        auto key = toLower(name);
        if (!key.starts_with(protocolPrefix)) {
            encoded.emplace_back(std::move(key), value);
        }
    }
    return encoded;
}

std::vector<http_header> encodeStoreHeaders(const std::vector<http_header> &headers)
{
    std::vector<http_header> encoded;
    encoded.reserve(headers.size());
    for (const auto &[name, value] : headers) {
        encoded.emplace_back(toLower(name), value);
    }
    return encoded;
}

} // namespace quetzalspool
