/** @file hot_slot_test.cpp Placement of slots that alone exceed the share of an owner. */
#include "hot_slot_func.h"
#include "roster_func.h"
#include "roster_load_func.h"

#include <gtest/gtest.h>
#include <random>

namespace quetzalspool::test {

namespace {

constexpr std::size_t targetCount = 27;
constexpr std::uint32_t targetSlots = 8;
constexpr double poolUtilization = 0.6; ///< Load of the pool as a share of its capacity.
constexpr double requestsPerSlot = 10; ///< Requests per second that a slot of a target of speed 1 completes.
constexpr std::uint32_t hotSlot = 1000;

/** Targets of speeds 0.7, 0.7 and 1.6, and a key range with one hot slot. */
struct hot_key_range
{
    std::vector<roster_node> nodes{targetCount};
    std::vector<const roster_node *> candidates;
    std::vector<double> speeds;
    std::vector<double> rates;
    pool_load load;
    ownership_record record{pool_id{"p"}, {{0, numericSlots - 1, {}, {}, {}, "", {}}}};
    std::mt19937_64 random{11};

    explicit hot_key_range(double hotShare)
    {
        double capacity = 0;
        for (std::size_t index = 0; index < targetCount; ++index) {
            nodes[index].member.id.value = "t" + std::to_string(100 + index);
            nodes[index].member.target = {pool_id{"p"}, {"127.0.0.1", 1}, targetSlots, 100, true};
            nodes[index].targetIncarnation = {"life", 1};
            candidates.push_back(&nodes[index]);
            speeds.push_back(index % 3 == 2 ? 1.6 : 0.7);
            capacity += speeds.back() * targetSlots * requestsPerSlot;
        }
        const auto total = capacity * poolUtilization;
        rates.assign(numericSlots, total * (1 - hotShare) / numericSlots);
        rates[hotSlot] = total * hotShare;
        assignUnowned(record, candidates, nullptr, fence_number{1});
    }

    /** Observes loads and speeds with errors, and executes what is planned. Returns the number of moved ranges. */
    std::size_t step()
    {
        load.weight = 1;
        load.slots.resize(numericSlots);
        for (std::uint32_t slot = 0; slot < numericSlots; ++slot) {
            load.slots[slot] = rates[slot] * std::uniform_real_distribution<>(0.9, 1.1)(random);
        }
        for (std::size_t index = 0; index < targetCount; ++index) {
            load.speed[nodes[index].member.id] =
                speeds[index] * requestsPerSlot * std::uniform_real_distribution<>(0.92, 1.08)(random);
        }
        planBySpeed(record, candidates, &load);
        std::size_t moved = 0;
        for (auto &range : record.ranges) {
            moved += range.nextOwner.value.empty() ? 0 : 1;
            range.owner = range.nextOwner.value.empty() ? range.owner : range.nextOwner;
            range.nextOwner = {};
        }
        mergeRanges(record);
        return moved;
    }

    [[nodiscard]] std::size_t ownerOf(std::uint32_t slot) const
    {
        for (const auto &range : record.ranges) {
            if (range.first <= slot && slot <= range.last) {
                return std::stoul(range.owner.value.substr(1)) - 100;
            }
        }
        return targetCount;
    }

    [[nodiscard]] std::vector<double> utilizations() const
    {
        std::vector<double> sums(targetCount);
        for (std::uint32_t slot = 0; slot < numericSlots; ++slot) {
            const auto owner = ownerOf(slot);
            sums[owner] += rates[slot] / (speeds[owner] * targetSlots * requestsPerSlot);
        }
        return sums;
    }
};

} // namespace

// A hot slot on a slow owner keeps that owner overloaded, and its neighbours are late with it. Errors of the observed
// loads and speeds must not move it again and again, since each move interrupts its keys.
TEST(hotSlot, aHotSlotSettlesOnAFastOwnerAndItsNeighboursLeave)
{
    for (const double share : {0.16, 0.2, 0.3, 0.45}) {
        hot_key_range range(share);
        // The first owner is a slow one.
        if (range.speeds[range.ownerOf(hotSlot)] > 1) {
            std::swap(range.speeds[range.ownerOf(hotSlot)], range.speeds[0]);
        }
        std::size_t hotMoves = 0;
        std::size_t lateMoves = 0;
        for (int step = 0; step < 60; ++step) {
            const auto before = range.ownerOf(hotSlot);
            const auto moved = range.step();
            hotMoves += range.ownerOf(hotSlot) == before ? 0 : 1;
            lateMoves += step >= 20 ? moved : 0;
        }
        const auto owner = range.ownerOf(hotSlot);
        const auto utilizations = range.utilizations();
        double most = 0;
        double total = 0;
        for (std::size_t index = 0; index < targetCount; ++index) {
            most = index == owner ? most : std::max(most, utilizations[index]);
            total += index == owner ? 0 : utilizations[index] * range.speeds[index];
        }
        double speed = -range.speeds[owner];
        for (const auto each : range.speeds) {
            speed += each;
        }
        const auto neighbours =
            utilizations[owner] * range.speeds[owner] * targetSlots * requestsPerSlot / range.rates[hotSlot] - 1;
        std::cout << "figure hot " << share << ": moves of the slot " << hotMoves << ", late moves " << lateMoves
                  << ", neighbours " << neighbours << ", most of the others " << most << ", mean " << total / speed
                  << "\n";
        EXPECT_EQ(range.speeds[owner], 1.6) << share;
        EXPECT_EQ(hotMoves, 1U) << share;
        EXPECT_LE(neighbours, 0.11) << share;
        EXPECT_LE(most, total / speed * 1.6) << share;
        EXPECT_LE(lateMoves, 4U) << share;
    }
}

// A move that leaves the receiver busier than the giver was only passes the overload on, and back later.
TEST(hotSlot, noWindowMovesToAReceiverThatEndsUpMoreUtilized)
{
    for (const double share : {0.16, 0.3, 0.45}) {
        hot_key_range range(share);
        std::fill(range.speeds.begin(), range.speeds.end(), 1);
        for (int step = 0; step < 30; ++step) {
            const auto before = range.utilizations();
            const auto owner = range.ownerOf(hotSlot);
            range.step();
            const auto after = range.utilizations();
            EXPECT_EQ(range.ownerOf(hotSlot), owner) << "no owner is faster";
            EXPECT_LE(*std::max_element(after.begin(), after.end()),
                      *std::max_element(before.begin(), before.end()) * 1.01);
        }
    }
}

} // namespace quetzalspool::test
