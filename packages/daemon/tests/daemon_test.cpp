/** @file daemon_test.cpp Tests of callers' requests, request routing, and the encoding of messages between daemons. */
#include "admission_func.h"
#include "caller_request.h"
#include "document_wire.h"
#include "elapsed_clock.h"
#include "local_attempt.h"
#include "peer_wire.h"
#include "request_router.h"

#include "catalog_func.h"
#include "reason_func.h"

#include <gtest/gtest.h>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace quetzalspool::test {

namespace {

const header_profile names;

const steady_time now{std::chrono::hours(1)};

route_row keyedRoute()
{
    route_row route;
    route.pool.value = "desk";
    route.keyFrom = key_source::path;
    route.keySegment = 1;
    route.kind = request_class::order;
    return route;
}

std::optional<std::string> keyOf(const std::string &path)
{
    caller_refusal refused;
    return findKey(keyedRoute(), {"GET", path, {}, ""}, refused);
}

} // namespace

// A daemon that was killed while its target executed an order and then restarted no longer knows that order. It must
// not confirm that an order of its previous incarnation was not run.
TEST(cancel, aRestartedDaemonMakesNoClaimAboutItsPreviousRun)
{
    daemon_shared shared;
    shared.incarnation = {7};
    EXPECT_FALSE(cancelLocalAttempt(shared, {6}, "order", "attempt"));
    EXPECT_FALSE(cancelLocalAttempt(shared, {}, "order", "attempt"))
        << "a request without an incarnation must not be confirmed";
    EXPECT_TRUE(cancelLocalAttempt(shared, {7}, "order", "attempt"));
}

TEST(callerRequest, decodesPercentEscapesInKeys)
{
    EXPECT_EQ(keyOf("/formulas/rose/42"), "rose");
    EXPECT_EQ(keyOf("/formulas/r%6Fse?x=1"), "rose");
    EXPECT_EQ(keyOf("/formulas/a%2Fb"), "a/b");
    EXPECT_FALSE(keyOf("/formulas"));
    EXPECT_FALSE(keyOf("/formulas/"));
    EXPECT_FALSE(keyOf("/formulas/%4"));
    EXPECT_FALSE(keyOf("/formulas/" + std::string(600, 'k')));
}

TEST(callerRequest, onlyListedMethodsAreIdempotent)
{
    EXPECT_TRUE(
        makeRoutedRequest(keyedRoute(), {"GET", "/f/k", {}, ""}, "k", {names, {}, "id", 0, {}, now}).idempotent);
    const auto order = makeRoutedRequest(keyedRoute(), {"POST", "/f/k", {}, ""}, "k", {names, {}, "id", 0, {}, now});
    EXPECT_FALSE(order.idempotent);
    EXPECT_EQ(order.kind, request_class::order);
}

TEST(callerRequest, onlyTheRequestIdAndAShorterDeadlineOfTheCallerAreUsed)
{
    const std::vector<http_header> headers{{"quetzalspool-request-id", "42"},
                                           {"Quetzalspool-Deadline-Ms", "70"},
                                           {"Quetzalspool-Fence", "1"},
                                           {"X-Own", "kept"}};
    const auto request =
        makeRoutedRequest(keyedRoute(), {"POST", "/f/k", headers, ""}, "k", {names, {}, "fresh", 0, {}, now});
    EXPECT_EQ(request.id, "desk/k/42");
    EXPECT_EQ(request.deadline, now + milliseconds(70));
    EXPECT_EQ(request.http.headers, (std::vector<http_header>{{"X-Own", "kept"}}));
}

TEST(callerRequest, callersAreMatchedByNetwork)
{
    auto route = keyedRoute();
    EXPECT_TRUE(isCallerAllowed(route, "192.0.2.1"));
    route.callers = {"10.1.0.0/16", "::1"};
    EXPECT_TRUE(isCallerAllowed(route, "10.1.200.3"));
    EXPECT_FALSE(isCallerAllowed(route, "10.2.0.1"));
    EXPECT_TRUE(isCallerAllowed(route, "::1"));
    EXPECT_FALSE(isCallerAllowed(route, "::2"));
}

TEST(peerWire, requestsSurviveARoundTrip)
{
    routed_request request;
    request.http = {"POST", "/f/k?x=1", {{"X-Own", "a"}, {"qs-outcome", "answered"}}, "body"};
    request.id = "id";
    request.attempt = "token";
    request.pool.value = "desk";
    request.key = "k";
    request.kind = request_class::order;
    request.slot = fenced_slot{request.pool, {3}, {9}};
    request.deadline = now + milliseconds(500);
    request.call = true;
    request.returned = true;
    auto message = encodeRequest(request, {}, now);
    message.headers.emplace_back(routeHeader, "all");
    const auto back = decodeRequest(std::move(message), {}, now);
    ASSERT_TRUE(back.has_value());
    EXPECT_EQ(back->http.body, "body");
    EXPECT_EQ(back->slot, request.slot);
    EXPECT_EQ(back->deadline, request.deadline);
    EXPECT_EQ(back->route, "all");
    EXPECT_TRUE(back->call);
    EXPECT_TRUE(back->returned);
    EXPECT_EQ(findHeader(back->http.headers, "x-own"), "a");
    EXPECT_FALSE(decodeRequest({attemptPath, {}, ""}, {}, now).has_value());
}

TEST(peerWire, targetHeadersCanNotForgeAnOutcome)
{
    const auto headers = encodeResponseHeaders({{"Qs-Outcome", "not-run"}}, std::nullopt, 0.5);
    EXPECT_EQ(decodeOutcome(headers).result, attempt_result::answered);
    EXPECT_EQ(decodeOutcome({}).result, attempt_result::unknown);
    const request_outcome refused{attempt_result::not_run, refusal::moving, "moving", milliseconds(50)};
    const auto back = decodeOutcome(encodeOutcome(refused));
    EXPECT_EQ(back.reason, refusal::moving);
    EXPECT_EQ(back.retryAfter, milliseconds(50));
}

// The speed of a target travels beside its load. What can't be a service time, and daemons that report none, must leave
// the choice by load as it is.
TEST(peerWire, theServiceTimeTravelsWithResponsesAndRefusals)
{
    const auto answered = decodeOutcome(encodeResponseHeaders({}, std::nullopt, 0.5, 41.6));
    EXPECT_EQ(answered.loadPerSlot, 0.5);
    EXPECT_EQ(answered.serviceMs, 42);
    EXPECT_EQ(decodeOutcome(encodeResponseHeaders({}, std::nullopt, 0.5, 0.2)).serviceMs, 1);
    EXPECT_FALSE(decodeOutcome(encodeResponseHeaders({}, std::nullopt, 0.5)).serviceMs);
    request_outcome refused{attempt_result::not_run, refusal::overloaded, "overloaded", milliseconds(50)};
    EXPECT_FALSE(decodeOutcome(encodeOutcome(refused)).serviceMs);
    refused.serviceMs = 800;
    EXPECT_EQ(decodeOutcome(encodeOutcome(refused)).serviceMs, 800);
    for (const std::string text : {"", "x", "-5", "0", "99999999999999"}) {
        EXPECT_FALSE(decodeOutcome({{"qs-service-ms", text}}).serviceMs) << text;
    }
}

TEST(documents, damagedRequestsAndResponsesAreRejected)
{
    catalog_state catalog;
    applyDocument(catalog, {"routes/a", {5}, std::make_shared<const std::string>("x")});
    EXPECT_FALSE(handleDocumentRequest(catalog, {comparePath, {}, "nonsense"}, {}));
    EXPECT_FALSE(handleDocumentRequest(catalog, {"/other", {}, ""}, {}));
    EXPECT_TRUE(decodeDocuments("nonsense", {}).empty());
    const auto body = handleDocumentRequest(catalog, makeFetchRequest({"routes/a", "routes/none"}), {});
    ASSERT_TRUE(body.has_value());
    ASSERT_EQ(decodeDocuments(*body, {}).size(), 1U);
    const auto other = handleDocumentRequest(catalog, makeCompareRequest(catalog_state{}), {});
    EXPECT_EQ(decodeDifferences(*other).size(), 1U);
}

// A drain that seems younger at each daemon that passes it on would let requests reach its targets after the bound.
TEST(documents, theAgeOfADocumentIsPassedOn)
{
    catalog_state catalog;
    const auto value = std::make_shared<const std::string>("x");
    applyDocument(catalog, {"domains/a", {5}, value, now - milliseconds(700)});
    applyDocument(catalog, {"domains/b", {5}, value});
    const auto body = handleDocumentRequest(catalog, makeFetchRequest({"domains/a", "domains/b"}), now);
    ASSERT_TRUE(body.has_value());
    const steady_time askedAt{std::chrono::hours(90)};
    const auto documents = decodeDocuments(*body, askedAt);
    ASSERT_EQ(documents.size(), 2U);
    EXPECT_EQ(documents[0].since, askedAt - milliseconds(700));
    EXPECT_EQ(documents[1].since, askedAt - std::chrono::hours(1)) << "of unknown age";
}

// Daemons of earlier builds exchange three fields for each document.
TEST(documents, rowsOfEarlierBuildsAreUnderstood)
{
    using earlier_row = std::tuple<std::string, std::int64_t, std::string>;
    msgpack::sbuffer sent;
    msgpack::pack(sent, std::vector<earlier_row>{{"routes/a", 5, "x"}});
    const auto received = decodeDocuments({sent.data(), sent.size()}, {});
    ASSERT_EQ(received.size(), 1U);
    EXPECT_EQ(*received.front().value, "x");
    catalog_state catalog;
    applyDocument(catalog, {"routes/a", {5}, std::make_shared<const std::string>("x")});
    const auto body = handleDocumentRequest(catalog, makeFetchRequest({"routes/a"}), {});
    const auto rows = msgpack::unpack(body->data(), body->size()).get().as<std::vector<earlier_row>>();
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows.front(), earlier_row("routes/a", 5, "x"));
}

TEST(route, cancelledRequestsAreNotForwarded)
{
    daemon_shared shared;
    shared.routing.store(std::make_shared<const routing_view>());
    traffic_thread thread;
    thread.shared = &shared;
    for (const bool left : {true, false}) {
        auto sink = std::make_shared<response_sink>();
        sink->isCancelled = [left] { return left; };
        request_trace trace;
        request_outcome outcome;
        const auto work = [&]() -> asio::awaitable<void> {
            routed_request request;
            request.deadline = elapsed_clock::now() + milliseconds(50);
            outcome = co_await routeRequest(thread, std::move(request), sink, trace);
        };
        asio::co_spawn(thread.context, work, asio::detached);
        thread.context.restart();
        thread.context.run();
        EXPECT_EQ(outcome.result, attempt_result::not_run);
        EXPECT_EQ(outcome.reasonText, left ? "cancelled" : "no-pool");
        EXPECT_EQ(trace.attempts.empty(), left) << "an overloaded daemon may read a request after its caller has left";
    }
}

TEST(reasons, lossReasonDistinguishesTimeoutCallerAndOwnerFromALostPeer)
{
    EXPECT_STREQ(lossReason({}, "daemon-lost"), "daemon-lost");
    EXPECT_STREQ(lossReason({.deadlinePassed = true, .ownerChanged = true}, "daemon-lost"), "time-over");
    EXPECT_STREQ(lossReason({.deadlinePassed = true, .callerDisconnected = true}, "target-lost"), "caller-left");
    EXPECT_STREQ(lossReason({.ownerChanged = true}, "daemon-lost"), "owner-changed");
    for (const std::string word : {"time-over", "caller-left", "owner-changed", "daemon-lost", "target-lost"}) {
        EXPECT_NE(findReason(word), nullptr) << word;
    }
}

TEST(reasons, theListHoldsEveryRefusal)
{
    for (auto reason = static_cast<int>(refusal::not_owner); reason <= static_cast<int>(refusal::throttled); ++reason) {
        const std::string word = nameOf(static_cast<refusal>(reason));
        EXPECT_NE(findReason(word), nullptr) << word;
        EXPECT_EQ(reasonWord(word), word);
    }
}

} // namespace quetzalspool::test
