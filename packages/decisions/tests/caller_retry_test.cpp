/** @file caller_retry_test.cpp Who asks for the first time, and since when the others have been asking. */
#include "caller_retry_func.h"

#include <gtest/gtest.h>
#include <random>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const steady_time start{seconds(100)};

} // namespace

TEST(caller_age, whoComesBackNamesLessThanTheOthersAndIsToldFromThem)
{
    caller_ages ages;
    std::mt19937_64 random{3};
    auto now = start;
    for (int request = 0; request < 400; ++request) {
        now += milliseconds(100);
        const milliseconds first(1020 + random() % 181);
        EXPECT_EQ(noteCaller(ages, "read", first, now), milliseconds(0)) << request;
        if (request % 2 == 0) {
            noteTurnedAway(ages, "read", now);
            now += milliseconds(400);
            const auto before = noteCaller(ages, "read", first - milliseconds(400), now);
            EXPECT_GT(before, milliseconds(request < 20 ? 200 : 300)) << request;
            EXPECT_LT(before, milliseconds(request < 20 ? 600 : 500)) << request;
        }
    }
}

TEST(caller_age, callersOfTwoKindsOnOneRouteAreBothNewWhileNobodyIsTurnedAway)
{
    caller_ages ages;
    auto now = start;
    for (int request = 0; request < 100; ++request) {
        now += milliseconds(100);
        EXPECT_EQ(noteCaller(ages, "read", milliseconds(request % 3 == 0 ? 600 : 4000), now), milliseconds(0));
    }
}

TEST(caller_age, noMoreComeBackThanWereTurnedAway)
{
    caller_ages ages;
    auto now = start;
    noteCaller(ages, "read", milliseconds(1200), now);
    noteTurnedAway(ages, "read", now);
    int back = 0;
    for (int request = 0; request < 5; ++request) {
        back += noteCaller(ages, "read", milliseconds(400), now + milliseconds(200)) > milliseconds(0) ? 1 : 0;
    }
    EXPECT_EQ(back, 1);
    noteTurnedAway(ages, "read", now);
    EXPECT_EQ(noteCaller(ages, "read", milliseconds(400), now + seconds(30)), milliseconds(0))
        << "nobody waits so long";
}

TEST(caller_age, shorterDeadlinesOfAllCallersAreLearnt)
{
    caller_ages ages;
    auto now = start;
    noteCaller(ages, "read", milliseconds(4000), now);
    milliseconds before{0};
    for (int request = 0; request < 1200; ++request) {
        now += milliseconds(200);
        noteTurnedAway(ages, "read", now);
        before = noteCaller(ages, "read", milliseconds(800), now);
    }
    EXPECT_EQ(before, milliseconds(0));
}

} // namespace quetzalspool::test
