/** @file mirror_test.cpp Mirrors of the store's keys, the choice of upstream daemons, and confirmation by other
 * daemons. */
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

/** Returns the roster of a daemon in a fleet of one region. */
roster_state fleetSeenBy(std::size_t self, std::size_t count, std::size_t domains)
{
    roster_state state;
    for (std::size_t index = 0; index < count; ++index) {
        roster_node node;
        node.member.id.value = "n" + std::to_string(index);
        node.member.region.value = "north";
        node.member.domain.value = "north-" + std::to_string(index % domains);
        node.member.endpoints = {"127.0.0.1", 0, static_cast<std::uint16_t>(index + 1), 0};
        applyEntry(state, node.member.id, node, {1}, {});
        if (index == self) {
            state.self = node;
        }
    }
    return state;
}

} // namespace

TEST(mirror, delayedOlderWriteDoesNotRestoreDeletedKey)
{
    mirrored_keys keys{"a/"};
    EXPECT_TRUE(applyChange(keys, put("a/1", 5)));
    EXPECT_TRUE(applyChange(keys, removal("a/1", 7)));
    EXPECT_FALSE(applyChange(keys, put("a/1", 5)));
    EXPECT_FALSE(applyChange(keys, removal("a/1", 7)));
    EXPECT_TRUE(keysOf(keys).empty());
    EXPECT_TRUE(applyChange(keys, put("a/1", 9)));
}

TEST(mirror, listingRemovesUnlistedKeys)
{
    mirrored_keys keys{"a/"};
    applyListing(keys, "a/", {put("a/n/1", 3), put("a/n/2", 4), put("a/o", 2)}, {6});
    applyChange(keys, put("a/n/3", 9)); // Written after the listing below began.
    const auto applied = applyListing(keys, "a/n/", {put("a/n/2", 4)}, {8});
    EXPECT_EQ(applied, std::vector<key_change>{removal("a/n/1", 8)});
    EXPECT_EQ(keysOf(keys), (std::vector<std::string>{"a/n/2", "a/n/3", "a/o"}));
    EXPECT_EQ(keys.revision, revision_number{6}) << "the listing did not cover all keys";
}

TEST(mirror, requestBeforeCompactedRevisionGetsSnapshot)
{
    mirrored_keys keys{"a/"};
    applyListing(keys, "a/", {put("a/stays", 1)}, {1});
    std::int64_t revision = 1;
    for (int round = 0; round < 1000; ++round) {
        const auto key = "a/" + std::to_string(round);
        applyChange(keys, put(key, ++revision));
        applyChange(keys, removal(key, ++revision));
        advanceRevision(keys, {revision});
    }
    EXPECT_LT(keys.values.size(), 600U) << "tombstones are dropped";
    EXPECT_TRUE(changesAfter(keys, {5}).snapshot);
    const auto late = changesAfter(keys, {revision - 3});
    EXPECT_FALSE(late.snapshot);
    EXPECT_EQ(late.changes.size(), 2U);
    EXPECT_FALSE(applyChange(keys, put("a/3", 8))) << "its tombstone was dropped";
}

// Guards against a deletion that stays unknown: a watch missed it and advanced beyond its revision, while the daemon
// that serves the changes knows it from a listing.
TEST(mirror, deletionMissedByWatchIsDetectedAndRepaired)
{
    mirrored_keys first{"a/"};
    applyListing(first, "a/", {put("a/1", 3), put("a/2", 4)}, {5});
    auto second = first;
    applyChange(first, removal("a/1", 7));
    advanceRevision(first, {9});
    advanceRevision(second, {9});
    EXPECT_TRUE(applyUpdate(second, changesAfter(first, resumeRevision(second))).empty());
    EXPECT_NE(mirrorDigest(second), mirrorDigest(first)) << "its entries must not be passed on as verified";
    EXPECT_EQ(resumeRevision(second), revision_number{});
    const auto applied = applyUpdate(second, changesAfter(first, resumeRevision(second)));
    EXPECT_EQ(applied, std::vector<key_change>{removal("a/1", 9)});
    EXPECT_EQ(mirrorDigest(second), mirrorDigest(first));
    EXPECT_EQ(resumeRevision(second), revision_number{9});
}

TEST(mirror, newerMirrorDoesNotRequestSnapshot)
{
    mirrored_keys behind{"a/"};
    applyListing(behind, "a/", {put("a/1", 3)}, {5});
    auto ahead = behind;
    applyChange(ahead, put("a/2", 6));
    advanceRevision(ahead, {6});
    applyUpdate(ahead, changesAfter(behind, resumeRevision(ahead)));
    EXPECT_EQ(resumeRevision(ahead), revision_number{6});
}

TEST(mirror, chainedMirrorsConvergeDespiteLostAndRepeatedUpdates)
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 200; ++round) {
        std::vector<mirrored_keys> chain(4, mirrored_keys{"a/"});
        std::int64_t revision = 0;
        for (int step = 0; step < 300; ++step) {
            const auto key = "a/" + std::to_string(random() % 12);
            ++revision;
            applyChange(chain[0], random() % 3 == 0 ? removal(key, revision) : put(key, revision));
            advanceRevision(chain[0], {revision});
            // Any mirror requests from any earlier one. Some responses are lost, some arrive twice.
            const auto asker = 1 + random() % 3;
            const auto response = changesAfter(chain[random() % asker], resumeRevision(chain[asker]));
            for (auto times = random() % 3; times > 0; --times) {
                applyUpdate(chain[asker], response);
            }
        }
        for (std::size_t asker = 1; asker < chain.size(); ++asker) {
            applyUpdate(chain[asker], changesAfter(chain[asker - 1], chain[asker].revision));
            EXPECT_EQ(keysOf(chain[asker]), keysOf(chain[0])) << "round " << round;
        }
    }
}

TEST(mirror, responsesRoundTrip)
{
    changes_response response;
    response.updates = {{true, {9}, ~0ULL, {put("a/1", 4)}}, {false, {8}, 12, {removal("b/2", 7)}}};
    response.verifiedOffset = milliseconds(-1200);
    response.entryRevision = {4};
    const auto bytes = encodeChanges(response);
    last_reason why;
    EXPECT_EQ(decodeChanges(bytes, why), response);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeChanges(bytes.substr(0, length), why)) << length;
    }
    EXPECT_FALSE(decodeChanges("\x93\x01\x02\x03", why));
}

TEST(mirror, aResponseOfADaemonThatNamesNoVersionIsReadByOneThatDoes)
{
    changes_response response;
    response.version = 7;
    auto bytes = encodeChanges(response);
    last_reason why;
    EXPECT_EQ(decodeChanges(bytes, why), response);
    bytes[0] = '\x94'; // An array of four fields, as earlier builds send it.
    bytes.pop_back();
    ASSERT_TRUE(decodeChanges(bytes, why));
    EXPECT_EQ(decodeChanges(bytes, why)->version, 0U);
}

TEST(upstream, oneDaemonPerRegionReadsTheStoreAndOthersAreTwoHopsAwayAtMost)
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
            EXPECT_TRUE(!firstOf.contains(next) || !firstOf.contains(firstOf[next])) << "two hops to the store at most";
        }
    }
}

TEST(upstream, leavingDaemonIsNoUpstream)
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

// A daemon applies its own writes at once. It took the upstream that did not know them yet for one with other keys, and
// asked it for all values as fast as the link allowed.
TEST(mirror, ownWritesThatTheUpstreamDoesNotKnowYetAreNoDivergence)
{
    mirrored_keys upstream{"a/"};
    applyChange(upstream, put("a/1", 5));
    applyChange(upstream, put("a/2", 6));
    advanceRevision(upstream, {6});
    mirrored_keys keys{"a/"};
    applyUpdate(keys, changesAfter(upstream, {}));
    applyChange(keys, put("a/2", 8));
    applyUpdate(keys, changesAfter(upstream, keys.revision));
    EXPECT_FALSE(keys.diverged);
    applyUpdate(keys, changesAfter(upstream, {}));
    EXPECT_FALSE(keys.diverged) << "nor after a snapshot";
    EXPECT_EQ(resumeRevision(keys), revision_number{6});
    applyChange(upstream, put("a/2", 8));
    advanceRevision(upstream, {9});
    upstream.values.erase("a/1");
    upstream.values["a/3"] = {"missed", {4}, false};
    applyUpdate(keys, changesAfter(upstream, keys.revision));
    EXPECT_TRUE(keys.diverged) << "the upstream knows all that this mirror does, and the keys differ";
}

TEST(rosterLease, peerConfirmationAppliesToTheSameEntryOnly)
{
    const steady_time now{std::chrono::seconds(1000)};
    roster_node self;
    self.member.id.value = "n0";
    auto state = startRoster(self, {}, now);
    state.listed = true;
    applyEntryVerification(state, {}, now);
    EXPECT_FALSE(mayGrant(state, now)) << "its entry was never written";
    completeEntryWrite(state, self, roster_outcome::stored, {5}, now, now);
    const auto until = state.lease.validUntil;
    applyEntryVerification(state, {4}, now + milliseconds(500));
    EXPECT_EQ(state.lease.validUntil, until) << "entry of an earlier run";
    applyEntryVerification(state, {5}, now + milliseconds(500));
    EXPECT_EQ(state.lease.validUntil, until + milliseconds(500));
    applyEntryVerification(state, {5}, now + milliseconds(100));
    EXPECT_EQ(state.lease.validUntil, until + milliseconds(500)) << "a delayed confirmation does not shorten the lease";
    expireEntry(state, now + milliseconds(600));
    applyEntryVerification(state, {5}, now + milliseconds(700));
    EXPECT_EQ(state.lease.validUntil, until + milliseconds(500)) << "the entry was missing in between";
}

} // namespace quetzalspool::test
