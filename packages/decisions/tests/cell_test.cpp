/** @file cell_test.cpp Slot ownership in a cell under crashes, pauses, network partitions, restarts and store outages.
 */
#include "cell_simulation.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

constexpr milliseconds maxRecoveryTime{2000}; ///< Maximum time without service after the loss of an owner.
using std::chrono::seconds;

std::size_t ownerOf(const cell_simulation &simulation, std::uint32_t slot)
{
    const auto owners = simulation.owners({slot});
    return owners.empty() ? simulation.daemons.size() : owners.front();
}

/** Creates a cell and runs it until its set of voters is complete. */
cell_simulation startedSimulation(std::uint64_t seed, std::size_t count = 5)
{
    cell_simulation simulation(seed, count);
    simulation.run(seconds(12));
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    EXPECT_EQ(simulation.stored.record.voters.size(), count % 2 == 0 ? count - 1 : count);
    EXPECT_TRUE(simulation.stored.record.previousVoters.empty());
    return simulation;
}

} // namespace

TEST(cell, startsAndServesEverySlotEvenly)
{
    auto simulation = startedSimulation(1);
    for (const auto &member : simulation.stored.record.members) {
        std::size_t owned = 0;
        for (const auto &slot : simulation.stored.record.pools[pool_id{"pool"}]) {
            owned += slot.owner == member.id ? 1 : 0;
        }
        EXPECT_GE(owned, 2U);
        EXPECT_LE(owned, 3U);
    }
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

TEST(cell, slotsOfLostOwnerAreReassignedInTime)
{
    for (std::size_t victim = 0; victim < 5; ++victim) {
        auto simulation = startedSimulation(10 + victim);
        simulation.kill(victim);
        EXPECT_TRUE(simulation.runUntilServed(maxRecoveryTime)) << "victim " << victim;
        EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
    }
}

TEST(cell, storeOutageKeepsSlotsOfLiveOwners)
{
    auto simulation = startedSimulation(20);
    simulation.storeDown = true;
    for (int second = 0; second < 120; ++second) {
        simulation.run(seconds(1));
        ASSERT_EQ(simulation.servedCount(), cell_simulation::slotCount) << "after " << second << " s";
    }
}

TEST(cell, coordinatorLossInStoreOutageKeepsSlotsOfOthers)
{
    auto simulation = startedSimulation(21);
    simulation.storeDown = true;
    const auto owned = servedSlots(simulation.daemons[0].state).size();
    simulation.kill(0);
    simulation.run(seconds(30));
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount - owned);
    simulation.storeDown = false;
    EXPECT_TRUE(simulation.runUntilServed(maxRecoveryTime + seconds(1)));
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

TEST(cell, resumedOwnerDoesNotServeReassignedSlots)
{
    auto simulation = startedSimulation(30);
    const auto victim = ownerOf(simulation, 0);
    simulation.pause(victim, seconds(4));
    simulation.run(seconds(3));
    EXPECT_NE(ownerOf(simulation, 0), victim);
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    simulation.run(seconds(5));
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

TEST(cell, partitionedMinorityStopsAndMajorityTakesOver)
{
    auto simulation = startedSimulation(31);
    for (std::size_t other = 2; other < 5; ++other) {
        simulation.partition(0, other);
        simulation.partition(1, other);
    }
    EXPECT_TRUE(simulation.runUntilServed(maxRecoveryTime));
    simulation.run(seconds(10));
    simulation.heal();
    simulation.run(seconds(10));
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

TEST(cell, recoversAfterAllDaemonsRestarted)
{
    auto simulation = startedSimulation(40);
    for (std::size_t index = 0; index < 5; ++index) {
        simulation.restart(index);
    }
    EXPECT_TRUE(simulation.runUntilServed(seconds(6)));
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

TEST(cell, rollingRestartKeepsEverySlotServed)
{
    auto simulation = startedSimulation(41);
    for (int round = 0; round < 2; ++round) {
        for (std::size_t index = 0; index < 5; ++index) {
            simulation.restart(index);
            simulation.run(seconds(4));
            EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount) << "round " << round << " daemon " << index;
        }
    }
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

TEST(cell, leavingMemberReleasesItsSlotsAndIsRemoved)
{
    auto simulation = startedSimulation(50);
    requestStop(simulation.daemons[0].state);
    milliseconds unserved{0};
    for (int step = 0; step < 600; ++step) {
        simulation.run(cell_simulation::stepLength);
        unserved +=
            simulation.servedCount() == cell_simulation::slotCount ? milliseconds(0) : cell_simulation::stepLength;
    }
    EXPECT_EQ(findMember(simulation.stored.record, cell_simulation::nameOf(0)), nullptr);
    EXPECT_TRUE(servedSlots(simulation.daemons[0].state).empty());
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    EXPECT_LE(unserved, milliseconds(300));
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

TEST(cell, unacknowledgedWriteIsResolvedByReading)
{
    cell_simulation simulation(60, 5);
    simulation.lostAnswerRate = 0.5;
    simulation.run(seconds(30));
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    simulation.kill(1);
    EXPECT_TRUE(simulation.runUntilServed(maxRecoveryTime + milliseconds(600)));
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

TEST(cell, restartedOwnerDoesNotServeReleasedSlots)
{
    // An owner releases a slot, the write of the new assignment fails in a store outage, and the owner restarts before
    // the coordinator writes again. The new run does not know of the release and must not serve the slot under the old
    // fence.
    cell_simulation simulation(18896, 5);
    simulation.run(seconds(4));
    simulation.partition(3, 1);
    simulation.run(milliseconds(1531));
    simulation.heal();
    simulation.run(milliseconds(311));
    simulation.kill(1);
    simulation.run(milliseconds(771));
    simulation.pause(4, milliseconds(1200));
    simulation.run(milliseconds(352));
    simulation.lossRate = 0.45;
    simulation.run(milliseconds(991));
    simulation.storeDown = true;
    simulation.run(milliseconds(862));
    simulation.kill(0);
    simulation.run(milliseconds(1151));
    simulation.storeDown = false;
    simulation.lossRate = 0;
    simulation.restart(0);
    simulation.restart(1);
    simulation.daemons[4].pausedUntil = {};
    simulation.run(seconds(10));
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

TEST(cell, runAtAnotherAddressWaitsForEndOfListedTerm)
{
    auto simulation = startedSimulation(70);
    // A second daemon with the same instance name at another address, as after copying a settings file or replacing an
    // instance elsewhere. It must not take over the entry while the listed run may be alive.
    auto self = simulation.daemons[2].state.self;
    self.incarnation = {4242};
    self.endpoints.host = "127.0.0.2";
    auto other = startCell(cell_id{"cell"}, self, true, simulation.timing, simulation.now);
    simulation.run(seconds(2));
    completeRead(other, simulation.stored, simulation.now);
    tick(other, simulation.now);
    EXPECT_FALSE(planRecord(other, simulation.now).has_value());
    simulation.kill(2);
    ASSERT_TRUE(simulation.runUntilServed(maxRecoveryTime));
    applyRecord(other, simulation.stored, simulation.now);
    EXPECT_TRUE(planRecord(other, simulation.now).has_value()) << "the unresponsive run is no longer a member";
}

TEST(cell, lossOfOneOfTwoFailureDomainsLeavesMajority)
{
    // Three of the five voters are in domain 0. Members 1 and 3 form domain 1.
    auto simulation = startedSimulation(61);
    simulation.kill(1);
    simulation.kill(3);
    EXPECT_TRUE(simulation.runUntilServed(maxRecoveryTime));
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
}

} // namespace quetzalspool::test
