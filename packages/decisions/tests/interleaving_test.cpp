/** @file interleaving_test.cpp Random interleavings of crashes, pauses, partitions, restarts, store outages and lost
 * responses. */
#include "cell_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

constexpr std::size_t daemonCount = 5;

/** Injects one fault. Its kind and extent are given by small numbers so that rapidcheck can shrink them. */
void injectFault(cell_simulation &simulation, unsigned kind, std::size_t victim, unsigned amount)
{
    const milliseconds span(50 + (amount % 40) * 50);
    switch (kind % 9) {
    case 0:
        simulation.kill(victim);
        break;
    case 1:
        simulation.restart(victim);
        break;
    case 2:
        simulation.pause(victim, span);
        break;
    case 3:
        simulation.partition(victim, (victim + 1 + amount % (daemonCount - 1)) % daemonCount);
        break;
    case 4:
        simulation.heal();
        break;
    case 5:
        simulation.storeDown = !simulation.storeDown;
        break;
    case 6:
        simulation.lostAnswerRate = (amount % 5) * 0.2;
        break;
    case 7:
        simulation.lossRate = (amount % 4) * 0.15;
        break;
    default:
        requestStop(simulation.daemons[victim].state);
        break;
    }
}

/** Ends all faults and restarts every daemon that is down or leaving. */
void clearFaults(cell_simulation &simulation)
{
    simulation.heal();
    simulation.storeDown = false;
    simulation.lostAnswerRate = 0;
    simulation.lossRate = 0;
    for (std::size_t index = 0; index < daemonCount; ++index) {
        simulation.daemons[index].pausedUntil = {};
        if (!simulation.daemons[index].alive || simulation.daemons[index].state.self.leaving) {
            simulation.restart(index);
        }
    }
}

} // namespace

// Two voters restart and one crashes, followed by pauses and one partition, without a store outage.
TEST(interleaving, restartsLossPausesAndPartitionLeaveOneOwner)
{
    cell_simulation simulation(762928, daemonCount);
    simulation.run(seconds(6));
    simulation.restart(2);
    simulation.run(milliseconds(311));
    simulation.kill(0);
    simulation.run(milliseconds(1331));
    simulation.restart(3);
    simulation.run(milliseconds(541));
    simulation.pause(2, milliseconds(1650));
    simulation.run(milliseconds(561));
    simulation.heal();
    simulation.run(milliseconds(21));
    simulation.partition(4, 2);
    simulation.run(milliseconds(1091));
    simulation.pause(3, milliseconds(1600));
    simulation.run(milliseconds(1041));
    clearFaults(simulation);
    EXPECT_TRUE(simulation.runUntilServed(seconds(30)));
    EXPECT_TRUE(simulation.violations.empty());
}

RC_GTEST_PROP(interleaving, noSlotEverHasTwoOwners, ())
{
    const auto seed = *rc::gen::inRange(1, 1000000);
    const auto count = *rc::gen::inRange(1, 14);
    cell_simulation simulation(static_cast<std::uint64_t>(seed), daemonCount);
    simulation.run(seconds(*rc::gen::inRange(2, 10)));
    for (int step = 0; step < count; ++step) {
        const auto kind = *rc::gen::inRange(0U, 9U);
        const auto victim = *rc::gen::inRange<std::size_t>(0, daemonCount);
        const auto amount = *rc::gen::inRange(0U, 200U);
        injectFault(simulation, kind, victim, amount);
        simulation.run(milliseconds(20 + *rc::gen::inRange(0, 1500)));
        RC_ASSERT(simulation.violations.empty());
    }
    clearFaults(simulation);
    const bool back = simulation.runUntilServed(seconds(30));
    RC_ASSERT(simulation.violations.empty());
    RC_ASSERT(back);
}

} // namespace quetzalspool::test
