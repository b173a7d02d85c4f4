/** @file rate_limit_test.cpp The rate limit that a target names: when it holds, and what admission lets through. */
#include "admission_func.h"

#include <cmath>
#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const steady_time start{std::chrono::hours(1)};

target_notice named(double perSecond)
{
    return {limit_statement::named, perSecond, false, true};
}

const target_notice silent{limit_statement::absent, 0, false, true};
const target_notice failing{limit_statement::absent, 0, false, false};
const target_notice unreadable{limit_statement::unreadable, 0, false, true};

admission_state targetWith(std::uint32_t slots)
{
    admission_state admission;
    admission.hasTarget = true;
    admission.enforceGoals = true;
    admission.limits.concurrency = slots;
    admission.serviceMs = 100;
    admission.announcedAt = start - seconds(60);
    return admission;
}

admission_request requestUntil(steady_time deadline, request_class kind = request_class::lookup)
{
    admission_request request;
    request.kind = kind;
    request.deadline = deadline;
    return request;
}

/** Offers a request each millisecond, each of which takes no time, and counts those admitted. */
std::uint32_t admittedIn(admission_state &admission, steady_time from, milliseconds span)
{
    std::uint32_t admitted = 0;
    for (auto now = from; now < from + span; now += milliseconds(1)) {
        const auto request = requestUntil(now + milliseconds(1));
        if (admit(admission, request, now).admitted) {
            finishRequest(admission, request, true, milliseconds(1), now);
            ++admitted;
        }
    }
    return admitted;
}

} // namespace

TEST(rateLimit, aSpanOfFourSecondsNeverGetsMoreThanTheLimitAndABurst)
{
    for (const double limit : {0.0, 0.3, 1.0, 2.5, 11.5, 40.0, 300.0}) {
        auto admission = targetWith(1000);
        applyNotice(admission, named(limit), start, start);
        const auto idleBefore = start + seconds(20);
        const auto allowed = std::max(limit * 1.5 * 4, 0.0) + 5;
        EXPECT_LE(admittedIn(admission, start, seconds(4)), allowed) << limit;
        EXPECT_LE(admittedIn(admission, idleBefore, seconds(4)), allowed) << limit << " after a pause";
        EXPECT_GE(admittedIn(admission, idleBefore + seconds(4), seconds(4)), std::floor(limit * 4 * 0.95)) << limit;
    }
}

TEST(rateLimit, aLimitEndsOnlyWithASuccessfulResponseToALaterRequest)
{
    rate_limit limit;
    EXPECT_EQ(applyLimitNotice(limit, named(5), start, start), limit_change::begun);
    EXPECT_EQ(applyLimitNotice(limit, silent, start, start + milliseconds(5)), limit_change::none)
        << "its request was handed over before the limit was named";
    EXPECT_EQ(applyLimitNotice(limit, failing, start + milliseconds(6), start + milliseconds(9)), limit_change::none);
    EXPECT_EQ(applyLimitNotice(limit, unreadable, start + milliseconds(6), start + milliseconds(9)),
              limit_change::unreadable);
    EXPECT_TRUE(limit.perSecond.has_value());
    EXPECT_EQ(applyLimitNotice(limit, silent, start + milliseconds(6), start + milliseconds(9)), limit_change::ended);
    EXPECT_FALSE(limit.perSecond.has_value());
}

TEST(rateLimit, aLimitOfZeroIsStillProbedSoThatItsEndIsHeard)
{
    auto admission = targetWith(9);
    applyNotice(admission, named(0), start, start);
    EXPECT_GE(admittedIn(admission, start, seconds(10)), 1U);
    applyNotice(admission, silent, start + seconds(10), start + seconds(10));
    EXPECT_GE(admittedIn(admission, start + seconds(10), seconds(1)), 900U);
}

TEST(rateLimit, aNewIncarnationHasNoLimitAndOldResponsesSetNone)
{
    auto admission = targetWith(9);
    applyNotice(admission, named(1), start, start);
    beginTarget(admission, start + seconds(1));
    EXPECT_FALSE(admission.rate.perSecond.has_value());
    applyNotice(admission, named(1), start, start + seconds(2));
    EXPECT_FALSE(admission.rate.perSecond.has_value()) << "a response of the incarnation before";
}

TEST(rateLimit, aDaemonThatHasNotHeardItsTargetSendsFewRequestsUntilItResponds)
{
    admission_state admission = targetWith(12);
    admission.hasTarget = false;
    admission.limits.warmUp = milliseconds(1);
    beginTarget(admission, start - seconds(1));
    std::uint32_t admitted = 0;
    for (int number = 0; number < 12; ++number) {
        admitted += admit(admission, requestUntil(start + seconds(5)), start).admitted ? 1 : 0;
    }
    EXPECT_EQ(admitted, 2U);
    applyNotice(admission, silent, start, start);
    EXPECT_EQ(advanceQueue(admission, start).size(), 10U) << "its first response names no limit";
}

TEST(rateLimit, ordersTakeTheTokensBeforeLookups)
{
    auto admission = targetWith(9);
    applyNotice(admission, named(10), start, start);
    auto lookup = requestUntil(start + seconds(2));
    lookup.id = 1;
    auto order = requestUntil(start + seconds(2), request_class::order);
    order.id = 2;
    EXPECT_TRUE(admit(admission, lookup, start).queued);
    EXPECT_TRUE(admit(admission, order, start).queued);
    const auto decided = advanceQueue(admission, start + milliseconds(101));
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.front().id, 2U);
}

TEST(rateLimit, aRequestThatTheLimitCannotServeInTimeIsRefusedAtOnce)
{
    auto admission = targetWith(9);
    applyNotice(admission, named(1), start, start);
    const auto refused = admit(admission, requestUntil(start + milliseconds(800)), start);
    EXPECT_EQ(refused.refused, refusal::overloaded);
    auto waiting = requestUntil(start + milliseconds(2500));
    waiting.id = 1;
    ASSERT_TRUE(admit(admission, waiting, start).queued);
    auto order = requestUntil(start + milliseconds(3000), request_class::order);
    for (order.id = 2; order.id <= 3; ++order.id) {
        ASSERT_TRUE(admit(admission, order, start).queued);
    }
    const auto decided = advanceQueue(admission, start + milliseconds(10));
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.front().id, 1U) << "the orders take the two tokens before its deadline";
    EXPECT_EQ(decided.front().result.refused, refusal::deadline_passed);
}

TEST(rateLimit, callersThatAreRefusedTogetherAreToldToReturnOneByOne)
{
    auto admission = targetWith(9);
    admission.limits.queue = 0;
    applyNotice(admission, named(10), start, start);
    milliseconds before{0};
    for (int caller = 0; caller < 8; ++caller) {
        const auto result = admit(admission, requestUntil(start + milliseconds(1200)), start);
        ASSERT_EQ(result.refused, refusal::overloaded);
        EXPECT_GE(result.retryAfter - before, milliseconds(100)) << caller;
        before = result.retryAfter;
    }
    EXPECT_LT(before, milliseconds(1200));
}

TEST(rateLimit, aTargetWhoseLimitIsUsedUpCountsAsFull)
{
    auto admission = targetWith(9);
    EXPECT_EQ(loadPerSlot(admission, start), 0);
    applyNotice(admission, named(2), start, start);
    EXPECT_GE(loadPerSlot(admission, start), 1);
    EXPECT_LT(loadPerSlot(admission, start + milliseconds(600)), 1);
}

} // namespace quetzalspool::test
