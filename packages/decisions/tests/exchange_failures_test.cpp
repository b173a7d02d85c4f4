/** @file exchange_failures_test.cpp Latency of store changes that daemons pass on to each other, under failures. */
#include "exchange_func.h"
#include "roster_simulation_internal.h"
#include "upstream_func.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <set>

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

    void change(roster_simulation &simulation)
    {
        ++simulation.store.revision;
        simulation.store.values[probe] = {"x", simulation.store.revision, 0};
        changes.emplace_back(simulation.now, simulation.store.revision);
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
std::size_t regionReader(const roster_simulation &simulation)
{
    for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
        const auto &node = simulation.nodes[index];
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

void injectFailure(roster_simulation &simulation, std::size_t index, failure_mode mode)
{
    auto &node = simulation.nodes[index];
    const auto end = [&simulation, index] { simulation.nodes[index].up = false; };
    switch (mode) {
    case failure_mode::planned_stop:
        node.roster.stopping = true;
        node.roster.self.member.leaving = true;
        after(simulation, leaveNotice, end);
        break;
    case failure_mode::crash:
        end();
        break;
    case failure_mode::full_partition:
        node.peersUnreachableUntil = simulation.now + seconds(4);
        [[fallthrough]];
    case failure_mode::store_partition:
        node.storeUnreachableUntil = simulation.now + seconds(4);
        return;
    }
    after(simulation, seconds(2), [&simulation, index] { restartDaemon(simulation, index); });
}

/** Fails the reader of the region repeatedly while the probe changes, and checks that all daemons learn of the changes
 * in time. */
void runFailures(std::uint64_t seed, failure_mode mode)
{
    auto simulation = makeRosterSimulation(seed, 12);
    simulation.peerExchange = true;
    runFor(simulation, seconds(20));
    probe_history history;
    std::map<std::size_t, steady_time> lastFailureAt;
    std::map<std::size_t, std::uint64_t> runs;
    steady_time nextFailure = simulation.now;
    steady_time nextChange = simulation.now;
    const auto until = simulation.now + seconds(12);
    while (simulation.now < until) {
        if (simulation.now >= nextChange) {
            history.change(simulation);
            nextChange = simulation.now + changeInterval;
        }
        if (simulation.now >= nextFailure) {
            const auto failed = regionReader(simulation);
            injectFailure(simulation, failed, mode);
            nextFailure = simulation.now + milliseconds(900);
        }
        runFor(simulation, checkInterval);
        for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
            const auto &node = simulation.nodes[index];
            const bool newRun = std::exchange(runs[index], node.run) != node.run;
            if (newRun || !node.up || node.roster.stopping || !reachesStore(simulation, node)
                || simulation.now < node.peersUnreachableUntil) {
                lastFailureAt[index] = simulation.now;
            }
            if (lastFailureAt[index] != steady_time{} && simulation.now < lastFailureAt[index] + startupTime) {
                continue;
            }
            ASSERT_GE(knownRevision(node), history.requiredRevision(simulation.now))
                << "seed " << seed << ", failure mode " << static_cast<int>(mode) << ", n" << index << " at "
                << std::chrono::duration_cast<milliseconds>(simulation.now.time_since_epoch()).count();
        }
    }
    EXPECT_EQ(simulation.violation, "");
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

TEST(exchange, notAllDaemonsTurnToTheStoreWhileTheReaderOfTheirRegionIsUnresponsive)
{
    for (std::uint64_t seed = 720; seed < 724; ++seed) {
        auto simulation = makeRosterSimulation(seed, 36);
        simulation.peerExchange = true;
        runFor(simulation, seconds(20));
        const auto reader = regionReader(simulation);
        simulation.nodes[reader].storeUnreachableUntil = simulation.now + milliseconds(1500);
        std::set<std::size_t> watching;
        const auto until = simulation.now + seconds(4);
        while (simulation.now < until) {
            runFor(simulation, checkInterval);
            for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
                if (simulation.nodes[index].exchange.watchedSince) {
                    watching.insert(index);
                }
            }
        }
        std::cout << "figure daemons of " << simulation.nodes.size() << " that read the store: " << watching.size()
                  << "\n";
        EXPECT_LE(watching.size(), simulation.nodes.size() / 2) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(all, exchange_failures,
                         testing::Values(failure_mode::planned_stop, failure_mode::crash, failure_mode::store_partition,
                                         failure_mode::full_partition));

} // namespace quetzalspool::test
