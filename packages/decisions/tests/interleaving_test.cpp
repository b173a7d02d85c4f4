/** @file interleaving_test.cpp Random interleavings of loss, pause, cut, restart, store outage and lost answers. */
#include "cell_world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

constexpr std::size_t daemonCount = 5;

/** One fault, chosen by small numbers so that rapidcheck can shrink it. */
void disturb(cell_world &world, unsigned kind, std::size_t victim, unsigned amount)
{
    const milliseconds span(50 + (amount % 40) * 50);
    switch (kind % 9) {
    case 0:
        world.kill(victim);
        break;
    case 1:
        world.restart(victim);
        break;
    case 2:
        world.pause(victim, span);
        break;
    case 3:
        world.cut(victim, (victim + 1 + amount % (daemonCount - 1)) % daemonCount);
        break;
    case 4:
        world.heal();
        break;
    case 5:
        world.storeDown = !world.storeDown;
        break;
    case 6:
        world.lostAnswerRate = (amount % 5) * 0.2;
        break;
    case 7:
        world.lossRate = (amount % 4) * 0.15;
        break;
    default:
        requestStop(world.daemons[victim].state);
        break;
    }
}

/** Ends all faults and brings every daemon back. */
void mend(cell_world &world)
{
    world.heal();
    world.storeDown = false;
    world.lostAnswerRate = 0;
    world.lossRate = 0;
    for (std::size_t index = 0; index < daemonCount; ++index) {
        world.daemons[index].pausedUntil = {};
        if (!world.daemons[index].alive || world.daemons[index].state.self.leaving) {
            world.restart(index);
        }
    }
}

} // namespace

// Shrunk from a long run: two voters restarted, one lost, then pauses and one cut. Without any outage of the store.
TEST(interleaving, restartsALossPausesAndACutLeaveOneOwner)
{
    cell_world world(762928, daemonCount);
    world.run(seconds(6));
    world.restart(2);
    world.run(milliseconds(311));
    world.kill(0);
    world.run(milliseconds(1331));
    world.restart(3);
    world.run(milliseconds(541));
    world.pause(2, milliseconds(1650));
    world.run(milliseconds(561));
    world.heal();
    world.run(milliseconds(21));
    world.cut(4, 2);
    world.run(milliseconds(1091));
    world.pause(3, milliseconds(1600));
    world.run(milliseconds(1041));
    mend(world);
    EXPECT_TRUE(world.runUntilServed(seconds(30)));
    EXPECT_TRUE(world.violations.empty());
}

RC_GTEST_PROP(interleaving, noSlotEverHasTwoOwners, ())
{
    const auto seed = *rc::gen::inRange(1, 1000000);
    const auto count = *rc::gen::inRange(1, 14);
    cell_world world(static_cast<std::uint64_t>(seed), daemonCount);
    world.run(seconds(*rc::gen::inRange(2, 10)));
    for (int step = 0; step < count; ++step) {
        const auto kind = *rc::gen::inRange(0U, 9U);
        const auto victim = *rc::gen::inRange<std::size_t>(0, daemonCount);
        const auto amount = *rc::gen::inRange(0U, 200U);
        disturb(world, kind, victim, amount);
        world.run(milliseconds(20 + *rc::gen::inRange(0, 1500)));
        RC_ASSERT(world.violations.empty());
    }
    mend(world);
    const bool back = world.runUntilServed(seconds(30));
    RC_ASSERT(world.violations.empty());
    RC_ASSERT(back);
}

} // namespace quetzalspool::test
