/** @file chain_test.cpp Tests of joining log lines about one request. */
#include "chain_func.h"
#include "reason_func.h"

#include <gtest/gtest.h>
#include <sstream>

namespace quetzalspool::test {

namespace {

trace_log parseLog(const std::string &text)
{
    trace_log log;
    std::istringstream in(text);
    readTraceLog(in, "a.log", log);
    return log;
}

const std::string sampleLog =
    R"(2026-12-04 10:00:00.000 INFO {"event":"owners-written","instance":"n2","pool":"p","revision":"7"}
2026-12-04 09:00:00.000 INFO {"event":"owners-written","instance":"n2","pool":"p","revision":"3"}
2026-12-04 10:00:01.000 INFO {"event":"attempt","instance":"n1","id":"x","attempt":"t2","number":"2","owner":"n3","reason":"not-owner"}
2026-12-04 10:00:01.000 INFO {"event":"attempt","instance":"n1","id":"x","attempt":"t1","number":"1","owner":"n2","reason":"not-owner"}
2026-12-04 10:00:01.001 INFO {"event":"request-ended","instance":"n1","id":"x","outcome":"not-run","reason":"not-owner"}
2026-12-04 10:00:00.900 INFO {"event":"run","instance":"n2","id":"x","attempt":"t1","reason":"not-owner"}
2026-12-04 10:00:00.900 INFO {"event":"run","instance":"n2","id":"y","attempt":"t9","reason":"target"}
)";

} // namespace

TEST(chain, joinsLinesByIdAndAttempt)
{
    const auto chain = joinChain(parseLog(sampleLog), "x");
    ASSERT_TRUE(chain);
    ASSERT_EQ(chain->attempts.size(), 2U);
    EXPECT_EQ(chain->attempts[0].entryLine.fields.at("attempt"), "t1");
    ASSERT_EQ(chain->attempts[0].runs.size(), 1U);
    EXPECT_EQ(chain->attempts[0].runs[0].instance, "n2");
    ASSERT_EQ(chain->context.size(), 1U) << "only the line shortly before the end";
    EXPECT_EQ(chain->context[0].fields.at("revision"), "7");
    EXPECT_NE(chain->cause.find("does not own the key"), std::string::npos) << chain->cause;
}

TEST(chain, reportsMissingLines)
{
    const auto chain = joinChain(parseLog(sampleLog), "x");
    ASSERT_TRUE(chain);
    ASSERT_EQ(chain->gaps.size(), 1U);
    EXPECT_NE(chain->gaps[0].find("no line of n3 about attempt 2"), std::string::npos) << chain->gaps[0];
    EXPECT_FALSE(joinChain(parseLog(sampleLog), "unknown id"));
    const auto unmatched = joinChain(parseLog(sampleLog), "y");
    ASSERT_TRUE(unmatched);
    EXPECT_EQ(unmatched->unmatchedRuns.size(), 1U);
    EXPECT_EQ(unmatched->gaps.size(), 1U) << "the line of the entry daemon is missing";
}

TEST(chain, reportsUnreadableLines)
{
    const auto log = parseLog("plain text\n2026-12-04 10:00:00.000 INFO {\"event\":\n\n" + sampleLog);
    EXPECT_EQ(log.unreadCount, 2U);
    ASSERT_EQ(log.unread.size(), 2U);
    EXPECT_NE(log.unread[0].find("a.log:1: no JSON object"), std::string::npos) << log.unread[0];
    EXPECT_NE(log.unread[1].find("a.log:2: its JSON object is damaged"), std::string::npos) << log.unread[1];
    EXPECT_EQ(log.lines.size(), 7U);
}

TEST(reasons, detailsNeverBecomeReasonWords)
{
    EXPECT_EQ(reasonWord("target-refused-whatever-the-target-says"), "target-refused");
    EXPECT_EQ(reasonWord("bad-request: end of stream"), "bad-request");
    EXPECT_EQ(reasonWord("cancelled-before-hand-over"), "cancelled-before-hand-over");
    EXPECT_EQ(reasonWord("target"), "target");
    EXPECT_EQ(reasonWord("made up"), "other");
}

} // namespace quetzalspool::test
