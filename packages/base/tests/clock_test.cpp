/** @file clock_test.cpp elapsed_clock counts suspended time, and its deadlines convert to timers. */
#include "elapsed_clock.h"

#include <gtest/gtest.h>
#include <thread>

namespace quetzalspool::test {

TEST(elapsedClock, countsSuspendedTimeSinceBoot)
{
    timespec started{};
    ASSERT_EQ(clock_gettime(CLOCK_BOOTTIME, &started), 0);
    const auto monotonic = std::chrono::steady_clock::now().time_since_epoch();
    const auto now = elapsed_clock::now().time_since_epoch();
    EXPECT_GE(now, std::chrono::seconds(started.tv_sec));
    EXPECT_LT(now, std::chrono::seconds(started.tv_sec + 10));
    EXPECT_GE(now, monotonic) << "CLOCK_BOOTTIME includes suspended time, so it is never behind the monotonic clock";
}

TEST(elapsedClock, timersFireAtTheConvertedTime)
{
    const auto deadline = elapsed_clock::now() + milliseconds(30);
    std::this_thread::sleep_until(elapsed_clock::forTimers(deadline));
    EXPECT_GE(elapsed_clock::now(), deadline);
}

} // namespace quetzalspool::test
