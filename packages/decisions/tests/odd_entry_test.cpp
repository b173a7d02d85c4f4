/** @file odd_entry_test.cpp Ownership while values of the store can't be read: never two owners of a slot. */
#include "roster_simulation.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

constexpr const char *ownersOfPool = "owners/p"; ///< Key of the owners.

roster_simulation makeServingSimulation(std::uint64_t seed, std::size_t count)
{
    auto simulation = makeRosterSimulation(seed, count);
    runFor(simulation, seconds(20)); // Until the initial moves between the targets are complete.
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
    return simulation;
}

/** Writes a value, as another writer does. */
void put(roster_simulation &simulation, const std::string &key, const std::string &text)
{
    simulation.store.values[key] = {text, ++simulation.store.revision, 0};
}

/** Whether any daemon would write owners now. */
bool plansWrite(const roster_simulation &simulation)
{
    return std::any_of(simulation.nodes.begin(), simulation.nodes.end(), [&](const auto &node) {
        auto state = node.roster;
        return node.up && mayGrant(state, simulation.now) && planOwnership(state, {"p"}, simulation.now);
    });
}

} // namespace

// Guards against two owners: a daemon whose keys were given away grants them by the last record that it could read.
TEST(oddEntry, keysGivenAwayBehindOwnersThatCannotBeReadAreNotGranted)
{
    auto simulation = makeServingSimulation(2, 4);
    auto &isolated = simulation.nodes[3];
    isolated.storeUnreachableUntil = simulation.now + seconds(14);
    runFor(simulation, seconds(13));
    const auto good = simulation.store.values.at(ownersOfPool).text;
    put(simulation, ownersOfPool, "[[[");
    runFor(simulation, seconds(15));
    EXPECT_EQ(simulation.violation, "");
    put(simulation, ownersOfPool, good);
    runFor(simulation, seconds(15));
    EXPECT_EQ(simulation.violation, "");
    EXPECT_EQ(servedSlotCount(simulation), numericSlots) << "a record that can be read ends it";
}

// Guards against keys without an owner for a value that nobody needs to know.
TEST(oddEntry, ownersThatCannotBeReadLeaveTheKeysWhereTheyAre)
{
    auto simulation = makeServingSimulation(3, 4);
    put(simulation, ownersOfPool, "{\"pool\":\"p\",\"runs\":[]}");
    for (int step = 0; step < 100; ++step) {
        runFor(simulation, milliseconds(100));
        ASSERT_EQ(servedSlotCount(simulation), numericSlots) << step;
    }
    EXPECT_EQ(simulation.violation, "");
}

// Guards against writes that fail again and again while nothing can be written.
TEST(oddEntry, ownersThatCannotBeReadAreNotWritten)
{
    auto simulation = makeServingSimulation(4, 4);
    put(simulation, ownersOfPool, "7");
    runFor(simulation, seconds(2));
    simulation.nodes[2].target.leaving = true;
    for (int step = 0; step < 40; ++step) {
        runFor(simulation, milliseconds(100));
        EXPECT_FALSE(plansWrite(simulation)) << step;
    }
    EXPECT_EQ(simulation.store.values.at(ownersOfPool).text, "7");
}

} // namespace quetzalspool::test
