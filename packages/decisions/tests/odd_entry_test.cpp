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

void remove(roster_simulation &simulation, const std::string &key)
{
    simulation.store.values.erase(key);
    ++simulation.store.revision;
}

/** Replaces odd values: owners by the last ones that could be read, entries by none. */
void clearOddValues(roster_simulation &simulation, const std::string &owners)
{
    last_reason why;
    if (!parseOwnership(simulation.store.values.at(ownersOfPool).text, why)) {
        put(simulation, ownersOfPool, owners);
    }
    for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
        const auto key = "nodes/n" + std::to_string(index);
        const auto found = simulation.store.values.find(key);
        if (found != simulation.store.values.end() && !parseNode(found->second.text, why)) {
            remove(simulation, key);
        }
    }
}

/** Writes an odd value or disturbs an instance, at random; keeps the owners that an odd value replaces. */
void disturb(roster_simulation &simulation, std::string &owners)
{
    const auto index = simulation.random() % simulation.nodes.size();
    auto &node = simulation.nodes[index];
    const auto name = "n" + std::to_string(index);
    last_reason why;
    switch (simulation.random() % 8) {
    case 0:
    case 1:
        put(simulation, "nodes/" + name, "{}");
        break;
    case 2:
        put(simulation, "markers/" + name, "[[[");
        break;
    case 3:
        if (const auto &text = simulation.store.values.at(ownersOfPool).text; parseOwnership(text, why)) {
            owners = text;
            put(simulation, ownersOfPool, "7");
        }
        break;
    case 4:
        node.storeUnreachableUntil = simulation.now + milliseconds(simulation.random() % 13000);
        break;
    case 5:
        node.watchStalledUntil = simulation.now + milliseconds(simulation.random() % 5000);
        break;
    case 6:
        restartDaemon(simulation, index);
        break;
    default:
        clearOddValues(simulation, owners);
        break;
    }
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

// Guards against keys of a living node that are given away because its entry can't be read.
TEST(oddEntry, aLivingNodeReplacesAnEntryOfItsThatCannotBeRead)
{
    auto simulation = makeServingSimulation(5, 4);
    const auto owners = simulation.store.values.at(ownersOfPool).revision;
    for (int round = 0; round < 5; ++round) {
        put(simulation, "nodes/n2", "{}");
        for (int step = 0; step < 30; ++step) {
            runFor(simulation, milliseconds(100));
            ASSERT_EQ(servedSlotCount(simulation), numericSlots) << round << " " << step;
        }
        EXPECT_NE(simulation.store.values.at("nodes/n2").text, "{}");
    }
    EXPECT_EQ(simulation.store.values.at(ownersOfPool).revision, owners) << "no key moved";
    EXPECT_EQ(simulation.violation, "");
}

// Guards against requests that go to a lost node, and against writes in vain, while an odd value stands for its entry.
TEST(oddEntry, aLostNodeWhoseEntryCannotBeReadGetsNoWorkAndStopsNoPlans)
{
    auto simulation = makeServingSimulation(6, 5);
    simulation.nodes[4].up = false;
    simulation.nodes[4].target.incarnation = {};
    put(simulation, "nodes/n4", "{\"id\":\"n4\"}"); // Not bound to a lease, so it stays.
    const auto &timing = simulation.nodes[0].roster.timing;
    runFor(simulation, timing.leasePeriod + seconds(4));
    for (std::size_t index = 0; index < 4; ++index) {
        const auto &state = simulation.nodes[index].roster;
        EXPECT_FALSE(isUsable(state, state.nodes.at({"n4"}), simulation.now)) << index;
    }
    simulation.nodes[3].target.leaving = true;
    runFor(simulation, seconds(4));
    EXPECT_TRUE(simulation.nodes[3].target.heldRanges.empty()) << "keys of the others still move";
    remove(simulation, "nodes/n4");
    simulation.nodes[3].target.leaving = false;
    restartTarget(simulation, 3);
    runFor(simulation, timing.withDrift(timing.leasePeriod) + seconds(4));
    EXPECT_EQ(servedSlotCount(simulation), numericSlots) << "once the odd value is gone, its keys are served again";
    EXPECT_EQ(simulation.violation, "");
}

// Guards against keys of an absent node that nobody can take over, and writes in vain.
TEST(oddEntry, anEntryThatCannotBeReadOfAnAbsentNodeStopsNoPlans)
{
    auto simulation = makeServingSimulation(7, 5);
    simulation.nodes[4].up = false;
    simulation.nodes[4].target.incarnation = {};
    runFor(simulation, seconds(6));
    put(simulation, "nodes/n4", "[]");
    runFor(simulation, seconds(8));
    for (int step = 0; step < 20; ++step) {
        runFor(simulation, milliseconds(100));
        EXPECT_FALSE(plansWrite(simulation)) << "the write would require that there is no entry, step " << step;
    }
    simulation.nodes[3].target.leaving = true;
    runFor(simulation, seconds(4));
    EXPECT_TRUE(simulation.nodes[3].target.heldRanges.empty()) << "keys of the others still move";
    EXPECT_EQ(simulation.violation, "");
}

// Guards against two owners of a slot by odd values together with faults.
TEST(oddEntry, randomOddValuesNeverGiveASlotTwoOwners)
{
    for (std::uint64_t seed = 700; seed < 740; ++seed) {
        auto simulation = makeRosterSimulation(seed, 3 + seed % 4);
        simulation.peerExchange = seed % 2 == 0;
        runFor(simulation, seconds(8));
        std::string owners;
        for (int fault = 0; fault < 14 && simulation.violation.empty(); ++fault) {
            disturb(simulation, owners);
            runFor(simulation, milliseconds(10 + simulation.random() % 4000));
        }
        runFor(simulation, seconds(10));
        clearOddValues(simulation, owners);
        runFor(simulation, seconds(20));
        ASSERT_EQ(simulation.violation, "") << "seed " << seed;
        ASSERT_EQ(servedSlotCount(simulation), numericSlots) << "seed " << seed;
    }
}

} // namespace quetzalspool::test
