/** @file exchange_world_test.cpp Latency of store changes that daemons pass on to each other, under failures. */
#include "exchange_func.h"
#include "roster_world_parts.h"
#include "upstream_func.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

constexpr milliseconds changeLimit{1800}; ///< Changes have to be in force after 2 s; the rest is for the processing in
                                          ///< the daemon.
constexpr milliseconds checkInterval{50}; ///< Time between two checks of the daemons.
constexpr milliseconds changeInterval{250}; ///< Time between two changes.
constexpr milliseconds leaveNotice{500}; ///< A planned stop is announced this long before the daemon ends.
constexpr milliseconds startupTime{3000}; ///< Daemons are not checked for this long after a start or failure.

const std::string probe = "markers/probe";

/** A key that is changed repeatedly, with the time of each change. */
struct probe_history
{
    std::vector<std::pair<steady_time, std::int64_t>> changes; ///< Time and revision.

    void change(roster_world &world)
    {
        ++world.store.revision;
        world.store.values[probe] = {"x", world.store.revision, 0};
        changes.emplace_back(world.now, world.store.revision);
    }

    /** Returns the latest revision that all daemons have to know. */
    [[nodiscard]] std::int64_t requiredRevision(steady_time now) const
    {
        std::int64_t revision = 0;
        for (const auto &[at, value] : changes) {
            revision = at + changeLimit <= now ? value : revision;
        }
        return revision;
    }
};

std::int64_t knownRevision(const fake_node &node)
{
    const auto *value = findExisting(node.mirror, probe);
    return value == nullptr ? 0 : value->revision.value;
}

/** Returns the first daemon that reads the store for its region. */
std::size_t regionReader(const roster_world &world)
{
    for (std::size_t index = 0; index < world.nodes.size(); ++index) {
        const auto &node = world.nodes[index];
        if (node.up && !node.roster.stopping && upstreamsOf(node.roster).empty()) {
            return index;
        }
    }
    return 0;
}

/** Kind of an injected failure. */
enum class failure_mode
{
    planned_stop, ///< The daemon announces that it leaves, then ends.
    crash, ///< The daemon ends without notice.
    store_partition, ///< The daemon runs on without a path to the store.
    full_partition, ///< The daemon runs on without a path to the store or to other daemons.
};

void injectFailure(roster_world &world, std::size_t index, failure_mode mode)
{
    auto &node = world.nodes[index];
    const auto end = [&world, index] { world.nodes[index].up = false; };
    switch (mode) {
    case failure_mode::planned_stop:
        node.roster.stopping = true;
        node.roster.self.member.leaving = true;
        after(world, leaveNotice, end);
        break;
    case failure_mode::crash:
        end();
        break;
    case failure_mode::full_partition:
        node.cutFromPeersUntil = world.now + seconds(4);
        [[fallthrough]];
    case failure_mode::store_partition:
        node.cutUntil = world.now + seconds(4);
        return;
    }
    after(world, seconds(2), [&world, index] { restartDaemon(world, index); });
}

/** Fails the reader of the region repeatedly while the probe changes, and checks that all daemons learn of the changes
 * in time. */
void runFailures(std::uint64_t seed, failure_mode mode)
{
    auto world = makeRosterWorld(seed, 12);
    world.exchanges = true;
    runFor(world, seconds(20));
    probe_history history;
    std::map<std::size_t, steady_time> lastFailureAt;
    std::map<std::size_t, std::uint64_t> runs;
    steady_time nextFailure = world.now;
    steady_time nextChange = world.now;
    const auto until = world.now + seconds(12);
    while (world.now < until) {
        if (world.now >= nextChange) {
            history.change(world);
            nextChange = world.now + changeInterval;
        }
        if (world.now >= nextFailure) {
            const auto failed = regionReader(world);
            injectFailure(world, failed, mode);
            nextFailure = world.now + milliseconds(900);
        }
        runFor(world, checkInterval);
        for (std::size_t index = 0; index < world.nodes.size(); ++index) {
            const auto &node = world.nodes[index];
            const bool newRun = std::exchange(runs[index], node.run) != node.run;
            if (newRun || !node.up || node.roster.stopping || !reaches(world, node)
                || world.now < node.cutFromPeersUntil) {
                lastFailureAt[index] = world.now;
            }
            if (lastFailureAt[index] != steady_time{} && world.now < lastFailureAt[index] + startupTime) {
                continue;
            }
            ASSERT_GE(knownRevision(node), history.requiredRevision(world.now))
                << "seed " << seed << ", failure mode " << static_cast<int>(mode) << ", n" << index << " at "
                << std::chrono::duration_cast<milliseconds>(world.now.time_since_epoch()).count();
        }
    }
    EXPECT_EQ(world.fault, "");
}

} // namespace

class exchange_failures : public testing::TestWithParam<failure_mode>
{ };

TEST_P(exchange_failures, changesArriveInTimeWhileRegionReadersFailInSeries)
{
    constexpr std::uint64_t firstSeed = 700;
    constexpr std::uint64_t seeds = 4;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        runFailures(seed, GetParam());
        if (HasFatalFailure()) {
            return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(all, exchange_failures,
                         testing::Values(failure_mode::planned_stop, failure_mode::crash, failure_mode::store_partition,
                                         failure_mode::full_partition));

} // namespace quetzalspool::test
