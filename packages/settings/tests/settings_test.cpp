/** @file settings_test.cpp Validation of settings; errors name the file, the line and the setting. */
#include "settings_type.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

const std::string validSettings = R"(instance = "one"
region = "north"
failure_domain = "north-1"
cell = "north"
host = "127.0.0.1"
callers_port = 7000
peers_port = 7001
admin_port = 7002
store = "127.0.0.1:2379"
)";

std::string parseFailure(const std::string &text)
{
    last_reason why;
    EXPECT_FALSE(parseSettings(text, "file", why));
    return describe(why);
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(settings, readsValidSettings)
{
    last_reason why;
    const auto settings = parseSettings(validSettings + "seeds = [\"127.0.0.1:7101\"]\n", "file", why);
    ASSERT_TRUE(settings.has_value()) << describe(why);
    EXPECT_EQ(settings->instance.value, "one");
    EXPECT_EQ(settings->store.port, 2379);
    EXPECT_EQ(settings->seeds.size(), 1U);
}

// With nothing set, requests are treated as before: calls are followed only where a deployment asks for it.
TEST(settings, callsAreFollowedOnlyIfSet)
{
    last_reason why;
    const auto unset = parseSettings(validSettings, "file", why);
    ASSERT_TRUE(unset.has_value()) << describe(why);
    EXPECT_FALSE(unset->overload.followCalls);
    const auto set = parseSettings(validSettings + "[overload]\nfollow_calls = true\n", "file", why);
    ASSERT_TRUE(set.has_value()) << describe(why);
    EXPECT_TRUE(set->overload.followCalls);
    EXPECT_EQ(parseFailure(validSettings + "[overload]\nfollow = true\n"), "check: file:11: unknown key \"follow\"");
    EXPECT_NE(parseFailure(validSettings + "overload = 1\n").find("must be a table"), std::string::npos);
}

TEST(settings, rejectsInvalidSettings)
{
    EXPECT_EQ(parseFailure(validSettings + "colour = 1\n"), "check: file:10: unknown key \"colour\"");
    EXPECT_EQ(parseFailure(replaced(validSettings, "7001", "\"7001\"")),
              "check: file:7: \"peers_port\" must be a whole number from 1 to 65535");
    EXPECT_EQ(parseFailure(replaced(validSettings, "7001", "70010")),
              "check: file:7: \"peers_port\" must be from 1 to 65535");
    EXPECT_NE(parseFailure(replaced(validSettings, "7001", "7002")).find("file:8: duplicate address"),
              std::string::npos);
    EXPECT_NE(parseFailure(replaced(validSettings, "2379", "7000")).find("duplicate address"), std::string::npos);
    EXPECT_NE(parseFailure(replaced(validSettings, "127.0.0.1:2379", "store:2379")).find("file:9"), std::string::npos);
    EXPECT_NE(parseFailure(replaced(validSettings, "host = \"127.0.0.1\"\n", "")).find("\"host\" is required"),
              std::string::npos);
    EXPECT_NE(parseFailure(validSettings + "seeds = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n").find("duplicate"),
              std::string::npos);
    EXPECT_NE(parseFailure(validSettings + "log_level = \"loud\"\n").find("file:10"), std::string::npos);
    EXPECT_NE(parseFailure("instance = \n").find("file:1"), std::string::npos);
}

// A daemon whose memory is not stated takes the machine's; one that is stated wrongly must not start.
TEST(settings, readsTheMemoryOfTheMachine)
{
    last_reason why;
    EXPECT_EQ(parseSettings(validSettings, "file", why).value().memoryBytes, 0U);
    EXPECT_EQ(parseSettings(validSettings + "memory_mb = 160\n", "file", why).value().memoryBytes, 167772160U);
    EXPECT_NE(parseFailure(validSettings + "memory_mb = -1\n").find("memory_mb"), std::string::npos);
}

TEST(settings, readsTheRosterTable)
{
    const std::string roster = R"(instance = "one"
region = "north"
failure_domain = "north-1"
cell = "roster"
host = "127.0.0.1"
peers_port = 7001
admin_port = 7002
[roster]
callers = "127.0.0.1:7000"
store = "127.0.0.1:2379"
reports = "127.0.0.1:7003"
readiness = "127.0.0.1:7004"
pool = "desk"
)";
    last_reason why;
    const auto settings = parseSettings(roster, "file", why);
    ASSERT_TRUE(settings.has_value()) << describe(why);
    EXPECT_EQ(settings->callersPort, 7000);
    EXPECT_EQ(settings->store.port, 2379);
    EXPECT_EQ(settings->roster->storeReads, 2000U) << "default if the setting is absent";
    EXPECT_EQ(settings->roster->reports.port, 7003);
    for (const std::string field : {"callers", "store", "reports", "readiness", "pool"}) {
        const auto at = roster.find("\n" + field + " =") + 1;
        auto missing = roster;
        missing.erase(at, roster.find('\n', at) + 1 - at);
        EXPECT_NE(parseFailure(missing).find("\"" + field + "\""), std::string::npos) << field;
        auto wrong = roster;
        wrong.replace(at, roster.find('\n', at) - at, field + " = 5");
        EXPECT_NE(parseFailure(wrong).find("\"" + field + "\""), std::string::npos) << field;
    }
    EXPECT_NE(parseFailure(roster + "limits = 5\n").find("\"limits\""), std::string::npos);
    EXPECT_EQ(parseSettings(roster + "limits = '{\"a\":1}'\n", "file", why)->roster->limits, "{\"a\":1}");
    EXPECT_NE(parseFailure(roster + "hold_s = 5\n").find("hold_s"), std::string::npos);
}

// A misspelt or mistyped switch must be refused, not ignored.
TEST(settings, speedsAreLearnedOnlyIfTheBalanceTableSaysSo)
{
    last_reason why;
    EXPECT_FALSE(parseSettings(validSettings, "file", why)->learnSpeeds);
    EXPECT_FALSE(parseSettings(validSettings + "[balance]\n", "file", why)->learnSpeeds);
    EXPECT_TRUE(parseSettings(validSettings + "[balance]\nlearn_speeds = true\n", "file", why)->learnSpeeds);
    EXPECT_NE(parseFailure(validSettings + "[balance]\nlearn_speeds = 1\n").find("learn_speeds"), std::string::npos);
    EXPECT_NE(parseFailure(validSettings + "[balance]\nlearn_speed = true\n").find("learn_speed"), std::string::npos);
    EXPECT_NE(parseFailure("balance = 1\n" + validSettings).find("balance"), std::string::npos);
}

} // namespace quetzalspool::test
