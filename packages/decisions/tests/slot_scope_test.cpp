/** @file slot_scope_test.cpp Slots leave drained domains and regions that are not allowed, warm and without a second
 * owner. */
#include "admission_func.h"
#include "allowed_regions_func.h"
#include "drain_admission_func.h"
#include "drained_domains_func.h"
#include "roster_simulation.h"
#include "slot_scope_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

const pool_id pool{"p"};
const steady_time start{seconds(1000)};
constexpr milliseconds bound{5000}; ///< Time after which no request may reach a drained domain.

/** Puts the instances into domains "d0", "d1" and so on, of two instances each, and these into regions of two each. */
void placeInDomains(roster_simulation &simulation)
{
    for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
        auto &member = simulation.nodes[index].roster.self.member;
        member.domain.value = "d" + std::to_string(index / 2);
        member.region.value = "r" + std::to_string(index / 4);
    }
}

roster_simulation makePlacedSimulation(std::uint64_t seed, std::size_t count)
{
    auto simulation = makeRosterSimulation(seed, count);
    placeInDomains(simulation);
    runFor(simulation, seconds(20));
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
    return simulation;
}

void setDrains(roster_simulation &simulation, const std::vector<std::string> &domains)
{
    for (auto &node : simulation.nodes) {
        node.roster.drained = {};
        node.roster.drained.keyedLimit = keyedLimitFor(bound);
        for (const auto &domain : domains) {
            beginDrain(node.roster.drained, domain_id{domain}, simulation.now);
        }
    }
}

void setRegions(roster_simulation &simulation, const std::vector<region_id> &regions)
{
    for (auto &node : simulation.nodes) {
        node.roster.regions = {{pool, intersectRegions({}, regions)}};
    }
}

/** Number of slots that the targets of a range of instances hold. */
std::uint32_t slotsHeldBy(const roster_simulation &simulation, std::size_t first, std::size_t last)
{
    std::uint32_t count = 0;
    for (auto index = first; index <= last; ++index) {
        for (const auto &range : simulation.nodes[index].target.heldRanges) {
            count += range.last - range.first + 1;
        }
    }
    return count;
}

/** Ranges of the owners as the first instance knows them. */
const std::vector<slot_range> &rangesOf(const roster_simulation &simulation)
{
    return simulation.nodes.front().roster.records.at(pool).record.ranges;
}

admission_state servingAdmission()
{
    admission_state state;
    beginTarget(state, start);
    state.limits.concurrency = 4;
    state.limits.warmUp = milliseconds(1);
    state.limits.stallLimit = seconds(60);
    state.heard = true; // Before the first response, few requests are admitted at once.
    setServed(state, {{fenced_slot{pool, {7}, {3}}}, {}}, start + seconds(60), milliseconds(0), start);
    return state;
}

admission_request requestFor(bool keyed)
{
    admission_request request;
    request.id = keyed ? 1 : 2;
    request.deadline = start + seconds(30);
    if (keyed) {
        request.slot = fenced_slot{pool, {7}, {3}};
    }
    return request;
}

} // namespace

// Within the bound, all slots must have left the domain, with the tokens that let the next owners start warm.
TEST(drainedDomains, ownersHandTheirSlotsOverWithTokens)
{
    auto simulation = makePlacedSimulation(1, 6);
    ASSERT_GT(slotsHeldBy(simulation, 0, 1), 0U);
    const auto highestFence = rangesOf(simulation).back().fence;
    setDrains(simulation, {"d0"});
    runFor(simulation, bound * 3 / 4);
    EXPECT_EQ(slotsHeldBy(simulation, 0, 1), 0U);
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
    EXPECT_EQ(simulation.violation, "");
    std::uint32_t warm = 0;
    for (const auto &range : rangesOf(simulation)) {
        EXPECT_NE(range.owner, simulation.nodes[0].roster.self.member.id);
        EXPECT_NE(range.owner, simulation.nodes[1].roster.self.member.id);
        warm += range.fence > highestFence && !range.handover.empty() ? range.last - range.first + 1 : 0;
    }
    EXPECT_GT(warm, 0U);
}

// Targets of either domain must not pass their slots to the other one.
TEST(drainedDomains, twoDomainsAreLeftAtOnce)
{
    auto simulation = makePlacedSimulation(2, 6);
    setDrains(simulation, {"d0", "d2"});
    runFor(simulation, bound * 3 / 4);
    EXPECT_EQ(slotsHeldBy(simulation, 0, 1), 0U);
    EXPECT_EQ(slotsHeldBy(simulation, 4, 5), 0U);
    EXPECT_EQ(slotsHeldBy(simulation, 2, 3), numericSlots);
    EXPECT_EQ(simulation.violation, "");
}

// After its return, a domain gets slots again.
TEST(drainedDomains, aDomainThatReturnsGetsSlotsAgain)
{
    auto simulation = makePlacedSimulation(3, 6);
    setDrains(simulation, {"d0"});
    runFor(simulation, seconds(5));
    ASSERT_EQ(slotsHeldBy(simulation, 0, 1), 0U);
    setDrains(simulation, {});
    runFor(simulation, seconds(20));
    EXPECT_GT(slotsHeldBy(simulation, 0, 1), 0U);
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
    EXPECT_EQ(simulation.violation, "");
}

// Slots that no target may receive must keep their owners, or they would be unserved for long after the return.
TEST(drainedDomains, ownersStayIfAllDomainsAreDrained)
{
    auto simulation = makePlacedSimulation(4, 4);
    const auto before = rangesOf(simulation);
    setDrains(simulation, {"d0", "d1"});
    runFor(simulation, seconds(15));
    EXPECT_EQ(rangesOf(simulation), before);
    restartTarget(simulation, 0);
    runFor(simulation, seconds(10));
    EXPECT_EQ(servedSlotCount(simulation), numericSlots) << "a new incarnation keeps the slots of its instance";
    setDrains(simulation, {});
    runFor(simulation, seconds(1));
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
    EXPECT_EQ(simulation.violation, "");
}

// The last domain of an allowed region must not pass its slots to another region.
TEST(drainedDomains, ownersStayInTheLastDomainOfAnAllowedRegion)
{
    auto simulation = makePlacedSimulation(5, 6);
    setRegions(simulation, {region_id{"r1"}}); // Domain d2 alone.
    runFor(simulation, seconds(20));
    ASSERT_EQ(slotsHeldBy(simulation, 4, 5), numericSlots);
    setDrains(simulation, {"d2"});
    runFor(simulation, seconds(15));
    EXPECT_EQ(slotsHeldBy(simulation, 4, 5), numericSlots);
    EXPECT_EQ(simulation.violation, "");
}

// If the planner fails during a drain, the next one must not leave slots in the domain or without an owner.
TEST(drainedDomains, theLossOfThePlannerDoesNotStopTheMoves)
{
    auto simulation = makePlacedSimulation(6, 6);
    setDrains(simulation, {"d1"});
    runFor(simulation, milliseconds(600));
    simulation.nodes[0].up = false;
    simulation.nodes[0].roster = {};
    simulation.nodes[0].target.incarnation = {};
    runFor(simulation, seconds(25));
    EXPECT_EQ(slotsHeldBy(simulation, 2, 3), 0U);
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
    EXPECT_EQ(simulation.violation, "");
}

// Restarts, lost messages and drains together must never give a slot two owners.
TEST(drainedDomains, drainsAndFaultsNeverGiveASlotTwoOwners)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        auto simulation = makePlacedSimulation(seed, 6);
        simulation.responseLossRate = 0.2;
        simulation.lateWriteRate = 0.1;
        for (int step = 0; step < 8; ++step) {
            std::vector<std::string> domains;
            for (const auto *domain : {"d0", "d1", "d2"}) {
                if (simulation.random() % 2 == 0) {
                    domains.emplace_back(domain);
                }
            }
            setDrains(simulation, domains);
            const auto index = simulation.random() % simulation.nodes.size();
            if (simulation.random() % 2 == 0) {
                restartTarget(simulation, index);
            } else {
                simulation.nodes[index].storeUnreachableUntil =
                    simulation.now + milliseconds(simulation.random() % 9000);
            }
            runFor(simulation, milliseconds(500 + simulation.random() % 5000));
        }
        EXPECT_EQ(simulation.violation, "") << "seed " << seed;
        simulation.responseLossRate = 0;
        simulation.lateWriteRate = 0;
        setDrains(simulation, {"d1"});
        runFor(simulation, seconds(30));
        EXPECT_EQ(servedSlotCount(simulation), numericSlots) << "seed " << seed;
        EXPECT_EQ(slotsHeldBy(simulation, 2, 3), 0U) << "seed " << seed;
        EXPECT_EQ(simulation.violation, "") << "seed " << seed;
    }
}

// Slots outside the regions must move with tokens, and none may come back by rebalancing.
TEST(allowedRegions, slotsMoveIntoThem)
{
    auto simulation = makePlacedSimulation(7, 6);
    ASSERT_GT(slotsHeldBy(simulation, 4, 5), 0U);
    setRegions(simulation, {region_id{"r0"}});
    runFor(simulation, seconds(6));
    EXPECT_EQ(slotsHeldBy(simulation, 4, 5), 0U);
    EXPECT_EQ(servedSlotCount(simulation), numericSlots);
    runFor(simulation, seconds(10));
    EXPECT_EQ(slotsHeldBy(simulation, 4, 5), 0U);
    std::uint32_t warm = 0;
    for (const auto &range : rangesOf(simulation)) {
        warm += range.handover.empty() ? 0 : range.last - range.first + 1;
    }
    EXPECT_GT(warm, 0U);
    EXPECT_EQ(simulation.violation, "");
}

// Without a target in the regions, the owners stay: requests are refused, and nothing is dropped.
TEST(allowedRegions, ownersStayIfNoTargetIsInThem)
{
    auto simulation = makePlacedSimulation(8, 4);
    const auto before = rangesOf(simulation);
    setRegions(simulation, {region_id{"elsewhere"}});
    runFor(simulation, seconds(15));
    EXPECT_EQ(rangesOf(simulation), before);
    EXPECT_EQ(simulation.violation, "");
}

// The first owners of a pool must be chosen within its regions.
TEST(allowedRegions, firstOwnersAreInThem)
{
    auto simulation = makeRosterSimulation(9, 6);
    placeInDomains(simulation);
    setRegions(simulation, {region_id{"r1"}});
    runFor(simulation, seconds(20));
    EXPECT_EQ(slotsHeldBy(simulation, 0, 3), 0U);
    EXPECT_EQ(slotsHeldBy(simulation, 4, 5), numericSlots);
}

// Requests that were on their way when the drain began must not reach the target after the limit.
TEST(drainedDomains, admissionRefusesWithinTheLimit)
{
    auto state = servingAdmission();
    const auto limit = keyedLimitFor(bound);
    ASSERT_TRUE(admit(state, requestFor(true), start).admitted);
    setDrained(state, start, limit, start);
    EXPECT_EQ(admit(state, requestFor(false), start).refused, refusal::leaving);
    EXPECT_EQ(checkHandOver(state, requestFor(false), start), refusal::leaving);
    EXPECT_TRUE(admit(state, requestFor(true), start + limit - milliseconds(1)).admitted);
    EXPECT_EQ(checkHandOver(state, requestFor(true), start + limit - milliseconds(1)), refusal::none);
    EXPECT_EQ(admit(state, requestFor(true), start + limit).refused, refusal::leaving);
    EXPECT_EQ(checkHandOver(state, requestFor(true), start + limit), refusal::leaving);
    EXPECT_FALSE(state.drainEndedAt.has_value());
}

// Queued requests must be refused too, so that other targets can serve them.
TEST(drainedDomains, queuedRequestsAreRefused)
{
    auto state = servingAdmission();
    state.limits.concurrency = 1;
    ASSERT_TRUE(admit(state, requestFor(false), start).admitted);
    auto waiting = requestFor(false);
    waiting.id = 9;
    ASSERT_TRUE(admit(state, waiting, start).queued);
    setDrained(state, start, keyedLimitFor(bound), start);
    const auto decided = advanceQueue(state, start);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.front().id, 9U);
    EXPECT_EQ(decided.front().result.refused, refusal::leaving);
}

// A target that got no requests may be cold: admission must know when the drain ended.
TEST(drainedDomains, theEndOfADrainIsKept)
{
    auto state = servingAdmission();
    setDrained(state, std::nullopt, keyedLimitFor(bound), start);
    EXPECT_FALSE(state.drainEndedAt.has_value()) << "a domain that was never drained is as before";
    setDrained(state, start, keyedLimitFor(bound), start);
    setDrained(state, std::nullopt, keyedLimitFor(bound), start + seconds(9));
    setDrained(state, std::nullopt, keyedLimitFor(bound), start + seconds(10));
    EXPECT_EQ(state.drainEndedAt, start + seconds(9));
    EXPECT_TRUE(admit(state, requestFor(false), start + seconds(10)).admitted);
}

} // namespace quetzalspool::test
