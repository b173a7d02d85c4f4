/** @file roster_era_test.cpp Ownership of keys when the store comes back from an older copy. */
#include "roster_simulation_internal.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

constexpr std::size_t daemonCount = 4; ///< Daemons of a simulation.
constexpr std::size_t formerOwner = 0; ///< Daemon whose target hands over its keys.

roster_simulation makeServingSimulation(std::uint64_t seed)
{
    auto simulation = makeRosterSimulation(seed, daemonCount);
    runFor(simulation, seconds(20));
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
    return simulation;
}

instance_id nameOf(std::size_t index)
{
    return {"n" + std::to_string(index)};
}

ownership_record storedOwners(const roster_simulation &simulation)
{
    last_reason why;
    return *parseOwnership(simulation.store.values.at("owners/p").text, why);
}

/** Whether any range of the stored owners belongs to a daemon. */
bool storeNames(const roster_simulation &simulation, std::size_t owner)
{
    const auto record = storedOwners(simulation);
    return std::any_of(record.ranges.begin(), record.ranges.end(),
                       [&](const auto &range) { return range.owner == nameOf(owner); });
}

/**
 * Moves all keys of a target to others, starts another target in its place, and lets the store come back from a copy of
 * before. Returns false if the keys did not move in time.
 */
bool forgetMove(roster_simulation &simulation)
{
    const auto before = simulation.now;
    simulation.nodes[formerOwner].target.leaving = true;
    for (int step = 0; step < 600 && storeNames(simulation, formerOwner); ++step) {
        runFor(simulation, milliseconds(10));
    }
    const bool moved = !storeNames(simulation, formerOwner);
    runFor(simulation, seconds(1));
    restartTarget(simulation, formerOwner);
    simulation.storeDownUntil = simulation.now + milliseconds(500);
    rewindStore(simulation, std::chrono::duration_cast<milliseconds>(simulation.now - before));
    return moved && storeNames(simulation, formerOwner);
}

} // namespace

// The store forgot a move of keys, and all daemons start again: the former owner held the keys beside the new one.
TEST(rosterEra, aForgottenMoveAndARollingRestartGiveNoSlotTwoOwners)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto simulation = makeServingSimulation(seed);
        ASSERT_TRUE(forgetMove(simulation)) << seed;
        runFor(simulation, seconds(4));
        for (std::size_t index = 0; index < daemonCount; ++index) {
            restartDaemon(simulation, index);
            runFor(simulation, seconds(3));
        }
        runFor(simulation, seconds(10));
        EXPECT_EQ(simulation.violation, "") << seed;
        EXPECT_EQ(servedSlotCount(simulation), numericSlots) << seed;
    }
}

// The same when all daemons end at once, so that nobody knows of the move any more.
TEST(rosterEra, aForgottenMoveAndALossOfAllDaemonsGiveNoSlotTwoOwners)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto simulation = makeServingSimulation(seed);
        ASSERT_TRUE(forgetMove(simulation)) << seed;
        for (std::size_t index = 0; index < daemonCount; ++index) {
            restartDaemon(simulation, index);
        }
        runFor(simulation, seconds(20));
        EXPECT_EQ(simulation.violation, "") << seed;
        EXPECT_EQ(servedSlotCount(simulation), numericSlots) << seed;
        const auto &current = simulation.nodes[formerOwner].target.incarnation;
        for (const auto &range : storedOwners(simulation).ranges) {
            const bool isNew = range.owner == nameOf(formerOwner) && range.incarnation == current;
            EXPECT_TRUE(!isNew || eraOf(range.fence) == era_number{1}) << "a token of the new era is above all others";
        }
    }
}

TEST(rosterEra, livingOwnersServeAllKeysWhileTheStoreComesBack)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto simulation = makeServingSimulation(seed);
        simulation.storeDownUntil = simulation.now + milliseconds(500);
        rewindStore(simulation, seconds(6));
        for (int step = 0; step < 150; ++step) {
            runFor(simulation, milliseconds(100));
            ASSERT_EQ(servedSlotCount(simulation), numericSlots) << "seed " << seed << ", step " << step;
        }
        EXPECT_EQ(simulation.violation, "") << seed;
    }
}

TEST(rosterEra, aForgottenMoveIsWrittenAgain)
{
    auto simulation = makeServingSimulation(1);
    ASSERT_TRUE(forgetMove(simulation));
    runFor(simulation, seconds(2));
    EXPECT_FALSE(storeNames(simulation, formerOwner));
    EXPECT_EQ(servedSlotCount(simulation), numericSlots) << "the new owners go on";
    EXPECT_EQ(storedOwners(simulation).era, era_number{}) << "the grants of the lost era may not have ended";
    runFor(simulation, seconds(8));
    EXPECT_EQ(storedOwners(simulation).era, era_number{1});
}

TEST(rosterEra, allEntriesAreBackSoonAfterTheStoreCameBackAndStay)
{
    for (const auto leases : {leases_after_rewind::gone, leases_after_rewind::kept}) {
        auto simulation = makeRosterSimulation(3, 10);
        runFor(simulation, seconds(20));
        simulation.storeDownUntil = simulation.now + milliseconds(500);
        rewindStore(simulation, seconds(3), leases);
        runFor(simulation, milliseconds(2500));
        for (int step = 0; step < 50; ++step) {
            runFor(simulation, milliseconds(100));
            for (const auto &node : simulation.nodes) {
                EXPECT_TRUE(node.roster.lease.entryPresent) << node.roster.self.member.id;
                EXPECT_TRUE(simulation.store.values.contains(keyOf("nodes", node.roster.self.member.id.value)));
            }
        }
    }
}

// A daemon took its entry in the copy for its own, though nobody renews the lease under it: 3 s later the entry was
// gone.
TEST(rosterEra, anEntryThatTheCopyHasIsWrittenAgain)
{
    auto simulation = makeRosterSimulation(3, 3);
    runFor(simulation, seconds(20));
    auto state = simulation.nodes.front().roster;
    auto now = simulation.now;
    ASSERT_TRUE(beginEra(state, {1}, now));
    const auto count = [&](auto type) {
        const auto actions = tick(state, now);
        return std::count_if(actions.begin(), actions.end(),
                             [](const auto &action) { return std::holds_alternative<decltype(type)>(action); });
    };
    EXPECT_EQ(count(write_entry_action{}), 1);
    completeEntryWrite(state, state.self, roster_outcome::conflicted, {}, now, now);
    now += milliseconds(50);
    EXPECT_EQ(count(confirm_entry_action{}), 0) << "the entry of the copy confirms nothing";
    completeEntryRead(state, state.self, revisionInEra({1}, 90), now, now);
    EXPECT_FALSE(state.lease.entryPresent);
    now += seconds(1);
    EXPECT_EQ(count(write_entry_action{}), 1);
}

// All daemons lose their entries at once, and wrote them again at once, beyond the rate of the store.
TEST(rosterEra, aLargeFleetWritesItsEntriesOneAfterAnother)
{
    constexpr int count = 400;
    std::map<steady_time, int> perMoment;
    const steady_time now{seconds(1000)};
    for (int index = 0; index < count; ++index) {
        roster_node self;
        self.member.id.value = "n" + std::to_string(1000 + index);
        auto state = startRoster(self, {}, now);
        for (int other = 0; other < count; ++other) {
            state.nodes[{"n" + std::to_string(1000 + other)}].present = true;
        }
        EXPECT_TRUE(beginEra(state, {1}, now));
        EXPECT_LE(state.lease.nextEntryWrite, now + seconds(2));
        ++perMoment[std::chrono::floor<milliseconds>(state.lease.nextEntryWrite)];
    }
    EXPECT_EQ(perMoment.size(), static_cast<std::size_t>(count)) << "no two at the same moment";
}

// A fencing token of the new era is higher than all of the lost one, also where the copy and all daemons have forgotten
// the highest.
TEST(rosterEra, fencingTokensNeverGoDown)
{
    constexpr std::int64_t lostRevisions = 1000; // More than the new era makes in the test.
    auto simulation = makeServingSimulation(5);
    for (std::size_t round = 0; round < daemonCount; ++round) {
        simulation.store.revision += lostRevisions;
        restartTarget(simulation, round);
        runFor(simulation, seconds(4)); // Its keys are granted to it under a new token.
        rewindStore(simulation, seconds(5));
        for (std::size_t index = 0; index < daemonCount; ++index) {
            restartDaemon(simulation, index);
        }
        runFor(simulation, seconds(12));
    }
    EXPECT_EQ(simulation.violation, "") << "the simulation checks each grant against the highest token of its slot";
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
}

} // namespace quetzalspool::test
