/** @file overload_test.cpp Two services of which one calls the other, at more than their capacity. */
#include "admission_func.h"
#include "call_priority_func.h"
#include "call_throttle_func.h"
#include "overload_simulation.h"

#include <gtest/gtest.h>
#include <iostream>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

constexpr std::size_t outer = 0; ///< Kind of the requests within which targets make calls.
constexpr std::size_t direct = 1; ///< Kind of the requests that callers send to the called service.
constexpr double capacity = 2.03; ///< Factor on the normal load of both kinds at which the called service is full.
constexpr milliseconds settleTime{3000}; ///< Longer than all deadlines, so that the counts are complete.

/** The example of docs/design/overview.md, part 5. */
overload_setup exampleSetup(int returns)
{
    overload_setup setup;
    setup.kinds.resize(2);
    setup.kinds[outer] = {0, 287, 2, milliseconds(220), milliseconds(800), milliseconds(2000), 0.7, 0};
    setup.kinds[direct] = {1, 96, 1, milliseconds(72), milliseconds(300), milliseconds(1000), 0, 0};
    setup.returns = returns;
    return setup;
}

void print(const std::string &title, const std::vector<caller_counts> &counts)
{
    for (std::size_t kind = 0; kind < counts.size(); ++kind) {
        const auto &count = counts[kind];
        std::cout << "figure " << title << " kind " << kind << ": asked " << count.asked << ", in time " << count.inTime
                  << ", late " << count.late << ", failed " << count.failed << ", refused " << count.refused
                  << ", returned " << count.returned << " of which in time " << count.returnedInTime << "\n";
    }
}

int inTime(const std::vector<caller_counts> &counts)
{
    return counts[outer].inTime + counts[direct].inTime;
}

double shareInTime(const caller_counts &counts)
{
    return static_cast<double>(counts.inTime) / std::max(counts.asked, 1);
}

/** A burst of 5 s after calm load, and the time after it. */
struct burst_result
{
    std::vector<caller_counts> calm; ///< 5 s before the burst.
    std::vector<caller_counts> burst; ///< The burst.
    std::vector<caller_counts> recovering; ///< The two seconds after it.
    std::vector<caller_counts> after; ///< 5 s after those.
    int throttled = 0; ///< Requests refused by the throttle.
};

burst_result runBurst(const overload_setup &setup, const std::vector<double> &factors)
{
    overload_simulation simulation(setup);
    simulation.run({1, 1}, seconds(2));
    const auto calm = simulation.run({1, 1}, seconds(5));
    const auto burst = simulation.run(factors, seconds(5));
    const auto recovering = simulation.run({1, 1}, seconds(2));
    const auto after = simulation.run({1, 1}, seconds(5));
    simulation.run({1, 1}, settleTime);
    const auto title = "x" + std::to_string(factors[outer]) + "/" + std::to_string(factors[direct]) + ", rank "
        + std::to_string(setup.kinds[direct].rank) + ", returns " + std::to_string(setup.returns) + ", ";
    print(title + "calm", *calm);
    print(title + "burst", *burst);
    print(title + "recovering", *recovering);
    return {*calm, *burst, *recovering, *after, simulation.throttledRequests()};
}

void expectGoodput(const burst_result &result)
{
    EXPECT_GE(inTime(result.burst), inTime(result.calm) * 9 / 10);
    const auto &outerCounts = result.burst[outer];
    EXPECT_LE(outerCounts.failed, outerCounts.asked / 7) << "few requests fail after their work";
    EXPECT_GE(shareInTime(result.after[outer]), 0.98) << "the throttle ends within two seconds";
    EXPECT_GE(shareInTime(result.after[direct]), 0.98);
}

admission_state idleTarget(steady_time now)
{
    admission_state admission;
    admission.hasTarget = true;
    admission.enforceGoals = true;
    admission.limits.concurrency = 2;
    admission.limits.queue = 4;
    admission.announcedAt = now - seconds(60);
    admission.serviceMs = 50;
    return admission;
}

admission_request makeRequest(std::uint64_t id, std::uint32_t rank, bool call, steady_time now)
{
    admission_request request;
    request.id = id;
    request.rank = rank;
    request.call = call;
    request.goal = now + milliseconds(300);
    request.deadline = now + milliseconds(600);
    return request;
}

constexpr steady_time start{std::chrono::hours(1)};
const fresh_request firstAttempt{false, milliseconds(800), milliseconds(200)};
const fresh_request returnedAttempt{true, milliseconds(500), milliseconds(200)};

/** Lets a share of the requests of a route fail together with a call each. */
void failRequests(call_throttle &throttle, const std::string &route, int ended, int failed, steady_time now)
{
    for (int at = 0; at < ended; ++at) {
        if (at < failed) {
            recordFailedCall(throttle, now);
        }
        recordEnd(throttle, route, at < failed, now - milliseconds(200), now);
    }
}

} // namespace

// A target works on a request, one of its calls is refused by a full service, and the work is lost: without priority of
// calls and without a throttle, half of the outer requests fail so.
TEST(overload, goodputStaysAtOneAndAHalfAndTwoTimesTheCapacity)
{
    for (const double factor : {1.5, 2.0}) {
        for (const std::uint32_t directRank : {1, 2}) {
            for (const int returns : {1, 2}) {
                auto setup = exampleSetup(returns);
                setup.kinds[direct].rank = directRank;
                const auto result = runBurst(setup, {factor * capacity, factor * capacity});
                expectGoodput(result);
                if (directRank == 1) {
                    EXPECT_GE(shareInTime(result.burst[direct]), shareInTime(result.burst[outer]))
                        << "the more urgent kind is not served less";
                }
            }
        }
    }
}

// The burst of the example, in which only the calling service gets more requests, on all targets of the called service
// and with a quarter of them out of service.
TEST(overload, goodputStaysInABurstOfTheCallingServiceAlone)
{
    for (const std::uint32_t targets : {4, 3}) {
        for (const int returns : {1, 2}) {
            auto setup = exampleSetup(returns);
            setup.targets[1] = targets;
            const auto result = runBurst(setup, {2.6, 1});
            expectGoodput(result);
            EXPECT_GE(shareInTime(result.burst[direct]), 0.95) << "the more urgent kind is served";
        }
    }
}

// Calls of the same rank as the fresh requests of the called service must not be refused in their favour.
TEST(overload, callsGoBeforeFreshRequestsOfTheSameRank)
{
    auto setup = exampleSetup(1);
    setup.kinds[direct].rank = 2;
    overload_simulation simulation(setup);
    const auto burst = simulation.run({1.5, 5}, seconds(5));
    simulation.run({1, 1}, settleTime);
    print("fresh requests of the called service x5", *burst);
    EXPECT_GE(shareInTime((*burst)[outer]), 0.95);
    EXPECT_GT((*burst)[direct].inTime, 480) << "fresh requests use the capacity that calls leave";
    EXPECT_LT((*burst)[direct].late, (*burst)[direct].inTime / 5) << "they are refused at once rather than late";
}

// A target that fails a part of its requests for a reason of its own must not lose requests to the throttle.
TEST(overload, aTargetThatFailsByItselfIsNotThrottled)
{
    auto setup = exampleSetup(1);
    setup.kinds[outer].failShare = 0.3;
    const auto result = runBurst(setup, {1.5, 1});
    EXPECT_EQ(result.throttled, 0);
}

// Targets that slow down for tenths of a second make requests and calls late in calm. There is capacity for all of
// them, so a throttle would only refuse what could be served.
TEST(overload, lateResponsesInCalmAreNotThrottled)
{
    auto setup = exampleSetup(1);
    setup.slowShare = 0.2;
    setup.calls.goal = milliseconds(40);
    setup.kinds[outer].goal = milliseconds(350);
    overload_simulation simulation(setup);
    const auto calm = simulation.run({0.8, 0.8}, seconds(8));
    simulation.run({0.8, 0.8}, settleTime);
    print("slowed targets in calm", *calm);
    EXPECT_GT((*calm)[outer].late, (*calm)[outer].asked / 10) << "many are late";
    EXPECT_EQ(simulation.throttledRequests(), 0);
}

// After the refusal of a call, a fresh request that is queued or arrives must not get the capacity.
TEST(overload, noFreshRequestIsAdmittedAfterTheRefusalOfACall)
{
    auto admission = idleTarget(start);
    ASSERT_TRUE(admit(admission, makeRequest(1, 2, false, start), start).admitted);
    ASSERT_TRUE(admit(admission, makeRequest(2, 2, false, start), start).admitted);
    for (std::uint64_t id = 3; id < 7; ++id) {
        ASSERT_TRUE(admit(admission, makeRequest(id, 2, true, start), start).queued);
    }
    ASSERT_EQ(admit(admission, makeRequest(7, 2, true, start), start).refused, refusal::overloaded) << "queue full";
    const auto fresh = admit(admission, makeRequest(8, 2, false, start), start);
    EXPECT_EQ(fresh.refused, refusal::overloaded);
    EXPECT_GT(fresh.retryAfter, milliseconds(0));
    EXPECT_FALSE(admit(admission, makeRequest(9, 3, false, start), start).queued);
    EXPECT_TRUE(admit(admission, makeRequest(10, 1, false, start), start).queued) << "a more urgent rank goes first";
}

TEST(overload, aCallDisplacesAFreshRequestOfTheSameRank)
{
    auto admission = idleTarget(start);
    admit(admission, makeRequest(1, 2, false, start), start);
    admit(admission, makeRequest(2, 2, false, start), start);
    for (std::uint64_t id = 3; id < 7; ++id) {
        ASSERT_TRUE(admit(admission, makeRequest(id, 2, false, start), start).queued);
    }
    ASSERT_TRUE(admit(admission, makeRequest(7, 2, true, start), start).queued);
    EXPECT_EQ(admission.queue.front().request.id, 7u);
    const auto decided = advanceQueue(admission, start);
    ASSERT_EQ(decided.size(), 1u);
    EXPECT_EQ(decided.front().id, 6u);
    EXPECT_EQ(decided.front().result.refused, refusal::overloaded);
}

// A call with another rank would go before or after others of the same worth.
TEST(overload, aCallHasTheRankOfTheRequestThatItBelongsTo)
{
    requests_in_progress requests;
    EXPECT_FALSE(rankOfCall(requests, "a.1"));
    beginRequest(requests, "a", 2);
    beginRequest(requests, "b", 1);
    beginRequest(requests, "a.1", 4);
    EXPECT_EQ(rankOfCall(requests, "a.1"), 2U);
    EXPECT_EQ(rankOfCall(requests, "b.1"), 1U);
    EXPECT_EQ(rankOfCall(requests, "a.1.7"), 4U) << "a call of a call";
    EXPECT_FALSE(rankOfCall(requests, "a"));
    EXPECT_FALSE(rankOfCall(requests, "c.1"));
    endRequest(requests, "b");
    EXPECT_FALSE(rankOfCall(requests, "b.1"));
}

// Only as many failures count as calls failed: a target with a fault of its own and few failed calls is not throttled.
TEST(overload, eachFailedCallExplainsOneFailedRequest)
{
    call_throttle throttle;
    auto now = start;
    for (int round = 0; round < 20; ++round, now += milliseconds(200)) {
        recordFailedCall(throttle, now);
        for (int at = 0; at < 40; ++at) {
            recordEnd(throttle, "r", at < 15, now - milliseconds(200), now);
        }
    }
    EXPECT_EQ(admittedShare(throttle, "r"), 1);
    recordFailedCall(throttle, now);
    recordEnd(throttle, "r", true, now + milliseconds(1), now + milliseconds(2));
    EXPECT_EQ(admittedShare(throttle, "r"), 1) << "the call failed before the request began";
}

TEST(overload, theShareFollowsFailuresWithinTwoSecondsBothWays)
{
    call_throttle throttle;
    auto now = start;
    for (; now < start + seconds(1); now += milliseconds(100)) {
        failRequests(throttle, "r", 10, 6, now);
    }
    EXPECT_LT(admittedShare(throttle, "r"), 0.4);
    EXPECT_EQ(admittedShare(throttle, "other"), 1) << "each route has a throttle of its own";
    const auto endedAt = now;
    for (; admittedShare(throttle, "r") < 1 && now < endedAt + seconds(5); now += milliseconds(100)) {
        failRequests(throttle, "r", 10, 0, now);
        throttleFresh(throttle, "r", firstAttempt, now);
    }
    EXPECT_LE(now - endedAt, seconds(2));
    EXPECT_TRUE(throttle.routes.empty()) << "no state is kept of a route that is fully admitted";
}

// A share that was learned before a pause would refuse the first requests after it.
TEST(overload, aRouteIsFullyAdmittedAfterAPause)
{
    call_throttle throttle;
    for (auto at = start; at < start + seconds(1); at += milliseconds(100)) {
        failRequests(throttle, "r", 10, 6, at);
    }
    ASSERT_LT(admittedShare(throttle, "r"), 0.4);
    for (int at = 0; at < 10; ++at) {
        EXPECT_TRUE(throttleFresh(throttle, "r", firstAttempt, start + seconds(4)).admitted);
    }
}

// A caller that came back is late if it is refused again, one at its first attempt can still come back.
TEST(overload, callersThatCameBackGoFirst)
{
    call_throttle throttle;
    for (auto at = start; at < start + seconds(1); at += milliseconds(100)) {
        failRequests(throttle, "r", 10, 6, at);
    }
    const auto now = start + seconds(1) - milliseconds(50);
    int first = 0;
    int returned = 0;
    for (int at = 0; at < 100; ++at) {
        first += throttleFresh(throttle, "r", firstAttempt, now).admitted ? 1 : 0;
        returned += at % 5 == 0 && throttleFresh(throttle, "r", returnedAttempt, now).admitted ? 1 : 0;
    }
    EXPECT_GE(returned, 19);
    EXPECT_LE(first + returned, admittedShare(throttle, "r") * 100 + 6) << "they don't add to the admitted share";
    const fresh_request tooLate{true, milliseconds(150), milliseconds(200)};
    EXPECT_FALSE(throttleFresh(throttle, "r", tooLate, now).admitted) << "it would take the place of another";
}

// Callers that are all told the same time return in one burst, of which most are refused again.
TEST(overload, returnsAreSpread)
{
    call_throttle throttle;
    for (auto at = start; at < start + seconds(1); at += milliseconds(100)) {
        failRequests(throttle, "r", 10, 6, at);
    }
    const fresh_request patient{false, seconds(3), milliseconds(200)};
    std::map<std::int64_t, int> perTenth;
    int refused = 0;
    for (int at = 0; at < 200; ++at) {
        const auto decision = throttleFresh(throttle, "r", patient, start + seconds(1) - milliseconds(50));
        if (!decision.admitted) {
            ++refused;
            ++perTenth[decision.retryAfter / milliseconds(100)];
        }
    }
    ASSERT_GT(refused, 100);
    for (const auto &[tenth, number] : perTenth) {
        EXPECT_LT(number, refused / 5) << tenth;
    }
}

} // namespace quetzalspool::test
