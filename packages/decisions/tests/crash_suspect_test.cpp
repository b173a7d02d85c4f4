/** @file crash_suspect_test.cpp Requests that crash the targets that run them, and others that ran beside them. */
#include "admission_func.h"
#include "crash_suspect_func.h"
#include "retry_type.h"

#include <gtest/gtest.h>

namespace quetzalspool {

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const steady_time start{hours(1)};

request_fingerprint fingerprintOf(std::string_view path)
{
    return makeFingerprint({"GET", "a.example", path, "", "desk", ""});
}

/** A target and the daemon beside it. */
struct crashing_target
{
    crash_suspects suspects; ///< What the daemon knows.
    target_runs runs; ///< What the target runs.
    std::uint64_t nextId = 1; ///< Id of the next request.

    void begin(std::string_view path, steady_time now)
    {
        beginRun(runs, nextId++, {fingerprintOf(path), crashesOf(suspects, fingerprintOf(path), now)});
    }

    void restart(steady_time now)
    {
        beginIncarnation(runs, now);
    }

    std::vector<crash_suspect> crash(steady_time now)
    {
        const auto crashed = takeCrashedRuns(runs, now);
        for (const auto &suspect : crashed) {
            recordSuspect(suspects, suspect, now);
        }
        return crashed;
    }
};

} // namespace

TEST(crashSuspect, aRequestUnderWhichThreeTargetsCrashIsQuarantined)
{
    crashing_target target;
    target.begin("/deadly", start);
    target.crash(start);
    EXPECT_FALSE(quarantineLeft(target.suspects, fingerprintOf("/deadly"), start));
    target.restart(start + seconds(3));
    target.begin("/deadly", start + seconds(4));
    target.crash(start + seconds(4));
    EXPECT_EQ(quarantineLeft(target.suspects, fingerprintOf("/deadly"), start + seconds(4)), milliseconds(1500));
    EXPECT_FALSE(quarantineLeft(target.suspects, fingerprintOf("/deadly"), start + milliseconds(5500)));
    target.restart(start + seconds(7));
    target.begin("/deadly", start + seconds(8));
    target.crash(start + seconds(8));
    EXPECT_EQ(quarantineLeft(target.suspects, fingerprintOf("/deadly"), start + seconds(8)), minutes(10));
}

TEST(crashSuspect, requestsThatRanBesideACrashAreServedAgain)
{
    crashing_target target;
    for (const auto *path : {"/deadly", "/b", "/c"}) {
        target.begin(path, start);
    }
    EXPECT_EQ(target.crash(start).size(), 3U);
    for (const auto *path : {"/deadly", "/b", "/c"}) {
        EXPECT_EQ(crashesOf(target.suspects, fingerprintOf(path), start), 1U) << path;
        EXPECT_FALSE(quarantineLeft(target.suspects, fingerprintOf(path), start)) << path;
    }
    clearSuspect(target.suspects, fingerprintOf("/b"), start);
    EXPECT_EQ(crashesOf(target.suspects, fingerprintOf("/b"), start), 0U);
}

TEST(crashSuspect, targetsThatCrashAtTheSameTimeDoNotQuarantineWhatTheyRan)
{
    crash_suspects known;
    for (int number = 0; number < 5; ++number) {
        crashing_target target;
        target.begin("/popular", start);
        for (const auto &suspect : target.crash(start)) {
            recordSuspect(known, suspect, start);
        }
    }
    EXPECT_EQ(crashesOf(known, fingerprintOf("/popular"), start), 1U);
    EXPECT_FALSE(quarantineLeft(known, fingerprintOf("/popular"), start));
}

TEST(crashSuspect, oneCrashIsCountedOnceHoweverItIsNoticed)
{
    crashing_target target;
    target.begin("/a", start);
    target.begin("/b", start);
    loseRun(target.runs, 1, start);
    EXPECT_EQ(target.crash(start).size(), 2U);
    loseRun(target.runs, 2, start);
    target.begin("/sent-to-nobody", start);
    loseRun(target.runs, 3, start);
    EXPECT_TRUE(target.crash(start).empty());
    target.begin("/sent-before-the-first-report", start + seconds(3));
    EXPECT_TRUE(beginIncarnation(target.runs, start + seconds(3)).empty());
    EXPECT_EQ(crashesOf(target.suspects, fingerprintOf("/a"), start + seconds(3)), 1U);
    EXPECT_EQ(crashesOf(target.suspects, fingerprintOf("/sent-to-nobody"), start + seconds(3)), 0U);
    EXPECT_EQ(target.crash(start + seconds(4)).size(), 1U) << "the next incarnation crashes too";
}

TEST(crashSuspect, aCrashIsNoticedByTheReportOfTheNextIncarnation)
{
    crashing_target target;
    target.begin("/a", start);
    target.begin("/b", start);
    loseRun(target.runs, 1, start);
    EXPECT_EQ(beginIncarnation(target.runs, start + seconds(3)).size(), 2U);
}

TEST(crashSuspect, aTargetThatRespondsAfterARefusedConnectionHasNotCrashedForGood)
{
    crashing_target target;
    target.begin("/a", start);
    target.begin("/b", start);
    loseRun(target.runs, 1, start);
    target.crash(start);
    finishRun(target.runs, 2);
    target.begin("/c", start + seconds(1));
    EXPECT_EQ(target.crash(start + seconds(1)).size(), 1U);
}

TEST(crashSuspect, aRequestLostLongBeforeTheEndOfItsTargetIsNoSuspect)
{
    crashing_target target;
    target.begin("/a", start);
    loseRun(target.runs, 1, start);
    EXPECT_TRUE(target.crash(start + seconds(11)).empty());
}

TEST(crashSuspect, aRequestIsTriedAgainAfterItsQuarantineAndThenQuarantinedForLonger)
{
    crashing_target target;
    auto now = start;
    for (int crash = 0; crash < 2; ++crash) {
        target.restart(now);
        target.begin("/deadly", now);
        target.crash(now);
        now += seconds(2);
    }
    std::vector<hours::rep> minutesHeld;
    for (int trial = 0; trial < 5; ++trial) {
        target.restart(now);
        target.begin("/deadly", now);
        target.crash(now);
        const auto left = quarantineLeft(target.suspects, fingerprintOf("/deadly"), now);
        ASSERT_TRUE(left);
        minutesHeld.push_back(std::chrono::duration_cast<minutes>(*left).count());
        now += *left;
        EXPECT_FALSE(quarantineLeft(target.suspects, fingerprintOf("/deadly"), now));
        EXPECT_GT(crashesOf(target.suspects, fingerprintOf("/deadly"), now), 0U) << "still a suspect";
    }
    EXPECT_EQ(minutesHeld, (std::vector<hours::rep>{10, 40, 160, 640, 1440}));
}

TEST(crashSuspect, newsThatIsRepeatedOrOlderChangesNoQuarantine)
{
    crash_suspects known;
    recordNews(known, {fingerprintOf("/deadly"), 3}, start);
    recordNews(known, {fingerprintOf("/deadly"), 3}, start + minutes(9));
    recordNews(known, {fingerprintOf("/deadly"), 1}, start + minutes(9));
    EXPECT_EQ(quarantineLeft(known, fingerprintOf("/deadly"), start + minutes(9)), minutes(1));
    EXPECT_FALSE(quarantineLeft(known, fingerprintOf("/deadly"), start + minutes(10)));
}

TEST(crashSuspect, newsThatIsOlderThanAResponseIsNotBelieved)
{
    crashing_target target;
    target.begin("/popular", start);
    target.crash(start);
    clearSuspect(target.suspects, fingerprintOf("/popular"), start + seconds(1));
    recordNews(target.suspects, {fingerprintOf("/popular"), 3}, start + seconds(2));
    EXPECT_EQ(crashesOf(target.suspects, fingerprintOf("/popular"), start + seconds(2)), 0U);
    target.restart(start + seconds(3));
    target.begin("/popular", start + seconds(3));
    target.crash(start + seconds(3));
    EXPECT_EQ(crashesOf(target.suspects, fingerprintOf("/popular"), start + seconds(3)), 1U) << "its own target";
    recordNews(target.suspects, {fingerprintOf("/popular"), 3}, start + seconds(20));
    EXPECT_EQ(crashesOf(target.suspects, fingerprintOf("/popular"), start + seconds(20)), 3U);
}

TEST(crashSuspect, memoryIsBoundedAndQuarantinedRequestsStayInIt)
{
    crash_suspects known;
    known.capacity = 100;
    recordSuspect(known, {fingerprintOf("/deadly"), 3}, start);
    for (int number = 0; number < 1000; ++number) {
        recordSuspect(known, {fingerprintOf("/other" + std::to_string(number)), 1}, start + milliseconds(number));
    }
    EXPECT_LE(known.known.size(), 100U);
    EXPECT_TRUE(quarantineLeft(known, fingerprintOf("/deadly"), start + seconds(1)));
}

TEST(crashSuspect, fingerprintsTellRequestsApart)
{
    const request_content content{"GET", "a.example", "/p", "7", "desk", "body"};
    const std::vector<request_content> others{
        {"POST", "a.example", "/p", "7", "desk", "body"},  {"GET", "b.example", "/p", "7", "desk", "body"},
        {"GET", "a.example", "/q", "7", "desk", "body"},   {"GET", "a.example", "/p", "8", "desk", "body"},
        {"GET", "a.example", "/p", "7", "ledger", "body"}, {"GET", "a.example", "/p", "7", "desk", "other"},
        {"GET", "a.example", "/p7", "", "desk", "body"}};
    EXPECT_EQ(makeFingerprint(content), makeFingerprint(content));
    for (const auto &other : others) {
        EXPECT_NE(makeFingerprint(content), makeFingerprint(other));
    }
}

TEST(crashSuspect, suspectsAreReadAsTheyWereWritten)
{
    const std::vector<crash_suspect> suspects{{fingerprintOf("/a"), 1}, {{0, 0xffffffffffffffffULL}, 7}};
    last_reason why;
    EXPECT_EQ(parseSuspects(formatSuspects(suspects), why), suspects);
}

TEST(crashSuspect, malformedSuspectsAreRefusedWhole)
{
    const std::string deep(200000, '[');
    for (const std::string &text : std::vector<std::string>{
             "", "[]", "{}", "7", R"({"suspects":7})", R"({"suspects":[7]})", R"({"suspects":[["00",1]]})",
             R"({"suspects":[["00000000000000000000000000000001",-1]]})",
             R"({"suspects":[["00000000000000000000000000000001",4294967296]]})",
             R"({"suspects":[["00000000000000000000000000000001",1e99]]})",
             R"({"suspects":[["0000000000000000000000000000000g",1]]})", deep, R"({"suspects":)" + deep}) {
        last_reason why;
        EXPECT_FALSE(parseSuspects(text, why)) << text.substr(0, 80);
    }
}

/** Admission with a target that runs several requests at once. */
class suspect_admission : public ::testing::Test
{
protected:
    suspect_admission()
    {
        state.limits.concurrency = 4;
        state.limits.warmUp = milliseconds(1);
        beginTarget(state, start);
        state.heard = true;
    }

    static admission_request makeRequest(std::uint64_t id, const std::optional<std::string> &suspectPath)
    {
        admission_request request;
        request.id = id;
        request.deadline = start + seconds(10);
        if (suspectPath) {
            request.suspect = fingerprintOf(*suspectPath);
        }
        return request;
    }

    admission_state state;
    const steady_time now = start + seconds(1);
};

TEST_F(suspect_admission, oneSuspectRunsAtATime)
{
    EXPECT_TRUE(admit(state, makeRequest(1, "/a"), now).admitted);
    EXPECT_TRUE(admit(state, makeRequest(2, "/b"), now).queued);
    EXPECT_TRUE(advanceQueue(state, now).empty());
    finishRequest(state, makeRequest(1, "/a"), true, milliseconds(5), now);
    const auto decided = advanceQueue(state, now);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided[0].id, 2U);
    EXPECT_TRUE(decided[0].result.admitted);
}

TEST_F(suspect_admission, othersDoNotWaitBehindASuspectThatWaits)
{
    EXPECT_TRUE(admit(state, makeRequest(1, "/a"), now).admitted);
    EXPECT_TRUE(admit(state, makeRequest(2, "/b"), now).queued);
    auto later = makeRequest(3, std::nullopt);
    later.deadline += seconds(1);
    const auto result = admit(state, later, now);
    const auto decided = advanceQueue(state, now);
    EXPECT_TRUE(result.admitted || (decided.size() == 1 && decided[0].id == 3 && decided[0].result.admitted));
}

TEST_F(suspect_admission, repetitionsOfARequestThatATargetSurvivedRunBesideEachOther)
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        admit(state, makeRequest(id, "/popular"), now);
    }
    EXPECT_EQ(state.inFlight, 1U);
    finishRequest(state, makeRequest(1, "/popular"), true, milliseconds(5), now);
    clearQueuedSuspects(state, fingerprintOf("/popular"));
    EXPECT_EQ(advanceQueue(state, now).size(), 3U);
}

TEST_F(suspect_admission, suspectsThatWaitTakeNoRoomFromOthers)
{
    state.limits.queue = 4;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        admit(state, makeRequest(id, "/s" + std::to_string(id)), now);
    }
    EXPECT_EQ(state.queue.size(), 4U);
    EXPECT_TRUE(admit(state, makeRequest(9, std::nullopt), now).admitted) << "three of four slots are free";
}

TEST_F(suspect_admission, aResponseThatIsBeingTransferredHoldsUpNoOtherSuspect)
{
    EXPECT_TRUE(admit(state, makeRequest(1, "/a"), now).admitted);
    EXPECT_TRUE(admit(state, makeRequest(2, "/b"), now).queued);
    releaseSuspect(state, makeRequest(1, "/a"));
    EXPECT_EQ(advanceQueue(state, now).size(), 1U);
    finishRequest(state, makeRequest(1, "/a"), true, milliseconds(5), now);
    EXPECT_TRUE(admit(state, makeRequest(3, "/c"), now).queued) << "the second one runs";
}

TEST_F(suspect_admission, aQuarantinedRequestIsNotTriedElsewhere)
{
    retry_budget budget;
    retry_context context;
    context.reason = refusal::quarantined;
    context.idempotent = true;
    context.deadline = start + seconds(10);
    EXPECT_FALSE(decideRetry(context, budget, {}, now).retry);
}

} // namespace quetzalspool
