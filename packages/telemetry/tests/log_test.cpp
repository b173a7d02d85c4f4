/** @file log_test.cpp Log lines are rate-limited, and a stalled reader of standard output never blocks the program. */
#include "log_func.h"

#include <csignal>
#include <gtest/gtest.h>
#include <unistd.h>

namespace quetzalspool::test {

TEST(log, limitsLinesAndCountsTheDroppedOnes)
{
    log_budget budget;
    budget.tokensPerSecond = 10;
    budget.maxTokens = 5;
    budget.tokens = 5;
    const steady_time start{std::chrono::seconds(1000)};
    int written = 0;
    for (int line = 0; line < 100; ++line) {
        written += consumeTokens(budget, start) ? 1 : 0;
    }
    EXPECT_EQ(written, 5);
    EXPECT_EQ(budget.dropped, 95U);
    EXPECT_TRUE(consumeTokens(budget, start + milliseconds(100)));
    EXPECT_FALSE(consumeTokens(budget, start + milliseconds(100)));
}

// Guards against a task that ends because a line about an odd value can't be written.
TEST(log, aValueThatIsNoTextIsWrittenInBothFormats)
{
    for (const bool json : {false, true}) {
        startLog("info", json, "one");
        EXPECT_NO_THROW(logEvent(log_level::info, "line", {{"reason", "no text: \xff\xfe \"\x01"}}));
    }
}

TEST(log, neverBlocksOnAStalledReader)
{
    int pipeEnds[2] = {};
    ASSERT_EQ(pipe(pipeEnds), 0);
    const int originalStdout = dup(STDOUT_FILENO);
    ASSERT_EQ(dup2(pipeEnds[1], STDOUT_FILENO), STDOUT_FILENO);
    startLog("info", true, "one");
    const std::string text(500, 'x');
    // Far more than the pipe and the buffer in front of it can hold; the alarm kills the program if a line blocks.
    alarm(20);
    for (int line = 0; line < 20000; ++line) {
        logEvent(log_level::info, "line", {{"text", text}});
    }
    alarm(0);
    // Closing the read end unblocks the thread that writes the buffered lines.
    signal(SIGPIPE, SIG_IGN);
    close(pipeEnds[0]);
    dup2(originalStdout, STDOUT_FILENO);
    close(pipeEnds[1]);
    close(originalStdout);
    SUCCEED();
}

} // namespace quetzalspool::test
