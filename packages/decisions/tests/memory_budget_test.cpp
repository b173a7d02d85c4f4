/** @file memory_budget_test.cpp Tests of what a process may keep for callers and whom it evicts. */
#include "memory_budget_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

constexpr std::uint64_t mebibyte = 1048576;
const steady_time now{std::chrono::hours(1)};

} // namespace

// A limit that is too low would refuse a legal body on the smallest machine, one that is too high would end the
// process.
TEST(memoryBudget, theLargestBodyFitsOnTheSmallestMachineBesideTheProcess)
{
    const auto budget = makeMemoryBudget(160 * mebibyte);
    EXPECT_TRUE(admitsBytes(budget, mebibyte, 64 * mebibyte, 64 * mebibyte));
    EXPECT_LT(budget.limit, 112 * mebibyte);
}

// Large bodies could take all memory, and ordinary requests would be refused.
TEST(memoryBudget, aPartIsReservedForSmallRequests)
{
    const memory_budget budget{8 * mebibyte, mebibyte};
    EXPECT_FALSE(admitsBytes(budget, 7 * mebibyte, 16384, 2 * mebibyte));
    EXPECT_TRUE(admitsBytes(budget, 7 * mebibyte, 16384, 16384));
    EXPECT_FALSE(admitsBytes(budget, 8 * mebibyte, 1, 1));
    EXPECT_FALSE(admitsBytes(budget, 9 * mebibyte, 0, 1)) << "charges that are not asked for may exceed the limit";
}

// An ordinary caller that is sending must not be evicted in favour of another.
TEST(memoryBudget, theCallerWithoutProgressForLongestIsEvicted)
{
    const auto ago = [](int ms) { return now - milliseconds(ms); };
    EXPECT_FALSE(chooseEviction({}, now));
    EXPECT_FALSE(chooseEviction({{mebibyte, ago(10)}, {mebibyte, ago(999)}}, now));
    EXPECT_EQ(chooseEviction({{mebibyte, ago(10)}, {1, ago(3000)}, {mebibyte, ago(2000)}}, now), 1U);
}

// Callers that connect and send nothing took all descriptors.
TEST(memoryBudget, callersLeaveDescriptors)
{
    EXPECT_EQ(maxCallerConnections(4100, 1), 3075U);
    EXPECT_EQ(maxCallerConnections(256, 1), 192U);
    EXPECT_EQ(maxCallerConnections(256, 2), 96U);
    EXPECT_EQ(maxCallerConnections(10, 1), 1U);
}

// Bodies that a target holds took it beyond the memory of its machine.
TEST(memoryBudget, aTargetHoldsFewLargeBodiesButOneAlways)
{
    EXPECT_TRUE(admitsAtTarget(0, 100 * mebibyte, 160 * mebibyte));
    EXPECT_TRUE(admitsAtTarget(40 * mebibyte, 40 * mebibyte, 160 * mebibyte));
    EXPECT_FALSE(admitsAtTarget(64 * mebibyte, 64 * mebibyte, 160 * mebibyte));
    EXPECT_TRUE(admitsAtTarget(64 * mebibyte, 65536, 64 * mebibyte));
}

} // namespace quetzalspool::test
