/** @file response_share_test.cpp Shares of owners of different speed by response time. */
#include "hot_slot_func.h"
#include "response_share_func.h"
#include "roster_func.h"
#include "roster_load_func.h"

#include <gtest/gtest.h>

#include <numeric>
#include <random>

namespace quetzalspool::test {

namespace {

constexpr std::size_t ownerCount = 27;
constexpr std::uint32_t targetSlots = 8;
constexpr double requestsPerSlot = 10; ///< Requests per second that a slot of a target of speed 1 completes.
constexpr double workMs = 90; ///< Mean work of a request at speed 1.
constexpr double goalMs = 250;
constexpr double brownout = 3; ///< Factor by which a target is slower for a while.
constexpr double brownoutShare = 0.2; ///< Share of the time in which it is.
constexpr double baselineTolerance = 1e-6;

std::vector<double> unevenSpeeds()
{
    std::vector<double> speeds;
    for (std::size_t index = 0; index < ownerCount; ++index) {
        speeds.push_back(index % 3 == 2 ? 1.6 : 0.7);
    }
    return speeds;
}

double sumOf(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

/** Expected share of requests answered within the goal at a target that is not full. */
double inTimeAt(double speed)
{
    const auto withinGoal = [&](double slowdown) {
        const double spread = 0.5;
        const auto median = std::log(workMs / speed * slowdown) - spread * spread / 2;
        return 0.5 * std::erfc((median - std::log(goalMs)) / (spread * std::sqrt(2)));
    };
    return (1 - brownoutShare) * withinGoal(1) + brownoutShare * withinGoal(brownout);
}

double inTime(const std::vector<double> &shares, const std::vector<double> &speeds)
{
    double sum = 0;
    for (std::size_t index = 0; index < shares.size(); ++index) {
        sum += shares[index] * inTimeAt(speeds[index]);
    }
    return sum / sumOf(shares);
}

/** A pool whose keys are equally busy, and the observed loads and speeds of its owners. */
struct observed_pool
{
    explicit observed_pool(double utilization)
    {
        for (std::size_t index = 0; index < ownerCount; ++index) {
            nodes[index].member.id.value = "t" + std::to_string(100 + index);
            nodes[index].member.target = {pool_id{"p"}, {"127.0.0.1", 1}, targetSlots, 100, true};
            nodes[index].targetIncarnation = {"life", 1};
            candidates.push_back(&nodes[index]);
        }
        total = utilization * sumOf(speeds) * targetSlots * requestsPerSlot;
        state.placesBySpeed = true;
        assignUnowned(record, candidates, nullptr, fence_number{1});
    }

    /** Half a second: reports arrive and what is planned is executed. Returns the number of moved ranges. */
    std::size_t step(double error)
    {
        now += milliseconds(500);
        std::uniform_real_distribution<> factor(1 - error, 1 + error);
        auto &load = state.loads[pool_id{"p"}];
        for (std::size_t index = 0; index < ownerCount; ++index) {
            load_message message;
            message.pool = pool_id{"p"};
            message.sender = nodes[index].member.id;
            message.speed = std::llround(speeds[index] * requestsPerSlot * factor(random) * speedUnitSeconds);
            applyLoad(state, message, now);
        }
        load.weight = 1;
        for (auto &slot : load.slots) {
            slot = total / numericSlots;
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

    [[nodiscard]] std::vector<double> loads() const
    {
        std::vector<double> sums(ownerCount);
        for (const auto &range : record.ranges) {
            sums[std::stoul(range.owner.value.substr(1)) - 100] +=
                total * (range.last - range.first + 1) / numericSlots;
        }
        return sums;
    }

    std::vector<double> speeds = unevenSpeeds();
    std::vector<roster_node> nodes{ownerCount};
    std::vector<const roster_node *> candidates;
    roster_state state;
    ownership_record record{pool_id{"p"}, {{0, numericSlots - 1, {}, {}, {}, "", {}}}};
    double total = 0;
    steady_time now{std::chrono::hours(1)};
    std::mt19937_64 random{3};
};

} // namespace

// Shares in proportion to the speed make slow owners as busy as fast ones while fast ones have capacity to spare.
TEST(responseShares, slowOwnersGetLittleWhileTheLoadIsLowAndTheirProportionWhenItIsHigh)
{
    const auto speeds = unevenSpeeds();
    const auto capacity = sumOf(speeds);
    double slowBefore = 0;
    for (const double utilization : {0.3, 0.6, 0.9}) {
        const auto shares = sharesByResponse(speeds, utilization * capacity);
        EXPECT_NEAR(sumOf(shares), utilization * capacity, baselineTolerance);
        const auto slow = shares[0] / speeds[0];
        const auto fast = shares[2] / speeds[2];
        EXPECT_GT(fast, slow) << utilization;
        EXPECT_LT(fast, 1) << utilization;
        EXPECT_GT(slow / utilization, slowBefore) << "the higher the load, the nearer to the proportion";
        slowBefore = slow / utilization;
    }
    EXPECT_LE(sharesByResponse(speeds, 0.3 * capacity)[0], 0.5 * 0.3 * speeds[0]);
    EXPECT_GE(slowBefore, 0.95);
}

// Overload must not make a share negative, infinite or larger than the proportion.
TEST(responseShares, overloadIsDividedInProportion)
{
    const auto shares = sharesByResponse({1, 2, 4}, 14);
    EXPECT_NEAR(shares[0], 2, baselineTolerance);
    EXPECT_NEAR(shares[1], 4, baselineTolerance);
    EXPECT_NEAR(shares[2], 8, baselineTolerance);
    EXPECT_EQ(sharesByResponse({3}, 2), std::vector<double>{2});
    EXPECT_EQ(sumOf(sharesByResponse({1, 2}, 0)), 0);
    EXPECT_GT(meanRequests(2, 1), meanRequests(0.99, 1));
}

// Requests at slow owners miss their goal in each brownout, those at fast owners do not.
TEST(responseShares, fewerRequestsAreLateThanByProportion)
{
    const auto speeds = unevenSpeeds();
    const auto load = 0.3 * sumOf(speeds);
    const auto byResponse = inTime(sharesByResponse(speeds, load), speeds);
    const auto byProportion = inTime(speeds, speeds);
    std::cout << "figure in time: " << byResponse << ", in proportion " << byProportion << "\n";
    EXPECT_LT(1 - byResponse, (1 - byProportion) * 0.75);
}

// Each move interrupts its keys, so placement must come to rest although the learned speeds vary.
TEST(responseShares, placementReachesTheSharesAndComesToRest)
{
    for (const double utilization : {0.3, 0.6}) {
        observed_pool pool(utilization);
        std::size_t late = 0;
        std::size_t moves = 0;
        for (int step = 0; step < 80; ++step) {
            const auto moved = pool.step(0.1);
            moves += moved;
            late += step >= 20 ? moved : 0;
        }
        double present = 0;
        double least = 0;
        const auto loads = pool.loads();
        std::vector<double> capacities;
        for (const auto speed : pool.speeds) {
            capacities.push_back(speed * targetSlots * requestsPerSlot);
        }
        const auto shares = sharesByResponse(capacities, pool.total);
        for (std::size_t index = 0; index < ownerCount; ++index) {
            present += meanRequests(loads[index], capacities[index]);
            least += meanRequests(shares[index], capacities[index]);
        }
        std::cout << "figure at " << utilization << ": moves " << moves << ", after 10 s " << late
                  << ", mean response time to the least " << present / least << "\n";
        EXPECT_LE(present, least * 1.2) << utilization;
        EXPECT_LE(late, 4U) << utilization;
    }
}

// A target that becomes four times slower has to lose most of its keys, since those that stay are late.
TEST(responseShares, anOwnerThatBecomesSlowLosesLoadWithinTwoSeconds)
{
    observed_pool pool(0.5);
    for (int step = 0; step < 20; ++step) {
        pool.step(0.05);
    }
    const std::size_t slowed = 2;
    const auto before = pool.loads()[slowed];
    pool.speeds[slowed] /= 4;
    for (int step = 0; step < 4; ++step) {
        pool.step(0.05);
    }
    EXPECT_LE(pool.loads()[slowed], before / 3);
}

// Owners that joined have no load yet, and nothing is overloaded: they would stay without keys.
TEST(responseShares, anIdleOwnerGetsKeys)
{
    observed_pool pool(0.3);
    for (auto &range : pool.record.ranges) {
        range.owner = range.owner == pool.nodes[0].member.id ? pool.nodes[1].member.id : range.owner;
    }
    mergeRanges(pool.record);
    ASSERT_EQ(pool.loads()[0], 0);
    for (int step = 0; step < 4; ++step) {
        pool.step(0.05);
    }
    EXPECT_GT(pool.loads()[0], 0);
}

// Without learned speeds a brief slowdown is planned for as before.
TEST(responseShares, reportsApplyAtOnceWithoutLearnedSpeeds)
{
    roster_state state;
    load_message message;
    message.pool = pool_id{"p"};
    message.sender = instance_id{"t"};
    const steady_time now{std::chrono::hours(1)};
    for (const double speed : {10.0, 7.0}) {
        message.speed = std::llround(speed * speedUnitSeconds);
        applyLoad(state, message, now);
        EXPECT_NEAR(state.loads[message.pool].speed[message.sender], speed, 0.01);
    }
}

} // namespace quetzalspool::test
