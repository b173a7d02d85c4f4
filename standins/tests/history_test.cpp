/** @file history_test.cpp Tests that the history checks report each kind of violation. */
#include "history.h"

#include <gtest/gtest.h>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

json request(const std::string &id, const std::string &outcome)
{
    return {{"id", id}, {"method", "POST"}, {"outcome", outcome}, {"end_us", 1000}};
}

json execution(const std::string &id, std::int64_t at, const std::string &fence, const std::string &target)
{
    return {{"id", "keyed/k1/" + id}, {"at_us", at}, {"slot", "7"}, {"fence", fence}, {"target", target}};
}

} // namespace

TEST(history, acceptsAConsistentHistory)
{
    const auto result = checkHistory({request("a", "answered"), request("b", "not-run"), request("c", "unknown")},
                                     {execution("a", 1, "5", "one"), execution("c", 2, "6", "two")});
    EXPECT_TRUE(result.violations.empty());
    EXPECT_EQ(result.answered, 1U);
    EXPECT_EQ(result.notRun, 1U);
    EXPECT_EQ(result.unknown, 1U);
}

TEST(history, reportsAnOrderExecutedTwice)
{
    const auto result =
        checkHistory({request("a", "unknown")}, {execution("a", 1, "5", "one"), execution("a", 2, "6", "two")});
    EXPECT_EQ(result.violations.size(), 1U);
}

TEST(history, reportsAnExecutedOrderCalledNotRun)
{
    EXPECT_EQ(checkHistory({request("a", "not-run")}, {execution("a", 1, "5", "one")}).violations.size(), 1U);
}

TEST(history, reportsAnAnswerWithoutExecution)
{
    EXPECT_EQ(checkHistory({request("a", "answered")}, {}).violations.size(), 1U);
}

TEST(history, reportsAResponseToAnotherRequest)
{
    EXPECT_EQ(checkHistory({request("a", "crossed")}, {}).violations.size(), 1U);
}

TEST(history, reportsADecreasingFence)
{
    const auto result =
        checkHistory({}, {execution("a", 1, "5", "one"), execution("b", 2, "6", "two"), execution("c", 3, "5", "one")});
    EXPECT_EQ(result.violations.size(), 1U);
}

} // namespace quetzalspool
