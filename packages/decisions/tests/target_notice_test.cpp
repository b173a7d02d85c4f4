/** @file target_notice_test.cpp A target whose responses say that it is leaving, before or without its reports. */
#include "admission_func.h"
#include "leaving_target_func.h"
#include "roster_simulation.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

const steady_time start{std::chrono::hours(1)};
const target_notice leavingNotice{limit_statement::absent, 0, true, true};
const target_notice plainNotice{limit_statement::absent, 0, false, true};
const fenced_slot slot{{"desk"}, {7}, {3}};

admission_state servingTarget()
{
    admission_state admission;
    admission.limits.concurrency = 9;
    admission.limits.warmUp = milliseconds(1);
    admission.limits.leaveLimit = milliseconds(1500);
    beginTarget(admission, start - seconds(60));
    setServed(admission, {{slot}, {}}, start + seconds(60), milliseconds(0), start - seconds(60));
    return admission;
}

admission_request makeRequest(bool keyed)
{
    admission_request request;
    request.slot = keyed ? std::optional(slot) : std::nullopt;
    request.deadline = start + seconds(10);
    return request;
}

} // namespace

TEST(targetNotice, aTargetThatSaysThatItIsLeavingGetsNothingNewWithinTheLeaveTime)
{
    auto admission = servingTarget();
    applyNotice(admission, plainNotice, start - seconds(1), start - seconds(1));
    const auto admittedBefore = makeRequest(true);
    ASSERT_TRUE(admit(admission, admittedBefore, start).admitted);
    EXPECT_TRUE(applyNotice(admission, leavingNotice, start, start).beganLeaving);
    EXPECT_FALSE(applyNotice(admission, leavingNotice, start, start + milliseconds(100)).beganLeaving);
    EXPECT_EQ(admit(admission, makeRequest(false), start).refused, refusal::leaving) << "others serve it";
    EXPECT_TRUE(admit(admission, makeRequest(true), start + milliseconds(1400)).admitted)
        << "no other owns its key yet";
    EXPECT_EQ(admit(admission, makeRequest(true), start + milliseconds(1500)).refused, refusal::leaving);
    EXPECT_EQ(checkHandOver(admission, admittedBefore, start + milliseconds(1500)), refusal::leaving);
}

TEST(targetNotice, aDaemonThatLearnsByItsFirstResponseThatItsTargetIsLeavingSendsNothingMore)
{
    auto admission = servingTarget();
    applyNotice(admission, leavingNotice, start, start);
    EXPECT_EQ(admit(admission, makeRequest(true), start).refused, refusal::leaving);
}

TEST(targetNotice, aDaemonStartedAgainThatIsRemindedOfItsLeavingTargetSendsNothingMore)
{
    auto admission = servingTarget();
    EXPECT_TRUE(applyLeavingReminder(admission, start - milliseconds(1500), start));
    EXPECT_FALSE(applyLeavingReminder(admission, start - milliseconds(100), start)) << "no news";
    EXPECT_EQ(admit(admission, makeRequest(true), start).refused, refusal::leaving);
    EXPECT_EQ(admit(admission, makeRequest(false), start).refused, refusal::leaving);
}

TEST(targetNotice, aReminderWithinTheLeaveTimeStillAdmitsItsKeysUntilItsEnd)
{
    auto admission = servingTarget();
    applyLeavingReminder(admission, start - milliseconds(1000), start);
    EXPECT_TRUE(admit(admission, makeRequest(true), start + milliseconds(400)).admitted) << "no other owns its key yet";
    EXPECT_EQ(admit(admission, makeRequest(true), start + milliseconds(500)).refused, refusal::leaving);
}

TEST(targetNotice, aLeavingTargetIsRememberedSinceItsFirstNoticeUntilItsNextIncarnation)
{
    leaving_targets known;
    const leaving_target first{{"i-1", 5}, start};
    const leaving_target later{{"i-1", 5}, start + seconds(1)};
    const leaving_target next{{"i-1", 6}, start + seconds(9)};
    recordLeavingTarget(known, {"n1"}, first, start);
    recordLeavingTarget(known, {"n1"}, later, start + seconds(1));
    EXPECT_EQ(findLeavingTarget(known, {"n1"}), first);
    EXPECT_EQ(findLeavingTarget(known, {"n2"}), std::nullopt);
    recordLeavingTarget(known, {"n1"}, next, start + seconds(9));
    EXPECT_EQ(findLeavingTarget(known, {"n1"}), next);
    recordLeavingTarget(known, {"n2"}, {{"i-2", 7}, start + std::chrono::hours(1)}, start + std::chrono::hours(1));
    EXPECT_EQ(known.size(), 1U) << "the first has ended long ago";
}

TEST(targetNotice, aNewIncarnationIsNotLeaving)
{
    auto admission = servingTarget();
    applyNotice(admission, leavingNotice, start, start);
    beginTarget(admission, start + seconds(1));
    setLeaving(admission, false, start + seconds(1));
    applyNotice(admission, leavingNotice, start, start + seconds(2));
    EXPECT_TRUE(admit(admission, makeRequest(true), start + seconds(2)).admitted)
        << "a response of the incarnation before says nothing";
}

TEST(targetNotice, slotsMoveThoughReportsStillSayThatTheTargetIsReady)
{
    auto simulation = makeRosterSimulation(11, 4);
    runFor(simulation, seconds(20));
    ASSERT_EQ(servedSlotCount(simulation), numericSlots);
    ASSERT_TRUE(applyLeavingNotice(simulation.nodes[2].roster));
    EXPECT_FALSE(applyLeavingNotice(simulation.nodes[2].roster));
    runFor(simulation, seconds(6));
    EXPECT_TRUE(grantedRanges(simulation.nodes[2].roster).empty());
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
    EXPECT_EQ(simulation.violation, "");
}

} // namespace quetzalspool::test
