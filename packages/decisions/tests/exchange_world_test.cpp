/** @file exchange_world_test.cpp How soon a change of the store is known where daemons tell each other and are lost. */
#include "exchange_func.h"
#include "roster_world_parts.h"
#include "upstream_func.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

constexpr milliseconds changeLimit{1800}; ///< Changes are in force after 2 s; the rest is for what follows in a daemon.
constexpr milliseconds checkInterval{50}; ///< Between two looks at who knows what.
constexpr milliseconds changeInterval{250}; ///< Between two changes.
constexpr milliseconds leaveNotice{500}; ///< A daemon that stops says so this long before it is gone.
constexpr milliseconds startupTime{3000}; ///< A daemon that has just started may know less.

const std::string probe = "markers/probe";

/** A value that is changed again and again, and when each change was made. */
struct probe_history
{
    std::vector<std::pair<steady_time, std::int64_t>> changes; ///< Moment and revision.

    void change(roster_simulation &simulation)
    {
        ++simulation.store.revision;
        simulation.store.values[probe] = {"x", simulation.store.revision, 0};
        changes.emplace_back(simulation.now, simulation.store.revision);
    }

    /** Latest revision that all have to know. */
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

/** The daemon that asks the store for its region, as the others see it. */
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

/** How a daemon is lost. */
enum class failure_mode
{
    planned_stop, ///< It says that it leaves, then ends.
    crash, ///< It ends.
    store_partition, ///< It runs on without a path to the store.
    full_partition, ///< It runs on without a path to anybody.
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

/** Loses the reader of the region again and again while the probe changes; gives the worst lateness. */
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
                << "seed " << seed << ", loss " << static_cast<int>(mode) << ", n" << index << " at "
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

INSTANTIATE_TEST_SUITE_P(all, exchange_failures,
                         testing::Values(failure_mode::planned_stop, failure_mode::crash, failure_mode::store_partition,
                                         failure_mode::full_partition));

} // namespace quetzalspool::test
