/** @file locality_test.cpp Choice of targets in two regions: speeds and restricted routes beside the distance. */
#include "allowed_regions_func.h"
#include "completion_choice_func.h"
#include "speed_estimate_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

const region_id north{"north"};
const region_id south{"south"};
const std::vector<region_id> northReserved{north};
const steady_time start{std::chrono::hours(1)};
constexpr std::uint32_t slots = 8;

/** Targets of one pool in two regions, and the state of a daemon in the north. */
struct two_regions
{
    two_regions(std::size_t inNorth, std::size_t inSouth)
        : members(inNorth + inSouth)
    {
        for (std::size_t index = 0; index < members.size(); ++index) {
            auto &member = members[index];
            member.id.value = "t" + std::to_string(index);
            member.region = index < inNorth ? north : south;
            member.domain.value = member.region.value + "-1";
            member.target.slots = slots;
            member.target.pool.value = "p";
            (index < inNorth ? northern : southern).push_back(&member);
            all.push_back(&member);
        }
    }

    void report(const cell_member &member, double serviceMs, double load)
    {
        recordSpeed(balance, member, {serviceMs, load, {}}, now);
    }

    const cell_member *choose(bool learns, std::span<const region_id> reserved,
                              const std::vector<const cell_member *> &members)
    {
        const balancer_location location{{"d"}, north, {"north-1"}, reserved};
        return (learns ? chooseByCompletion : chooseTarget)(balance, members, {}, location, random, now);
    }

    std::vector<cell_member> members;
    std::vector<const cell_member *> northern;
    std::vector<const cell_member *> southern;
    std::vector<const cell_member *> all;
    balance_state balance;
    std::mt19937_64 random{7};
    steady_time now = start;
};

/** Sends requests that stay in progress, and returns how many of them were sent to the north. */
std::size_t send(two_regions &world, bool learns, std::size_t count, std::span<const region_id> reserved,
                 const std::vector<const cell_member *> &allowed, std::map<instance_id, double> &held)
{
    std::size_t inNorth = 0;
    for (std::size_t request = 0; request < count; ++request) {
        const auto *member = world.choose(learns, reserved, allowed);
        held[member->id] += 1.0 / slots;
        inNorth += member->region == north ? 1 : 0;
        world.report(*member, 100, held[member->id]);
    }
    return inNorth;
}

} // namespace

// Requests of a route with little work beside those of one with much work looked like a change of speed.
TEST(locality, routesOfDifferentWorkAreNotTakenForChangesOfSpeed)
{
    speed_estimate estimate;
    estimate.enabled = true;
    auto now = start;
    std::mt19937_64 random(5);
    for (int request = 0; request < 2000; ++request) {
        now += milliseconds(10);
        const bool isCall = random() % 3 != 0;
        learnService(estimate, {true, isCall ? "call" : "order"}, milliseconds(isCall ? 22 : 180), now);
        EXPECT_NEAR(learnedSpeed(estimate), 1, 0.01);
    }
    EXPECT_NEAR(learnedServiceMs(estimate, work_kind{true, "call"}), 22, 1);
    EXPECT_NEAR(learnedServiceMs(estimate, work_kind{true, "order"}), 180, 4);
    EXPECT_EQ(learnedServiceMs(estimate, work_kind{true, "unknown"}), 0);
}

// A peer that names ever new routes must not make a daemon keep a base for each of them.
TEST(locality, theNumberOfKindsIsBounded)
{
    speed_estimate estimate;
    estimate.enabled = true;
    two_regions world(1, 0);
    for (int route = 0; route < 1000; ++route) {
        const work_kind kind{false, "route-" + std::to_string(route)};
        learnService(estimate, kind, milliseconds(50), start + milliseconds(route));
        recordSpeed(world.balance, world.members[0], {50, 0.1, kind}, start);
    }
    EXPECT_LE(estimate.kindBaseMs.size(), 64U);
    EXPECT_LE(world.balance.pools[pool_id{"p"}].serviceMs.size(), 64U);
    EXPECT_NEAR(learnedServiceMs(estimate, false), 50, 1);
}

// A target that serves other routes than its peers must not look faster or slower than they do.
TEST(locality, targetsAreComparedByRequestsOfTheSameKind)
{
    two_regions world(2, 0);
    for (int round = 0; round < 200; ++round) {
        recordSpeed(world.balance, world.members[0], {120, 0.2, {true, "order"}}, world.now);
        recordSpeed(world.balance, world.members[1], {22, 0.2, {true, "call"}}, world.now);
    }
    EXPECT_NEAR(expectedCompletion(world.balance, world.members[0], world.now),
                expectedCompletion(world.balance, world.members[1], world.now), 0.01);
}

// Requests were sent over the slow link between regions although targets of their own region were free.
TEST(locality, anotherRegionIsUsedOnlyIfTheNearTargetsAreFull)
{
    two_regions world(6, 6);
    for (const auto *member : world.southern) {
        world.report(*member, 30, 0);
    }
    for (const auto *member : world.northern) {
        world.report(*member, 100, 0.6);
    }
    for (int request = 0; request < 200; ++request) {
        EXPECT_EQ(world.choose(true, {}, world.all)->region, north) << "slower, but not full";
    }
    for (const auto *member : world.northern) {
        world.report(*member, 100, 1.5);
    }
    EXPECT_EQ(world.choose(true, {}, world.all)->region, south);
}

// A restricted route needs nearly all of the capacity of its region, and requests that may go elsewhere took it.
TEST(locality, unrestrictedRequestsLeaveAReservedRegionThatIsShortOfCapacity)
{
    for (const bool learns : {false, true}) {
        two_regions world(9, 10);
        std::map<instance_id, double> held;
        send(world, learns, 58, {}, world.northern, held);
        const auto inNorth = send(world, learns, 20, northReserved, world.all, held);
        EXPECT_LE(inNorth, 2U) << "of 20 unrestricted requests";
        EXPECT_EQ(send(world, learns, 12, {}, world.northern, held), 12U);
        for (const auto *member : world.northern) {
            EXPECT_LE(held[member->id], 1.0 + 1.0 / slots) << "there is room for all restricted requests";
        }
    }
}

// With free capacity the bytes between regions cost more than what is gained.
TEST(locality, unrestrictedRequestsStayNearWhileThereIsCapacity)
{
    for (const bool learns : {false, true}) {
        two_regions world(9, 10);
        std::map<instance_id, double> held;
        send(world, learns, 10, {}, world.northern, held);
        EXPECT_EQ(send(world, learns, 10, northReserved, world.all, held), 10U);
    }
}

TEST(locality, reservedRegionsAreThoseThatAnyRestrictedRouteNames)
{
    std::vector<route_row> routes(3);
    routes[0].pool.value = "p";
    routes[1].pool.value = "p";
    routes[1].regions = {north};
    routes[2].shares = {{{"p"}, 1}, {{"q"}, 0}};
    routes[2].regions = {south, north};
    const auto found = findReservedRegions(routes);
    ASSERT_EQ(found.size(), 1U) << "a share without weight gets no requests";
    EXPECT_EQ(found.at(pool_id{"p"}), (std::vector{north, south}));
}

} // namespace quetzalspool::test
