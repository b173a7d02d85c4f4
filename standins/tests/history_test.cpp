/** @file history_test.cpp The history checks catch planted faults. */
#include "history.h"

#include <gtest/gtest.h>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

json request(const std::string &id, const std::string &outcome)
{
    return {{"id", id}, {"method", "POST"}, {"outcome", outcome}, {"end_us", 1000}};
}

json run(const std::string &id, std::int64_t at, const std::string &fence, const std::string &target)
{
    return {{"id", "keyed/k1/" + id}, {"at_us", at}, {"slot", "7"}, {"fence", fence}, {"target", target}};
}

} // namespace

TEST(history, passesWhatIsRight)
{
    const auto verdict = checkHistory({request("a", "answered"), request("b", "not-run"), request("c", "unknown")},
                                      {run("a", 1, "5", "one"), run("c", 2, "6", "two")});
    EXPECT_TRUE(verdict.breaches.empty());
    EXPECT_EQ(verdict.answered, 1U);
    EXPECT_EQ(verdict.notRun, 1U);
    EXPECT_EQ(verdict.unknown, 1U);
}

TEST(history, catchesAnOrderThatRanTwice)
{
    const auto verdict = checkHistory({request("a", "unknown")}, {run("a", 1, "5", "one"), run("a", 2, "6", "two")});
    EXPECT_EQ(verdict.breaches.size(), 1U);
}

TEST(history, catchesAFalseNotRun)
{
    EXPECT_EQ(checkHistory({request("a", "not-run")}, {run("a", 1, "5", "one")}).breaches.size(), 1U);
}

TEST(history, catchesAnAnswerWithoutARun)
{
    EXPECT_EQ(checkHistory({request("a", "answered")}, {}).breaches.size(), 1U);
}

TEST(history, catchesACrossedAnswer)
{
    EXPECT_EQ(checkHistory({request("a", "crossed")}, {}).breaches.size(), 1U);
}

TEST(history, catchesAnOldOwnerThatWorksAfterTheNewOne)
{
    const auto verdict = checkHistory({}, {run("a", 1, "5", "one"), run("b", 2, "6", "two"), run("c", 3, "5", "one")});
    EXPECT_EQ(verdict.breaches.size(), 1U);
}

} // namespace quetzalspool
