/** @file cold_limit_test.cpp The limit of a cold target: how many requests reach it in any second. */
#include "admission_func.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const steady_time start{std::chrono::hours(1)};
constexpr double rate = 15;
const cold_bound bound{1.5, 8};
constexpr std::size_t allowed = 30; ///< 15 x 1.5 + 8, rounded down.

admission_state targetWith(double perSecond, const cold_bound &limits = bound)
{
    admission_state admission;
    admission.hasTarget = true;
    admission.enforceGoals = true;
    admission.limits.concurrency = 64;
    admission.limits.queue = 64;
    admission.serviceMs = 20;
    admission.announcedAt = start - seconds(60);
    setColdRate(admission.cold, perSecond, limits, start - seconds(60), start - seconds(30));
    return admission;
}

admission_request requestAt(steady_time now, milliseconds goal = milliseconds(400))
{
    admission_request request;
    request.goal = now + goal;
    request.deadline = now + seconds(2);
    return request;
}

/** A target under load, whose admitted requests are handed over after a varying delay. */
struct loaded_target
{
    explicit loaded_target(admission_state state)
        : admission(std::move(state))
    { }

    /** Admits requests each millisecond, `burst` of them each tenth of a second, and hands over those that are due. */
    void runUntil(steady_time end, std::uint32_t eachMs, std::uint32_t burst)
    {
        for (; now < end; now += milliseconds(1)) {
            const bool burstNow = (now - start) % milliseconds(100) == milliseconds(0);
            for (std::uint32_t count = 0; count < (burstNow ? burst : eachMs); ++count) {
                auto request = requestAt(now, milliseconds(100 + random() % 400));
                request.id = nextId++;
                request.rank = random() % 3;
                offered[request.id] = request;
                const auto result = admit(admission, request, now);
                if (result.admitted) {
                    connect(request.id);
                }
                refused += result.admitted || result.queued ? 0 : 1;
            }
            for (const auto &decided : advanceQueue(admission, now)) {
                if (decided.result.admitted) {
                    connect(decided.id);
                }
            }
            handOverDue();
        }
    }

    /** Lets an admitted request connect, which takes up to half a second. */
    void connect(std::uint64_t id)
    {
        connecting.emplace(now + milliseconds(random() % 8 == 0 ? random() % 500 : 0), id);
    }

    void handOverDue()
    {
        while (!connecting.empty() && connecting.begin()->first <= now) {
            const auto id = connecting.begin()->second;
            connecting.erase(connecting.begin());
            if (takeHandOverToken(admission.cold, now)) {
                handOvers.push_back(now);
            }
            finishRequest(admission, offered.at(id), true, milliseconds(20), now);
        }
    }

    /** Largest number of hand-overs in any second that ends after `from` and begins before `to`. */
    [[nodiscard]] std::size_t mostInOneSecond(steady_time from, steady_time to) const
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < handOvers.size(); ++first) {
            const auto begin = handOvers[first];
            if (begin >= to || begin + seconds(1) <= from) {
                continue;
            }
            const auto end = std::lower_bound(handOvers.begin(), handOvers.end(), begin + seconds(1));
            most = std::max<std::size_t>(most, static_cast<std::size_t>(end - handOvers.begin()) - first);
        }
        return most;
    }

    [[nodiscard]] std::size_t countBetween(steady_time from, steady_time to) const
    {
        return static_cast<std::size_t>(
            std::count_if(handOvers.begin(), handOvers.end(), [&](auto at) { return at >= from && at < to; }));
    }

    admission_state admission;
    steady_time now = start;
    std::minstd_rand random{7};
    std::uint64_t nextId = 1;
    std::uint64_t refused = 0;
    std::map<std::uint64_t, admission_request> offered;
    std::multimap<steady_time, std::uint64_t> connecting;
    std::vector<steady_time> handOvers;
};

} // namespace

// Guards against more requests than a cold target tolerates, and against serving far fewer than it could.
TEST(coldLimit, anySecondOfAColdTargetStaysWithinTheBoundUnderHeavyLoad)
{
    for (const auto &[eachMs, burst] :
         std::vector<std::pair<std::uint32_t, std::uint32_t>>{{1, 1}, {0, 60}, {3, 200}}) {
        loaded_target target(targetWith(rate));
        applyColdReport(target.admission.cold, seconds(8), true, start);
        target.runUntil(start + seconds(8), eachMs, burst);
        EXPECT_LE(target.mostInOneSecond(start, start + seconds(8)), allowed) << eachMs << " " << burst;
        EXPECT_GE(target.handOvers.size(), static_cast<std::size_t>(rate * 8 * 0.85)) << eachMs << " " << burst;
    }
}

// Guards against a second with too many requests when the target becomes cold under full load, and when it is warm
// again: requests admitted or queued before must count.
TEST(coldLimit, secondsAroundTheChangeStayWithinTheBound)
{
    for (std::uint32_t burst = 0; burst < 200; burst += 20) {
        loaded_target target(targetWith(rate));
        target.runUntil(start + milliseconds(1050), 1, burst);
        EXPECT_GT(target.handOvers.size(), 200U) << "a warm target is not limited";
        const auto coldFrom = target.now;
        applyColdReport(target.admission.cold, seconds(3), false, coldFrom);
        target.runUntil(coldFrom + seconds(3), 1, burst);
        const auto coldTo = target.now;
        applyColdReport(target.admission.cold, milliseconds(0), false, coldTo);
        target.runUntil(coldTo + seconds(3), 1, burst);
        EXPECT_EQ(target.countBetween(coldFrom, coldFrom + milliseconds(950)), 0U)
            << "the second before has used up the bound";
        EXPECT_LE(target.mostInOneSecond(coldFrom + seconds(1), coldTo), allowed) << burst;
        EXPECT_GT(target.countBetween(coldTo + milliseconds(1100), coldTo + seconds(3)), 200U) << "warm again";
    }
}

// Guards against a wrong number of tokens at the change from a lightly loaded warm target.
TEST(coldLimit, requestsBeforeTheTargetBecameColdCountForTheBound)
{
    for (int before = 0; before < 40; before += 3) {
        loaded_target target(targetWith(rate));
        target.now = start + milliseconds(900);
        target.runUntil(start + milliseconds(901), 1, static_cast<std::uint32_t>(before));
        applyColdReport(target.admission.cold, seconds(5), false, target.now);
        target.runUntil(start + seconds(5), 1, 30);
        EXPECT_LE(target.mostInOneSecond(start, start + seconds(5)),
                  std::max<std::size_t>(allowed, static_cast<std::size_t>(before)))
            << before;
    }
}

TEST(coldLimit, withoutBoundsInTheSettingsNoSecondExceedsTheRate)
{
    for (const double perSecond : {1.0, 2.0, 15.0, 60.0}) {
        loaded_target target(targetWith(perSecond, {}));
        applyColdReport(target.admission.cold, seconds(6), true, start);
        target.runUntil(start + seconds(6), 1, 50);
        EXPECT_LE(target.mostInOneSecond(start, start + seconds(6)), static_cast<std::size_t>(perSecond));
        EXPECT_GE(target.handOvers.size(), static_cast<std::size_t>(perSecond * 6 * 0.7)) << perSecond;
    }
}

// Guards against limiting targets where the configuration asks for nothing, and those that are warm.
TEST(coldLimit, neitherAWarmTargetNorOneWithoutARateIsLimited)
{
    loaded_target warm(targetWith(rate));
    applyColdReport(warm.admission.cold, milliseconds(0), true, start);
    warm.runUntil(start + seconds(1), 1, 1);
    EXPECT_GE(warm.handOvers.size(), 900U);
    loaded_target unlimited(targetWith(0));
    applyColdReport(unlimited.admission.cold, seconds(9), true, start);
    noteMayBeCold(unlimited.admission.cold, start);
    unlimited.runUntil(start + seconds(1), 1, 1);
    EXPECT_GE(unlimited.handOvers.size(), 900U);
    EXPECT_EQ(unlimited.admission.cold.refusals, 0U);
}

// Guards against requests that wait for a token although their response would be late.
TEST(coldLimit, aRequestWhoseTokenComesTooLateIsRefusedAtOnce)
{
    auto admission = targetWith(2);
    applyColdReport(admission.cold, seconds(8), true, start);
    while (hasColdToken(admission.cold, start)) {
        admit(admission, requestAt(start), start);
    }
    EXPECT_GE(loadPerSlot(admission, start), 1);
    const auto late = admit(admission, requestAt(start, milliseconds(300)), start);
    EXPECT_FALSE(late.queued);
    EXPECT_EQ(late.refused, refusal::overloaded);
    EXPECT_GT(late.retryAfter, milliseconds(0));
    EXPECT_EQ(admission.cold.refusals, 1U);
    auto urgent = requestAt(start, milliseconds(300));
    urgent.rank = 0;
    EXPECT_EQ(admit(admission, urgent, start).refused, refusal::overloaded)
        << "the deadline would allow it, the goal does not";
    EXPECT_TRUE(admit(admission, requestAt(start, milliseconds(1500)), start).queued);
    const auto decided = advanceQueue(admission, start + milliseconds(500));
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(decided.front().result.admitted);
}

// Guards against requests that were queued while the target was warm and wait for a token until they are late.
TEST(coldLimit, queuedRequestsThatWouldBeLateAreRefusedWhenTheTargetBecomesCold)
{
    auto admission = targetWith(rate);
    admission.limits.concurrency = 1;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        auto request = requestAt(start);
        request.id = id;
        admit(admission, request, start);
    }
    ASSERT_EQ(admission.queue.size(), 4U);
    for (int count = 0; count < 40; ++count) {
        takeColdToken(admission.cold, start);
    }
    applyColdReport(admission.cold, seconds(5), false, start);
    const auto decided = advanceQueue(admission, start + milliseconds(1));
    ASSERT_EQ(decided.size(), 4U);
    for (const auto &decision : decided) {
        EXPECT_EQ(decision.result.refused, refusal::overloaded);
    }
}

// Guards against full load on a target that restarted under the same id and has not reported yet.
TEST(coldLimit, aTargetThatMayHaveRestartedIsColdUntilALaterReport)
{
    auto admission = targetWith(rate);
    auto &limit = admission.cold;
    applyColdReport(limit, milliseconds(0), true, start - seconds(5));
    EXPECT_FALSE(isCold(limit, start));
    noteMayBeCold(limit, start);
    EXPECT_TRUE(isCold(limit, start));
    EXPECT_TRUE(isCold(limit, start + seconds(60))) << "without a report";
    applyColdReport(limit, milliseconds(0), false, start + milliseconds(20));
    EXPECT_TRUE(isCold(limit, start + milliseconds(21))) << "it may have been sent before the restart";
    applyColdReport(limit, milliseconds(0), false, start + milliseconds(870));
    EXPECT_FALSE(isCold(limit, start + milliseconds(871)));
    noteMayBeCold(limit, start + seconds(2));
    applyColdReport(limit, seconds(4), true, start + seconds(2));
    EXPECT_FALSE(limit.uncertain) << "the first report of an incarnation is not older";
    EXPECT_TRUE(isCold(limit, start + seconds(6)));
    EXPECT_FALSE(isCold(limit, start + milliseconds(7001)));
}

TEST(coldLimit, aResponseMakesTheTargetColdButDoesNotEndIt)
{
    auto admission = targetWith(rate);
    target_notice notice{limit_statement::absent, 0, false, true};
    notice.coldFor = seconds(3);
    applyNotice(admission, notice, start, start);
    auto &limit = admission.cold;
    EXPECT_TRUE(isCold(limit, start));
    notice.coldFor = milliseconds(0);
    applyNotice(admission, notice, start, start + milliseconds(10));
    EXPECT_TRUE(isCold(limit, start + seconds(2)));
    applyColdReport(limit, milliseconds(0), false, start + milliseconds(20));
    EXPECT_TRUE(isCold(limit, start + milliseconds(900))) << "the report may be older than the response";
    applyColdReport(limit, milliseconds(0), false, start + milliseconds(1500));
    EXPECT_FALSE(isCold(limit, start + milliseconds(2501)));
}

// Guards against a restarted daemon that adds its requests to those of the run before in the same second.
TEST(coldLimit, afterAStartOfTheDaemonTheFirstSecondHasNoTokens)
{
    cold_limit limit;
    setColdRate(limit, rate, bound, start, start + milliseconds(400));
    applyColdReport(limit, seconds(5), true, start + milliseconds(400));
    EXPECT_FALSE(hasColdToken(limit, start + milliseconds(999)));
    EXPECT_TRUE(hasColdToken(limit, start + milliseconds(1100)));
    cold_limit later;
    takeHandOverToken(later, start + seconds(9));
    setColdRate(later, rate, bound, start, start + seconds(9));
    applyColdReport(later, seconds(5), false, start + seconds(9));
    EXPECT_FALSE(takeHandOverToken(later, start + milliseconds(9900))) << "the rate was set under load";
}

// Guards against keys that are placed by the speed of a warm target.
TEST(coldLimit, aColdTargetHasTheSpeedOfItsRate)
{
    auto admission = targetWith(rate);
    admission.limits.concurrency = 8;
    const auto warm = speedPerSlot(admission, start);
    EXPECT_DOUBLE_EQ(warm, 50);
    applyColdReport(admission.cold, seconds(2), true, start);
    EXPECT_DOUBLE_EQ(speedPerSlot(admission, start) * 8, rate);
    EXPECT_DOUBLE_EQ(speedPerSlot(admission, start + seconds(4)), warm);
}

} // namespace quetzalspool::test
