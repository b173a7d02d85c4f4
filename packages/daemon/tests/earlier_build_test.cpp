/**
 * @file earlier_build_test.cpp Messages between daemons of this build and of an earlier one. The functions of the
 * earlier build are those of its peer_wire.cpp.
 */
#include "peer_wire.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

std::int64_t parseNumber(const std::vector<http_header> &headers, const char *name)
{
    return std::atoll(findHeader(headers, name).c_str());
}

/** Reads a request as the earlier build does. */
std::optional<routed_request> decodeRequestEarlier(const peer_request &request, steady_time now)
{
    const auto &headers = request.headers;
    routed_request decoded;
    decoded.http.method = findHeader(headers, "qs-method");
    decoded.http.path = findHeader(headers, "qs-path");
    decoded.id = findHeader(headers, "qs-id");
    decoded.attempt = findHeader(headers, "qs-attempt");
    decoded.pool.value = findHeader(headers, "qs-pool");
    decoded.kind = findHeader(headers, "qs-class") == "order" ? request_class::order : request_class::lookup;
    decoded.idempotent = findHeader(headers, "qs-idempotent") == "1";
    decoded.rank = static_cast<std::uint32_t>(parseNumber(headers, "qs-rank"));
    decoded.responseTimeout = milliseconds(parseNumber(headers, "qs-patience-ms"));
    decoded.goal = now + milliseconds(parseNumber(headers, "qs-goal-ms"));
    decoded.deadline = now + milliseconds(parseNumber(headers, "qs-deadline-ms"));
    decoded.key = findHeader(headers, "qs-key");
    if (!findHeader(headers, "qs-fence").empty()) {
        decoded.slot = fenced_slot{decoded.pool,
                                   {static_cast<std::uint32_t>(parseNumber(headers, "qs-slot"))},
                                   {static_cast<std::uint64_t>(parseNumber(headers, "qs-fence"))}};
    }
    if (decoded.http.method.empty() || decoded.http.path.empty() || decoded.id.empty() || decoded.attempt.empty()) {
        return std::nullopt;
    }
    return decoded;
}

/** Writes a request as the earlier build does. */
peer_request encodeRequestEarlier(const routed_request &request, steady_time now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - now);
    const auto untilGoal = std::chrono::duration_cast<milliseconds>(std::min(request.goal, request.deadline) - now);
    peer_request encoded{"/run",
                         {{"qs-method", request.http.method},
                          {"qs-path", request.http.path},
                          {"qs-id", request.id},
                          {"qs-attempt", request.attempt},
                          {"qs-pool", request.pool.value},
                          {"qs-class", request.kind == request_class::order ? "order" : "lookup"},
                          {"qs-idempotent", request.idempotent ? "1" : "0"},
                          {"qs-goal-ms", std::to_string(untilGoal.count())},
                          {"qs-patience-ms", std::to_string(request.responseTimeout.count())},
                          {"qs-rank", std::to_string(request.rank)},
                          {"qs-deadline-ms", std::to_string(left.count())}},
                         request.http.body};
    if (!request.key.empty()) {
        encoded.headers.emplace_back("qs-key", request.key);
    }
    if (request.slot) {
        encoded.headers.emplace_back("qs-slot", std::to_string(request.slot->slot.value));
        encoded.headers.emplace_back("qs-fence", std::to_string(request.slot->fence.value));
    }
    return encoded;
}

/** Reads an outcome as the earlier build does. */
request_outcome decodeOutcomeEarlier(const std::vector<http_header> &headers)
{
    request_outcome outcome;
    const auto name = findHeader(headers, "qs-outcome");
    outcome.result = name == "answered" ? attempt_result::answered
        : name == "not-run"             ? attempt_result::not_run
                                        : attempt_result::unknown;
    const auto reason = parseNumber(headers, "qs-reason");
    if (reason > 0 && reason <= static_cast<std::int64_t>(refusal::quarantined)) {
        outcome.reason = static_cast<refusal>(reason);
    }
    outcome.reasonText = findHeader(headers, "qs-text");
    outcome.handedOver = findHeader(headers, "qs-handed-over") == "1";
    outcome.crashes = static_cast<std::uint32_t>(parseNumber(headers, "qs-crashes"));
    outcome.retryAfter = milliseconds(parseNumber(headers, "qs-retry-ms"));
    return outcome;
}

void expectSame(const routed_request &read, const routed_request &sent)
{
    EXPECT_EQ(read.http.method, sent.http.method);
    EXPECT_EQ(read.http.path, sent.http.path);
    EXPECT_EQ(read.id, sent.id);
    EXPECT_EQ(read.attempt, sent.attempt);
    EXPECT_EQ(read.pool, sent.pool);
    EXPECT_EQ(read.key, sent.key);
    EXPECT_EQ(read.slot, sent.slot);
    EXPECT_EQ(read.kind, sent.kind);
    EXPECT_EQ(read.idempotent, sent.idempotent);
    EXPECT_EQ(read.rank, sent.rank);
    EXPECT_EQ(read.responseTimeout, sent.responseTimeout);
    EXPECT_EQ(read.goal, sent.goal);
    EXPECT_EQ(read.deadline, sent.deadline);
}

/** Requests with each value that a head may leave out, and with others. */
std::vector<routed_request> variousRequests(steady_time now)
{
    std::vector<routed_request> requests;
    for (unsigned bits = 0; bits < 32; ++bits) {
        routed_request request;
        request.http = {"PUT", "/a/b", {}, ""};
        request.id = "id";
        request.attempt = makeToken(bits);
        request.pool.value = "p";
        request.kind = (bits & 1U) != 0 ? request_class::order : request_class::lookup;
        request.idempotent = (bits & 2U) != 0;
        request.rank = (bits & 4U) != 0 ? 2 : 0;
        request.responseTimeout = milliseconds((bits & 8U) != 0 ? 700 : 0);
        request.deadline = now + milliseconds(5000);
        request.goal = now + milliseconds((bits & 16U) != 0 ? -20 : 5000);
        if ((bits & 16U) != 0) {
            request.key = "k";
            request.slot = fenced_slot{request.pool, {0}, {7}};
        }
        requests.push_back(std::move(request));
    }
    return requests;
}

} // namespace

// Guards against a header that is left out and whose absence a daemon of an earlier build takes for another value.
TEST(earlierBuild, readsRequestsOfThisBuild)
{
    const steady_time now{std::chrono::hours(1)};
    for (const auto &request : variousRequests(now)) {
        const auto read = decodeRequestEarlier(encodeRequest(request, {}, now), now);
        ASSERT_TRUE(read.has_value());
        expectSame(*read, request);
    }
}

// Guards against a header of an earlier build that this one no longer reads.
TEST(earlierBuild, requestsOfAnEarlierBuildAreRead)
{
    const steady_time now{std::chrono::hours(1)};
    for (const auto &request : variousRequests(now)) {
        const auto read = decodeRequest(encodeRequestEarlier(request, now), {}, now);
        ASSERT_TRUE(read.has_value());
        expectSame(*read, request);
    }
}

// Guards against an id that is left out and read as another one: the target's daemon recognizes repetitions by it.
TEST(earlierBuild, anIdThatTheCallersHeaderRepeatsIsDerivable)
{
    const steady_time now{std::chrono::hours(1)};
    header_profile names;
    names.requestId = "X-Caller-Ref";
    names.composeRequestIds = false;
    auto request = variousRequests(now).front();
    request.id = "abc";
    request.http.headers = {{"Idempotency-Key", "abc"}, {"X-CALLER-REF", "abc"}, {"X-Caller-Ref", "other"}};
    auto message = encodeRequest(request, names, now);
    EXPECT_EQ(message.derivable, (std::vector<http_header>{{"qs-id", "abc"}}));
    const auto read = decodeRequest(message, names, now);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->id, "abc");
    message.headers.insert(message.headers.end(), message.derivable.begin(), message.derivable.end());
    EXPECT_EQ(decodeRequestEarlier(message, now)->id, "abc");

    request.http.headers = {{"Idempotency-Key", "abc"}};
    EXPECT_TRUE(encodeRequest(request, names, now).derivable.empty()) << "the header is another one";
    request.http.headers = {{"X-Caller-Ref", "abc"}};
    request.id = "generated";
    EXPECT_TRUE(encodeRequest(request, names, now).derivable.empty()) << "the id is another one";
    request.id = "abc";
    names.composeRequestIds = true;
    EXPECT_TRUE(encodeRequest(request, names, now).derivable.empty()) << "targets get a composed id";
    message.headers.clear();
    EXPECT_FALSE(decodeRequest(message, names, now).has_value()) << "no id at all";
}

// Guards against an outcome, above all a promise that nothing ran, that an earlier build reads as another one.
TEST(earlierBuild, readsOutcomesOfThisBuild)
{
    for (unsigned bits = 0; bits < 32; ++bits) {
        request_outcome outcome;
        outcome.result = (bits & 1U) != 0 ? attempt_result::unknown : attempt_result::not_run;
        outcome.reason = (bits & 2U) != 0 ? refusal::leaving : refusal::none;
        outcome.reasonText = (bits & 4U) != 0 ? "leaving" : "";
        outcome.handedOver = (bits & 8U) != 0;
        outcome.retryAfter = milliseconds((bits & 16U) != 0 ? 300 : 0);
        const auto read = decodeOutcomeEarlier(encodeOutcome(outcome));
        EXPECT_EQ(read.result, outcome.result);
        EXPECT_EQ(read.reason, outcome.reason);
        EXPECT_EQ(read.reasonText, outcome.reasonText);
        EXPECT_EQ(read.handedOver, outcome.handedOver);
        EXPECT_EQ(read.retryAfter, outcome.retryAfter);
        EXPECT_EQ(read.crashes, outcome.crashes);
    }
}

// Guards against tokens that repeat although their draws differ, and against symbols that take many bytes.
TEST(earlierBuild, tokensDifferAndAreShort)
{
    EXPECT_EQ(makeToken(0).size(), tokenLength);
    EXPECT_NE(makeToken(1), makeToken(2));
    EXPECT_NE(makeToken(1), makeToken(1 + (1ULL << 59U)));
}

} // namespace quetzalspool::test
