/** @file cell_drain_test.cpp Slots of a cell leave drained failure domains, with a handover and without a second owner.
 */
#include "cell_simulation.h"
#include "drained_domains_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

constexpr milliseconds bound{5000}; ///< Time after which no request may reach a drained domain.
constexpr milliseconds settleTime{12000}; ///< Time in which the cell forms and its slots are balanced.

domain_id domainOf(std::size_t number)
{
    return {"domain" + std::to_string(number)};
}

/** Makes a cell whose daemons are spread over a number of failure domains, in service and balanced. */
cell_simulation makeSettledCell(std::uint64_t seed, std::size_t count, std::size_t domains)
{
    cell_simulation simulation(seed, count);
    for (std::size_t index = 0; index < count; ++index) {
        simulation.daemons[index].state.self.domain = domainOf(index % domains);
    }
    simulation.run(settleTime);
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    return simulation;
}

/** Sets the drained domains at all daemons, as the installation of their rows does. */
void setDrains(cell_simulation &simulation, const std::set<domain_id> &domains)
{
    for (auto &daemon : simulation.daemons) {
        auto &drained = daemon.state.drained;
        drained.keyedLimit = keyedLimitFor(bound);
        std::erase_if(drained.since, [&](const auto &entry) { return !domains.contains(entry.first); });
        for (const auto &domain : domains) {
            beginDrain(drained, domain, simulation.now);
        }
    }
}

/** Counts the slots that the daemons of a domain may serve. */
std::size_t slotsServedIn(const cell_simulation &simulation, const domain_id &domain)
{
    std::size_t count = 0;
    for (std::uint32_t slot = 0; slot < cell_simulation::slotCount; ++slot) {
        for (const auto owner : simulation.owners({slot})) {
            count += simulation.daemons[owner].state.self.domain == domain ? 1 : 0;
        }
    }
    return count;
}

/** Returns the longest time in which a slot had no owner within a span. */
milliseconds longestGap(cell_simulation &simulation, milliseconds span)
{
    milliseconds longest{0};
    std::map<std::uint32_t, milliseconds> gaps;
    const auto end = simulation.now + span;
    while (simulation.now < end) {
        simulation.run(cell_simulation::stepLength);
        for (std::uint32_t slot = 0; slot < cell_simulation::slotCount; ++slot) {
            auto &gap = gaps[slot];
            gap = simulation.owners({slot}).empty() ? gap + cell_simulation::stepLength : milliseconds(0);
            longest = std::max(longest, gap);
        }
    }
    return longest;
}

const std::vector<slot_assignment> &storedSlots(const cell_simulation &simulation)
{
    return simulation.stored.record.pools.at(pool_id{"pool"});
}

} // namespace

// Keyed requests are refused from the limit on, so slots that are still in the domain then would not be served. A slot
// that is dropped instead of handed over would wait for the end of a lease (1.1 s).
TEST(cellDrains, slotsAreHandedOverWithinTheLimit)
{
    auto simulation = makeSettledCell(1, 6, 3);
    ASSERT_GT(slotsServedIn(simulation, domainOf(0)), 0U);
    setDrains(simulation, {domainOf(0)});
    EXPECT_LE(longestGap(simulation, keyedLimitFor(bound)), milliseconds(300));
    EXPECT_EQ(slotsServedIn(simulation, domainOf(0)), 0U);
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    EXPECT_EQ(simulation.violations, std::vector<std::string>{});
}

// Slots of either domain must not move to the other one.
TEST(cellDrains, twoDomainsAreLeftAtOnce)
{
    auto simulation = makeSettledCell(2, 6, 3);
    setDrains(simulation, {domainOf(0), domainOf(1)});
    simulation.run(keyedLimitFor(bound));
    EXPECT_EQ(slotsServedIn(simulation, domainOf(2)), cell_simulation::slotCount);
    EXPECT_EQ(simulation.violations, std::vector<std::string>{});
}

// A target that gets no slots back would leave its load on the others for ever.
TEST(cellDrains, aDomainThatReturnsGetsSlotsAgain)
{
    auto simulation = makeSettledCell(3, 6, 3);
    const auto before = slotsServedIn(simulation, domainOf(0));
    setDrains(simulation, {domainOf(0)});
    simulation.run(bound);
    ASSERT_EQ(slotsServedIn(simulation, domainOf(0)), 0U);
    setDrains(simulation, {});
    EXPECT_LE(longestGap(simulation, seconds(5)), milliseconds(300));
    EXPECT_EQ(slotsServedIn(simulation, domainOf(0)), before);
    EXPECT_EQ(simulation.violations, std::vector<std::string>{});
}

// Slots without an owner would have to be assigned before a domain that returns can serve them.
TEST(cellDrains, ownersStayIfAllDomainsAreDrained)
{
    auto simulation = makeSettledCell(4, 4, 2);
    const auto before = storedSlots(simulation);
    setDrains(simulation, {domainOf(0), domainOf(1)});
    simulation.run(seconds(10));
    EXPECT_EQ(storedSlots(simulation), before);
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    setDrains(simulation, {domainOf(1)});
    simulation.run(keyedLimitFor(bound));
    EXPECT_EQ(slotsServedIn(simulation, domainOf(0)), cell_simulation::slotCount);
    EXPECT_EQ(simulation.violations, std::vector<std::string>{});
}

// Slots that are released when the last domain is drained must not be left without an owner.
TEST(cellDrains, slotsOnTheirWayKeepAnOwnerIfTheLastDomainIsDrained)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto simulation = makeSettledCell(seed, 4, 2);
        setDrains(simulation, {domainOf(0)});
        simulation.run(cell_simulation::stepLength * static_cast<int>(seed));
        setDrains(simulation, {domainOf(0), domainOf(1)});
        simulation.run(seconds(2));
        for (const auto &slot : storedSlots(simulation)) {
            EXPECT_FALSE(slot.owner.value.empty()) << "seed " << seed << ", slot " << slot.slot.value;
        }
        EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount) << "seed " << seed;
        EXPECT_EQ(simulation.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// A slot whose next owner is drained before it gets the slot would be moved twice, with two interruptions.
TEST(cellDrains, slotsOnTheirWayDoNotEnterADomainThatIsDrainedMeanwhile)
{
    constexpr milliseconds writeTime{40}; // A write that was sent before the drain is stored within this time.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto simulation = makeSettledCell(seed, 6, 3);
        setDrains(simulation, {domainOf(0)});
        simulation.run(cell_simulation::stepLength * static_cast<int>(seed));
        setDrains(simulation, {domainOf(0), domainOf(1)});
        simulation.run(writeTime);
        const auto before = storedSlots(simulation);
        const auto end = simulation.now + seconds(2);
        while (simulation.now < end) {
            simulation.run(cell_simulation::stepLength);
            for (std::size_t row = 0; row < before.size(); ++row) {
                const auto &slot = storedSlots(simulation)[row];
                const auto *owner = findMember(simulation.stored.record, slot.owner);
                ASSERT_NE(owner, nullptr) << "seed " << seed;
                EXPECT_TRUE(slot.fence == before[row].fence || owner->domain == domainOf(2))
                    << "seed " << seed << ", slot " << row << " was assigned to " << owner->id.value;
            }
        }
        EXPECT_EQ(slotsServedIn(simulation, domainOf(2)), cell_simulation::slotCount) << "seed " << seed;
    }
}

// The next coordinator has no memory of the moves that the lost one had planned.
TEST(cellDrains, theLossOfTheCoordinatorDoesNotStopTheMoves)
{
    auto simulation = makeSettledCell(5, 6, 3);
    const auto coordinator = simulation.stored.record.voters.front().id;
    setDrains(simulation, {domainOf(0)});
    simulation.run(milliseconds(60));
    for (std::size_t index = 0; index < simulation.daemons.size(); ++index) {
        if (cell_simulation::nameOf(index) == coordinator) {
            simulation.kill(index);
        }
    }
    simulation.run(bound);
    EXPECT_EQ(slotsServedIn(simulation, domainOf(0)), 0U);
    EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount);
    EXPECT_EQ(simulation.violations, std::vector<std::string>{});
}

// Drains that begin and end at any moment, with pauses, partitions and lost messages.
TEST(cellDrains, drainsAndFaultsNeverGiveASlotTwoOwners)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        auto simulation = makeSettledCell(seed, 6, 3);
        simulation.lossRate = 0.05;
        simulation.lostAnswerRate = 0.1;
        std::set<domain_id> drained;
        for (int round = 0; round < 20; ++round) {
            const auto domain = domainOf(simulation.random() % 3);
            if (drained.erase(domain) == 0) {
                drained.insert(domain);
            }
            setDrains(simulation, drained);
            const auto index = simulation.random() % simulation.daemons.size();
            switch (simulation.random() % 4) {
            case 0:
                simulation.pause(index, milliseconds(simulation.random() % 2000));
                break;
            case 1:
                simulation.partition(index, (index + 1) % simulation.daemons.size());
                break;
            case 2:
                simulation.restart(index);
                simulation.daemons[index].state.self.domain = domainOf(index % 3);
                break;
            default:
                simulation.heal();
            }
            simulation.run(milliseconds(100 + simulation.random() % 900));
        }
        EXPECT_EQ(simulation.violations, std::vector<std::string>{}) << "seed " << seed;
        simulation.heal();
        simulation.lossRate = 0;
        simulation.lostAnswerRate = 0;
        setDrains(simulation, {domainOf(1)});
        simulation.run(seconds(15));
        EXPECT_EQ(simulation.servedCount(), cell_simulation::slotCount) << "seed " << seed;
        EXPECT_EQ(slotsServedIn(simulation, domainOf(1)), 0U) << "seed " << seed;
    }
}

} // namespace quetzalspool::test
