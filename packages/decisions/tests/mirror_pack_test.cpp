/** @file mirror_pack_test.cpp Large values as differences from the values that other daemons have, and how long a large
 * document takes over slow links. */
#include "mirror_func.h"
#include "roster_func.h"
#include "upstream_func.h"
#include "value_delta_func.h"

#include <functional>
#include <gtest/gtest.h>
#include <iostream>
#include <random>

namespace quetzalspool::test {

namespace {

using seconds = std::chrono::duration<double>;

const std::string documentKey = "tables/all";
constexpr seconds deadline{3}; ///< Time from the acknowledgement of a change until it holds everywhere.

/** A document with this many routes, in the manner of an operator's configuration. Each version changes one route. */
std::string makeDocument(std::size_t routes, std::uint64_t version)
{
    std::mt19937_64 random(routes);
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"paths":[)";
    for (std::size_t index = 0; index < routes; ++index) {
        const auto timeout = 1000 + (index == version ? version : 0);
        text += R"({"name":"r-)" + std::to_string(random() % 10000000) + R"(","prefix":"/)"
            + std::to_string(random() % 10000000) + R"(/","kind":"safe","timeout":")" + std::to_string(timeout)
            + R"(ms","latency_goal":"600ms","priority":2,"targets":2,"service":"desk"},)";
    }
    return text + "{}]}";
}

key_change documentChange(std::size_t routes, std::uint64_t version)
{
    return {documentKey, {makeDocument(routes, version), {static_cast<std::int64_t>(100 + version)}, false}};
}

/** Mirror of a daemon that has received versions up to this one. */
mirrored_keys mirrorOf(std::size_t routes, std::uint64_t version)
{
    mirrored_keys keys;
    keys.prefix = "tables/";
    applyChange(keys, {"tables/other", {"small", {1}, false}});
    for (std::uint64_t each = 1; each <= version; ++each) {
        applyChange(keys, documentChange(routes, each));
        advanceRevision(keys, {static_cast<std::int64_t>(100 + each)});
    }
    return keys;
}

/** Passes an update from one daemon to another as bytes. */
mirror_update passOn(mirrored_keys &from, revision_number after, std::size_t &bytes)
{
    changes_response response;
    response.updates = {changesAfter(from, after)};
    packUpdate(from, response.updates.front(), after);
    const auto encoded = encodeChanges(response);
    bytes = encoded.size();
    last_reason why;
    return decodeChanges(encoded, why)->updates.front();
}

/** Fleet whose daemons have links of one rate, which lose a share of their packets. */
struct fleet
{
    std::size_t daemons = 0;
    std::size_t regions = 0;
    std::size_t domains = 0; ///< In each region.
    double bytesPerSecond = 0;
    double lossRate = 0;
};

roster_state makeRoster(const fleet &of)
{
    roster_state state;
    for (std::size_t index = 0; index < of.daemons; ++index) {
        const auto region = index % of.regions;
        roster_node node;
        node.member.id = {"n" + std::to_string(index)};
        node.member.region = {"r" + std::to_string(region)};
        node.member.domain = {"d" + std::to_string(region) + "-" + std::to_string(index / of.regions % of.domains)};
        node.member.endpoints.host = "n" + std::to_string(index);
        state.nodes[node.member.id] = {node, true, {}, {}};
    }
    return state;
}

/** Followers of each daemon that asks its first upstream; the reader of a region is listed under an empty name. */
std::map<std::string, std::vector<std::string>> followersOf(roster_state state)
{
    std::map<std::string, std::vector<std::string>> followers;
    const auto nodes = state.nodes;
    for (const auto &[id, known] : nodes) {
        state.self = *known.node;
        const auto upstreams = upstreamsOf(state);
        followers[upstreams.empty() ? "" : upstreams.front().host].push_back(id.value);
    }
    return followers;
}

/** Time until the last daemon has each of several versions that are written at an interval; the slowest of them. */
seconds slowestDelivery(const fleet &of, const std::vector<std::size_t> &bytesOf, seconds interval)
{
    const auto followers = followersOf(makeRoster(of));
    const auto rate = of.bytesPerSecond * (1 - of.lossRate);
    std::map<std::string, seconds> linkFreeAt;
    seconds slowest{0};
    const std::function<void(const std::string &, seconds, std::size_t, seconds)> deliver =
        [&](const std::string &from, seconds at, std::size_t bytes, seconds writtenAt) {
            const auto found = followers.find(from);
            if (found == followers.end()) {
                slowest = std::max(slowest, at - writtenAt);
                return;
            }
            // The store's own link is fast; a daemon's link carries the copies for all its followers.
            const auto copies = from.empty() ? 1.0 : static_cast<double>(found->second.size());
            auto &freeAt = linkFreeAt[from];
            const auto sent = std::max(freeAt, at) + seconds(copies * static_cast<double>(bytes) / rate);
            freeAt = from.empty() ? freeAt : sent;
            for (const auto &follower : found->second) {
                deliver(follower, sent, bytes, writtenAt);
            }
        };
    for (std::size_t index = 0; index < bytesOf.size(); ++index) {
        const auto writtenAt = interval * static_cast<double>(index);
        deliver("", writtenAt, bytesOf[index], writtenAt);
    }
    return slowest;
}

/** Bytes that carry each version to a daemon that has the one before. */
std::vector<std::size_t> bytesPerVersion(std::size_t routes, std::uint64_t versions)
{
    std::vector<std::size_t> all;
    for (std::uint64_t version = 2; version <= versions; ++version) {
        auto from = mirrorOf(routes, version);
        std::size_t bytes = 0;
        passOn(from, {static_cast<std::int64_t>(100 + version - 1)}, bytes);
        all.push_back(bytes);
    }
    return all;
}

} // namespace

TEST(mirrorPack, versionsOfALargeDocumentInQuickSuccessionReachAllDaemonsInTime)
{
    struct row
    {
        fleet of;
        std::size_t routes;
    };
    const std::vector<row> rows{{{90, 2, 2, 1.25e6, 0}, 1400},
                                {{90, 2, 2, 1.25e6, 0.05}, 1400},
                                {{90, 2, 2, 1.25e6, 0}, 5000},
                                {{300, 2, 2, 1.25e6, 0.05}, 1400},
                                {{1583, 1, 3, 1.25e6, 0.05}, 1400}}; // One region of a fleet of 19,000.
    for (const auto &[of, routes] : rows) {
        const auto bytes = bytesPerVersion(routes, 12);
        const auto took = slowestDelivery(of, bytes, seconds(0.9));
        std::cout << "figure " << of.daemons << " daemons, " << routes << " routes, document "
                  << makeDocument(routes, 1).size() << " bytes, loss " << of.lossRate << ": " << bytes.back()
                  << " bytes a daemon, slowest " << took.count() << " s\n";
        EXPECT_LT(took, deadline) << of.daemons << " daemons, " << routes << " routes";
    }
}

TEST(mirrorPack, aDocumentThatGrowsByManyRoutesReachesAllDaemonsInTime)
{
    mirrored_keys keys = mirrorOf(19, 1);
    applyChange(keys, documentChange(1419, 2));
    std::size_t bytes = 0;
    passOn(keys, {101}, bytes);
    const auto took = slowestDelivery({90, 2, 2, 1.25e6, 0.05}, {bytes}, seconds(1));
    std::cout << "figure grown document: " << bytes << " bytes, slowest " << took.count() << " s\n";
    EXPECT_LT(took, deadline);
}

TEST(mirrorPack, aDaemonRestoresEachVersionWhicheverItHadBefore)
{
    constexpr std::uint64_t last = 9;
    auto from = mirrorOf(300, last);
    for (std::uint64_t had = 0; had < last; ++had) {
        auto to = mirrorOf(300, had);
        std::size_t bytes = 0;
        const auto applied = applyUpdate(to, passOn(from, resumeRevision(to), bytes));
        ASSERT_FALSE(applied.empty()) << had;
        EXPECT_EQ(findExisting(to, documentKey)->text, makeDocument(300, last)) << had;
        EXPECT_FALSE(to.diverged) << had;
    }
}

TEST(mirrorPack, aDaemonWithAnotherValueThanExpectedAsksForTheWholeOne)
{
    auto from = mirrorOf(300, 5);
    auto to = mirrorOf(300, 3);
    advanceRevision(to, {104}); // A watch passed over version 4.
    std::size_t bytes = 0;
    EXPECT_TRUE(applyUpdate(to, passOn(from, resumeRevision(to), bytes)).empty());
    EXPECT_EQ(to.revision, revision_number{104}) << "nothing of the update counts";
    EXPECT_EQ(resumeRevision(to), revision_number{});
    applyUpdate(to, passOn(from, resumeRevision(to), bytes));
    EXPECT_EQ(findExisting(to, documentKey)->text, makeDocument(300, 5));
    EXPECT_EQ(resumeRevision(to), revision_number{105});
}

TEST(mirrorPack, aDifferenceThatArrivesAfterTheValueItselfChangesNothing)
{
    auto from = mirrorOf(300, 5);
    auto to = mirrorOf(300, 4);
    std::size_t bytes = 0;
    const auto update = passOn(from, resumeRevision(to), bytes);
    applyChange(to, documentChange(300, 5));
    EXPECT_TRUE(applyUpdate(to, update).empty());
    EXPECT_FALSE(to.diverged);
    EXPECT_EQ(findExisting(to, documentKey)->text, makeDocument(300, 5));
    EXPECT_EQ(to.revision, revision_number{105});
}

TEST(mirrorPack, damagedBytesChangeNothing)
{
    auto from = mirrorOf(300, 5);
    std::mt19937_64 random(5);
    for (int round = 0; round < 300; ++round) {
        auto to = mirrorOf(300, 4);
        std::size_t bytes = 0;
        auto update = passOn(from, resumeRevision(to), bytes);
        auto &packed = update.changes.front().packed->bytes;
        packed[random() % packed.size()] ^= static_cast<char>(1U << random() % 8);
        packed.resize(packed.size() - random() % 2 * (random() % packed.size()));
        const auto applied = applyUpdate(to, update);
        const auto &text = findExisting(to, documentKey)->text;
        EXPECT_TRUE(applied.empty() ? text == makeDocument(300, 4) : text == makeDocument(300, 5)) << round;
    }
}

TEST(mirrorPack, aValueThatReceiversWouldNotRestoreIsSentAsItIs)
{
    auto from = mirrorOf(300, 2);
    const std::string huge(maxPackedBytes + 1, 'x');
    applyChange(from, {documentKey, {huge, {120}, false}});
    auto to = mirrorOf(300, 2);
    std::size_t bytes = 0;
    EXPECT_FALSE(applyUpdate(to, passOn(from, {102}, bytes)).empty());
    EXPECT_EQ(findExisting(to, documentKey)->text, huge);
}

TEST(mirrorPack, aSmallOrDeletedValueIsSentAsItIs)
{
    auto from = mirrorOf(300, 2);
    applyChange(from, {"tables/other", {"changed", {110}, false}});
    applyChange(from, {documentKey, {"", {111}, true}});
    auto update = changesAfter(from, {102});
    packUpdate(from, update, {102});
    ASSERT_EQ(update.changes.size(), 2U);
    EXPECT_FALSE(update.changes[0].packed || update.changes[1].packed);
    EXPECT_FALSE(from.histories.contains(documentKey)) << "nothing is kept of a deleted value";
}

} // namespace quetzalspool::test
