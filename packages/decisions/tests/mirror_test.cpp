/** @file mirror_test.cpp Mirrors of the store's keys, and whom a daemon asks for changes. */
#include "mirror_func.h"
#include "roster_func.h"
#include "upstream_func.h"

#include <gtest/gtest.h>
#include <random>

namespace quetzalspool::test {

namespace {

key_change put(const std::string &key, std::int64_t revision)
{
    return {key, {"value " + std::to_string(revision), {revision}, false}};
}

key_change removal(const std::string &key, std::int64_t revision)
{
    return {key, {"", {revision}, true}};
}

std::vector<std::string> keysOf(const mirrored_keys &keys)
{
    std::vector<std::string> names;
    for (const auto &[key, value] : keys.values) {
        if (!value.removed) {
            names.push_back(key);
        }
    }
    return names;
}

/** A fleet of one region as one of its daemons sees it. */
roster_state fleetSeenBy(std::size_t self, std::size_t count, std::size_t domains)
{
    roster_state state;
    for (std::size_t index = 0; index < count; ++index) {
        roster_node node;
        node.member.id.value = "n" + std::to_string(index);
        node.member.region.value = "north";
        node.member.domain.value = "north-" + std::to_string(index % domains);
        node.member.endpoints = {"127.0.0.1", 0, static_cast<std::uint16_t>(index + 1), 0};
        takeEntry(state, node.member.id, node, {1}, {});
        if (index == self) {
            state.self = node;
        }
    }
    return state;
}

} // namespace

TEST(mirror, lateWordOfAnEarlierWriteBringsNothingBack)
{
    mirrored_keys keys{"a/"};
    EXPECT_TRUE(takeChange(keys, put("a/1", 5)));
    EXPECT_TRUE(takeChange(keys, removal("a/1", 7)));
    EXPECT_FALSE(takeChange(keys, put("a/1", 5)));
    EXPECT_FALSE(takeChange(keys, removal("a/1", 7)));
    EXPECT_TRUE(keysOf(keys).empty());
    EXPECT_TRUE(takeChange(keys, put("a/1", 9)));
}

TEST(mirror, aListRemovesWhatItDoesNotName)
{
    mirrored_keys keys{"a/"};
    takeWhole(keys, "a/", {put("a/n/1", 3), put("a/n/2", 4), put("a/o", 2)}, {6});
    takeChange(keys, put("a/n/3", 9)); // Written after the list below began.
    const auto news = takeWhole(keys, "a/n/", {put("a/n/2", 4)}, {8});
    EXPECT_EQ(news, std::vector<key_change>{removal("a/n/1", 8)});
    EXPECT_EQ(keysOf(keys), (std::vector<std::string>{"a/n/2", "a/n/3", "a/o"}));
    EXPECT_EQ(keys.seen, revision_number{6}) << "the other keys were not read";
}

TEST(mirror, whoIsFurtherBehindThanRemovalsAreKeptIsToldAll)
{
    mirrored_keys keys{"a/"};
    takeWhole(keys, "a/", {put("a/stays", 1)}, {1});
    std::int64_t revision = 1;
    for (int round = 0; round < 1000; ++round) {
        const auto key = "a/" + std::to_string(round);
        takeChange(keys, put(key, ++revision));
        takeChange(keys, removal(key, ++revision));
        noteSeen(keys, {revision});
    }
    EXPECT_LT(keys.values.size(), 600U) << "removals don't pile up";
    EXPECT_TRUE(changesAfter(keys, {5}).whole);
    const auto late = changesAfter(keys, {revision - 3});
    EXPECT_FALSE(late.whole);
    EXPECT_EQ(late.changes.size(), 2U);
    EXPECT_FALSE(takeChange(keys, put("a/3", 8))) << "its removal was forgotten";
}

// A watch that told nothing of a removal moved on beyond it; the daemon that is asked knows of the removal from a list.
TEST(mirror, aRemovalThatAWatchPassedOverIsNoticedAndHealed)
{
    mirrored_keys first{"a/"};
    takeWhole(first, "a/", {put("a/1", 3), put("a/2", 4)}, {5});
    auto second = first;
    takeChange(first, removal("a/1", 7));
    noteSeen(first, {9});
    noteSeen(second, {9});
    EXPECT_TRUE(takeUpdate(second, changesAfter(first, askAfter(second))).empty());
    EXPECT_NE(digestOf(second), digestOf(first)) << "its entries must not be told on as verified";
    EXPECT_EQ(askAfter(second), revision_number{});
    const auto news = takeUpdate(second, changesAfter(first, askAfter(second)));
    EXPECT_EQ(news, std::vector<key_change>{removal("a/1", 9)});
    EXPECT_EQ(digestOf(second), digestOf(first));
    EXPECT_EQ(askAfter(second), revision_number{9});
}

TEST(mirror, whoKnowsMoreThanTheDaemonItAsksDoesNotAskForAllAgain)
{
    mirrored_keys behind{"a/"};
    takeWhole(behind, "a/", {put("a/1", 3)}, {5});
    auto ahead = behind;
    takeChange(ahead, put("a/2", 6));
    noteSeen(ahead, {6});
    takeUpdate(ahead, changesAfter(behind, askAfter(ahead)));
    EXPECT_EQ(askAfter(ahead), revision_number{6});
}

TEST(mirror, chainsOfMirrorsEndEqualWhateverIsLostOnTheWay)
{
    std::mt19937_64 random(20261204);
    for (int world = 0; world < 200; ++world) {
        std::vector<mirrored_keys> chain(4, mirrored_keys{"a/"});
        std::int64_t revision = 0;
        for (int step = 0; step < 300; ++step) {
            const auto key = "a/" + std::to_string(random() % 12);
            ++revision;
            takeChange(chain[0], random() % 3 == 0 ? removal(key, revision) : put(key, revision));
            noteSeen(chain[0], {revision});
            // Any later one asks any earlier one; some answers are lost, some come twice.
            const auto asker = 1 + random() % 3;
            const auto answer = changesAfter(chain[random() % asker], askAfter(chain[asker]));
            for (auto times = random() % 3; times > 0; --times) {
                takeUpdate(chain[asker], answer);
            }
        }
        for (std::size_t asker = 1; asker < chain.size(); ++asker) {
            takeUpdate(chain[asker], changesAfter(chain[asker - 1], chain[asker].seen));
            EXPECT_EQ(keysOf(chain[asker]), keysOf(chain[0])) << "world " << world;
        }
    }
}

TEST(mirror, answersAreReadAsTheyWereWritten)
{
    changes_answer answer;
    answer.updates = {{true, {9}, ~0ULL, {put("a/1", 4)}}, {false, {8}, 12, {removal("b/2", 7)}}};
    answer.verifiedAfter = milliseconds(-1200);
    answer.entry = {4};
    const auto bytes = encodeAnswer(answer);
    last_reason why;
    EXPECT_EQ(decodeAnswer(bytes, why), answer);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeAnswer(bytes.substr(0, length), why)) << length;
    }
    EXPECT_FALSE(decodeAnswer("\x93\x01\x02\x03", why));
}

TEST(upstream, oneDaemonOfARegionAsksTheStoreAndAllOthersReachIt)
{
    for (const std::size_t count : {1U, 2U, 9U, 30U, 300U}) {
        std::size_t direct = 0;
        std::map<std::uint16_t, std::size_t> followers;
        std::map<std::uint16_t, std::uint16_t> firstOf;
        for (std::size_t self = 0; self < count; ++self) {
            const auto upstreams = upstreamsOf(fleetSeenBy(self, count, 4));
            direct += upstreams.empty() ? 1 : 0;
            if (!upstreams.empty()) {
                ++followers[upstreams.front().port];
                firstOf[static_cast<std::uint16_t>(self + 1)] = upstreams.front().port;
            }
        }
        EXPECT_EQ(direct, 1U) << count;
        for (const auto &[port, number] : followers) {
            EXPECT_LE(number, 40U) << count << " daemons, followers of " << port;
        }
        for (auto [port, next] : firstOf) {
            EXPECT_TRUE(!firstOf.contains(next) || !firstOf.contains(firstOf[next]))
                << "two steps to the store at most";
        }
    }
}

TEST(upstream, whoLeavesOrIsMissingIsNotAsked)
{
    auto state = fleetSeenBy(0, 20, 2);
    const auto before = upstreamsOf(state);
    ASSERT_FALSE(before.empty());
    for (auto &[id, seen] : state.nodes) {
        if (seen.node->member.endpoints.peers == before.front().port) {
            seen.node->member.leaving = true;
        }
    }
    const auto after = upstreamsOf(state);
    EXPECT_TRUE(std::find(after.begin(), after.end(), before.front()) == after.end());
}

TEST(rosterLease, theWordOfAnotherDaemonCountsForTheVeryEntryOnly)
{
    const steady_time now{std::chrono::seconds(1000)};
    roster_node self;
    self.member.id.value = "n0";
    auto state = startRoster(self, {}, now);
    state.listed = true;
    takeVerified(state, {}, now);
    EXPECT_FALSE(mayGrant(state, now)) << "it never entered";
    takeEntered(state, self, roster_outcome::stored, {5}, now, now);
    const auto until = state.lease.validUntil;
    takeVerified(state, {4}, now + milliseconds(500));
    EXPECT_EQ(state.lease.validUntil, until) << "an entry of an earlier run";
    takeVerified(state, {5}, now + milliseconds(500));
    EXPECT_EQ(state.lease.validUntil, until + milliseconds(500));
    takeVerified(state, {5}, now + milliseconds(100));
    EXPECT_EQ(state.lease.validUntil, until + milliseconds(500)) << "late words take nothing back";
    takeLapsed(state, now + milliseconds(600));
    takeVerified(state, {5}, now + milliseconds(700));
    EXPECT_EQ(state.lease.validUntil, until + milliseconds(500)) << "the entry was missing meanwhile";
}

} // namespace quetzalspool::test
