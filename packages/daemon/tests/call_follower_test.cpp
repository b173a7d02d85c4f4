/** @file call_follower_test.cpp How a daemon recognizes calls of its target and throttles requests whose calls fail. */
#include "call_follower.h"
#include "call_priority_func.h"
#include "call_throttle_func.h"
#include "planned_stop.h"

namespace quetzalspool::test {

namespace {

/** A daemon beside a target, with a request in progress there or without. */
struct followed_daemon : manual_stop
{
    followed_daemon()
    {
        daemon.shared.settings.overload.followCalls = true;
    }

    void beginRequest(std::uint32_t rank)
    {
        admission_request request;
        request.id = 1000 + rank;
        request.rank = rank;
        request.deadline = clock::now() + seconds(10);
        EXPECT_TRUE(admit(daemon.shared.admissionControl.admission, request, clock::now()).admitted);
        quetzalspool::beginRequest(daemon.shared.admissionControl.inProgress, "r" + std::to_string(rank), rank);
    }

    /** Lets most requests of the route fail while calls fail, until it is throttled. */
    void throttleRoute(const std::string &route)
    {
        auto &throttle = daemon.shared.admissionControl.throttle;
        const auto now = clock::now();
        for (auto at = now - seconds(1); at <= now; at += milliseconds(50)) {
            recordFailedCall(throttle, at);
            recordEnd(throttle, route, true, at, at);
        }
        EXPECT_LT(admittedShare(throttle, route), 0.5);
    }

    std::uint64_t counter(const std::string &name)
    {
        return readCounter(*daemon.shared.metricsRegistry, name);
    }
};

/** Sends requests, with an id if one is given, and returns how many were answered with a status. */
int countStatus(followed_daemon &fixture, int requests, const std::string &status, const std::string &id = "")
{
    auto text = requestText("/x");
    if (!id.empty()) {
        text.insert(text.size() - 2, fixture.daemon.shared.names.requestId + ": " + id + "\r\n");
    }
    int count = 0;
    for (int at = 0; at < requests; ++at) {
        manual_caller caller(fixture.daemon.callers());
        caller.send(text);
        fixture.runUntil(true, [&] {
            caller.receive();
            return caller.ended || caller.received.find("\r\n\r\n") != std::string::npos;
        });
        fixture.runUntil(true, [&] { return fixture.daemon.shared.requestsInFlight == 0; });
        count += caller.received.starts_with("HTTP/1.1 " + status) ? 1 : 0;
    }
    return count;
}

} // namespace

// A request that is wrongly taken for a call would go before others; callers may have any address and choose their ids.
TEST(callFollower, aRequestWhoseIdExtendsThatOfOneInProgressIsACall)
{
    followed_daemon fixture;
    auto &shared = fixture.daemon.shared;
    EXPECT_FALSE(rankIfCall(shared, "r3.1")) << "no request is in progress that it could belong to";
    fixture.beginRequest(3);
    EXPECT_EQ(rankIfCall(shared, "r3.1"), 3U);
    fixture.beginRequest(1);
    EXPECT_EQ(rankIfCall(shared, "r1.a"), 1U);
    EXPECT_EQ(rankIfCall(shared, "r3.1"), 3U) << "the rank of its own request";
    for (const auto *id : {"", ".", "r1", "r1.", "r11", "r2.1", "r1.2.3", ".r1"}) {
        EXPECT_EQ(rankIfCall(shared, id).has_value(), std::string(id) == "r1.") << id;
    }
    endRequest(shared.admissionControl.inProgress, "r3");
    EXPECT_FALSE(rankIfCall(shared, "r3.1")) << "its request has ended";
    shared.settings.overload.followCalls = false;
    EXPECT_FALSE(rankIfCall(shared, "r1.a"));
}

// The calling target's deadline for a call is the rest of its own time; the difference must not count as a retry.
TEST(callFollower, aCallGetsTheRankInProgress)
{
    followed_daemon fixture;
    routed_request request;
    request.rank = 5;
    markCall(fixture.daemon.shared, request, 1U, milliseconds(0));
    EXPECT_TRUE(request.call);
    EXPECT_EQ(request.rank, 1U);
    markCall(fixture.daemon.shared, request, std::nullopt, milliseconds(200));
    EXPECT_FALSE(request.call);
    EXPECT_EQ(request.rank, 1U);
    EXPECT_TRUE(request.returned);
}

TEST(callFollower, onlyCallsThatFailAreRecorded)
{
    followed_daemon fixture;
    auto &shared = fixture.daemon.shared;
    const auto now = clock::now();
    request_trace trace;
    trace.goal = now;
    const request_outcome refused{attempt_result::not_run, refusal::overloaded, "overloaded"};
    const request_outcome answered{attempt_result::answered, refusal::none, "target"};
    recordCallEnd(shared, trace, refused, now);
    EXPECT_TRUE(shared.admissionControl.throttle.failedCalls.empty()) << "a fresh request";
    trace.call = true;
    recordCallEnd(shared, trace, answered, now);
    EXPECT_TRUE(shared.admissionControl.throttle.failedCalls.empty());
    recordCallEnd(shared, trace, answered, now + milliseconds(1));
    EXPECT_TRUE(shared.admissionControl.throttle.failedCalls.empty()) << "late, which a slow target is also in calm";
    recordCallEnd(shared, trace, refused, now);
    EXPECT_EQ(shared.admissionControl.throttle.failedCalls.size(), 1U);
    EXPECT_EQ(fixture.counter("calls_refused_total"), 1U);
}

TEST(callFollower, failuresOfTheTargetThrottleOnlyBesideFailedCalls)
{
    followed_daemon fixture;
    auto &shared = fixture.daemon.shared;
    routed_request request;
    request.route = "all";
    const request_outcome answered{attempt_result::answered, refusal::none, "target"};
    for (const bool callsFail : {false, true}) {
        const auto before = clock::now() + seconds(callsFail ? 10 : 0);
        for (auto at = before; at < before + seconds(1); at += milliseconds(20)) {
            if (callsFail) {
                const std::lock_guard lock(shared.admissionControl.mutex);
                recordFailedCall(shared.admissionControl.throttle, at);
            }
            recordTargetEnd(shared, request, answered, {500, at - milliseconds(10)}, at);
        }
        EXPECT_EQ(admittedShare(shared.admissionControl.throttle, "all") < 1, callsFail);
    }
}

// Refusals must reach the caller as not run, with a time to return, and without attempts at other targets.
TEST(callFollower, freshRequestsOfAThrottledRouteAreRefusedAtOnce)
{
    followed_daemon fixture;
    fixture.throttleRoute("other");
    EXPECT_EQ(countStatus(fixture, 10, "200"), 10) << "another route";
    fixture.throttleRoute("all");
    const auto refused = countStatus(fixture, 10, "503");
    EXPECT_GE(refused, 3);
    EXPECT_EQ(fixture.counter("requests_throttled_total{route=\"all\"}"), static_cast<std::uint64_t>(refused));
    EXPECT_EQ(fixture.counter("requests_total{route=\"all\",outcome=\"not-run\",reason=\"throttled\"}"),
              static_cast<std::uint64_t>(refused));
    fixture.throttleRoute("all");
    const auto before = fixture.counter("requests_throttled_total{route=\"all\"}");
    fixture.beginRequest(2);
    EXPECT_EQ(countStatus(fixture, 10, "200", "r2.1"), 10) << "calls are not throttled";
    EXPECT_EQ(fixture.counter("requests_throttled_total{route=\"all\"}"), before);
}

// Without the setting nothing is marked, counted or refused.
TEST(callFollower, withoutTheSettingNothingIsThrottled)
{
    followed_daemon fixture;
    fixture.daemon.shared.settings.overload.followCalls = false;
    fixture.throttleRoute("all");
    EXPECT_EQ(countStatus(fixture, 10, "200"), 10);
    fixture.beginRequest(1);
    EXPECT_EQ(countStatus(fixture, 1, "200", "r1.1"), 1);
    EXPECT_EQ(fixture.daemon.shared.admissionControl.admission.calls.serviceMs, 0) << "no call was recorded";
}

} // namespace quetzalspool::test
