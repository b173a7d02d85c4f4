/** @file chart_test.cpp Parsing of charts, and the event sequences that the embedded charts allow and reject. */
#include "chart_type.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

/** Returns the state after a sequence of events from the initial state; empty if an event is not allowed. */
std::string stateAfter(const chart &in, const std::vector<std::string> &events)
{
    chart_state state = 0;
    for (const auto &event : events) {
        const auto next = step(in, state, eventNamed(in, event));
        if (!next) {
            return "";
        }
        state = *next;
    }
    return in.states[state];
}

} // namespace

TEST(chart, rejectsMalformedCharts)
{
    last_reason why;
    EXPECT_FALSE(parseChart("states = [", why));
    EXPECT_FALSE(parseChart("states = [\"a\"]", why));
    EXPECT_FALSE(parseChart("states = [\"a\"]\n[[transition]]\nevent = \"e\"\nfrom = [\"a\"]\nto = \"b\"\n", why));
    EXPECT_FALSE(parseChart("states = [\"a\"]\n[[transition]]\nevent = \"e\"\nfrom = [\"b\"]\nto = \"a\"\n", why));
}

TEST(chart, onlyTheTargetCanRefuseAfterHandOver)
{
    const auto &outcome = embeddedChart(chart_file::outcome);
    EXPECT_EQ(stateAfter(outcome, {"admit", "hand_over", "refuse"}), "");
    EXPECT_EQ(stateAfter(outcome, {"forward", "refuse"}), "");
    EXPECT_EQ(stateAfter(outcome, {"admit", "hand_over", "target_refused"}), "refused");
    EXPECT_EQ(stateAfter(outcome, {"admit", "hand_over", "lose"}), "unknown");
    EXPECT_EQ(stateAfter(outcome, {"forward", "proved_not_run", "forward", "answer"}), "answered");
    EXPECT_TRUE(outcome.final[stateNamed(outcome, "refused")]);
    EXPECT_FALSE(outcome.final[stateNamed(outcome, "received")]);
}

TEST(chart, reassignmentRequiresEveryStep)
{
    const auto &reassignment = embeddedChart(chart_file::reassignment);
    EXPECT_EQ(stateAfter(reassignment, {"majority_refused"}), "");
    EXPECT_EQ(stateAfter(reassignment, {"store_answered", "promises_over"}), "");
    EXPECT_EQ(stateAfter(reassignment, {"store_answered", "majority_refused", "promises_over"}), "ready");
}

} // namespace quetzalspool::test
