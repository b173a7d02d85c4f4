/** @file roster_departure_test.cpp Targets that announced their exit, and reports of them that come later. */
#include "roster_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const steady_time start{seconds(1000)};
const target_incarnation leaver{"t", 7000}; ///< Incarnation that announces its exit.

roster_state makeRoster()
{
    roster_node self;
    self.member.id.value = "n";
    self.member.incarnation.value = 12;
    return startRoster(self, {}, start);
}

void report(roster_state &state, const target_incarnation &incarnation, std::uint64_t sequence, steady_time now)
{
    target_report message;
    message.incarnation = incarnation;
    message.sequence = sequence;
    message.announcement = {pool_id{"p"}, {"127.0.0.1", 1}, 4, 4, true};
    applyReport(state, message, now);
}

} // namespace

// A daemon that had not heard of the target acknowledged its exit and forgot it.
TEST(rosterDeparture, aReportAfterTheExitOfAnUnknownTargetDoesNotMakeItUsable)
{
    auto state = makeRoster();
    EXPECT_FALSE(applyLeave(state, leaver, start));
    report(state, leaver, 40, start + seconds(4));
    EXPECT_TRUE(state.target.left);
    EXPECT_TRUE(state.self.member.leaving);
}

TEST(rosterDeparture, theNextIncarnationIsUsableAlsoUnderTheSameName)
{
    auto state = makeRoster();
    applyLeave(state, leaver, start);
    report(state, {leaver.id, leaver.startedUnixMs + 1}, 1, start + seconds(4));
    EXPECT_FALSE(state.target.left);
    EXPECT_FALSE(state.self.member.leaving);
}

TEST(rosterDeparture, anExitWithoutAStartHoldsForALimitedTime)
{
    for (const bool late : {false, true}) {
        auto state = makeRoster();
        applyLeave(state, {leaver.id, 0}, start);
        report(state, leaver, 40, start + (late ? seconds(16) : seconds(14)));
        EXPECT_EQ(state.target.left, !late);
    }
}

TEST(rosterDeparture, theMarkerTellsTheNextRun)
{
    auto state = makeRoster();
    EXPECT_EQ(formatMarker(state), "12");
    EXPECT_FALSE(parseDeparture(formatMarker(state)));
    report(state, leaver, 1, start);
    EXPECT_TRUE(applyLeave(state, leaver, start));
    EXPECT_EQ(parseDeparture(formatMarker(state)), leaver);
    for (const char *odd : {"", "x", "12 x", "12 7000", "12 0 t"}) {
        EXPECT_FALSE(parseDeparture(odd)) << odd;
    }
}

} // namespace quetzalspool::test
