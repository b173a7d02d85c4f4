/** @file caller_retry_test.cpp Recognition of first attempts and retries, and the estimated age of retries. */
#include "caller_retry_func.h"

#include <gtest/gtest.h>
#include <random>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const steady_time start{seconds(100)};

} // namespace

TEST(caller_retry, retriesAreRecognizedByTheirShorterDeadline)
{
    caller_retries retries;
    std::mt19937_64 random{3};
    auto now = start;
    for (int request = 0; request < 400; ++request) {
        now += milliseconds(100);
        const milliseconds deadline(1020 + random() % 181);
        EXPECT_EQ(estimateRetryAge(retries, "read", deadline, now), milliseconds(0)) << request;
        if (request % 2 == 0) {
            expectRetry(retries, "read", now);
            now += milliseconds(400);
            const auto age = estimateRetryAge(retries, "read", deadline - milliseconds(400), now);
            EXPECT_GT(age, milliseconds(request < 20 ? 200 : 300)) << request;
            EXPECT_LT(age, milliseconds(request < 20 ? 600 : 500)) << request;
        }
    }
}

TEST(caller_retry, mixedDeadlinesAreFirstAttemptsWhileNoRetryIsExpected)
{
    caller_retries retries;
    auto now = start;
    for (int request = 0; request < 100; ++request) {
        now += milliseconds(100);
        EXPECT_EQ(estimateRetryAge(retries, "read", milliseconds(request % 3 == 0 ? 600 : 4000), now), milliseconds(0));
    }
}

TEST(caller_retry, recognizesNoMoreRetriesThanExpected)
{
    caller_retries retries;
    auto now = start;
    estimateRetryAge(retries, "read", milliseconds(1200), now);
    expectRetry(retries, "read", now);
    int recognized = 0;
    for (int request = 0; request < 5; ++request) {
        recognized +=
            estimateRetryAge(retries, "read", milliseconds(400), now + milliseconds(200)) > milliseconds(0) ? 1 : 0;
    }
    EXPECT_EQ(recognized, 1);
    expectRetry(retries, "read", now);
    EXPECT_EQ(estimateRetryAge(retries, "read", milliseconds(400), now + seconds(30)), milliseconds(0))
        << "an expected retry expires";
}

TEST(caller_retry, adaptsWhenAllDeadlinesBecomeShorter)
{
    caller_retries retries;
    auto now = start;
    estimateRetryAge(retries, "read", milliseconds(4000), now);
    milliseconds age{0};
    for (int request = 0; request < 1200; ++request) {
        now += milliseconds(200);
        expectRetry(retries, "read", now);
        age = estimateRetryAge(retries, "read", milliseconds(800), now);
    }
    EXPECT_EQ(age, milliseconds(0));
}

} // namespace quetzalspool::test
