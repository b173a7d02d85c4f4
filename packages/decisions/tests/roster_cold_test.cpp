/** @file roster_cold_test.cpp Cold targets in node entries and in the planning of owners. */
#include "roster_cold_func.h"
#include "roster_func.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const steady_time start{std::chrono::hours(1)};
const pool_id pool{"p"};
constexpr double coldRate = 15;

roster_node makeNode(const std::string &id, std::int64_t startedUnixMs = 1)
{
    roster_node node;
    node.member.id.value = id;
    node.member.endpoints = {"127.0.0.1", 8001, 8002, 8003};
    node.member.target = {pool, {"127.0.0.1", 8080}, 8, 8, true};
    node.targetIncarnation = {"t-" + id, startedUnixMs};
    return node;
}

target_report makeReport(std::uint64_t sequence, milliseconds coldFor, std::int64_t startedUnixMs = 1)
{
    target_report report;
    report.incarnation = {"t-a", startedUnixMs};
    report.sequence = sequence;
    report.announcement = makeNode("a").member.target;
    report.coldFor = coldFor;
    return report;
}

/** Three targets, one of which is cold, and a load spread over all slots. */
struct cold_plan
{
    explicit cold_plan(double perSecond)
    {
        for (const std::string id : {"a", "b", "c"}) {
            nodes.push_back(makeNode(id));
            load.speed[{id}] = 5;
        }
        for (const auto &node : nodes) {
            candidates.push_back(&node);
        }
        load.slots.assign(numericSlots, perSecond / numericSlots);
        load.weight = 1;
        load.coldPerSecond = coldRate;
    }

    void setCold(const std::string &id)
    {
        load.coldUntil[{id}] = start + seconds(5);
    }

    [[nodiscard]] double loadOf(const ownership_record &record, const std::string &id) const
    {
        double sum = 0;
        for (const auto &range : record.ranges) {
            const auto &holder = range.nextOwner.value.empty() ? range.owner : range.nextOwner;
            sum += holder.value == id ? loadBetween(&load, range.first, range.last) : 0;
        }
        return sum;
    }

    std::vector<roster_node> nodes;
    std::vector<const roster_node *> candidates;
    pool_load load;
};

} // namespace

// Guards against entries of earlier versions that can't be read, and against larger entries where nothing is cold.
TEST(rosterCold, anEntryNamesTheColdTimeOnlyIfTheTargetIsCold)
{
    last_reason why;
    auto node = makeNode("a");
    const auto warm = formatNode(node);
    EXPECT_FALSE(nlohmann::json::parse(warm).contains("target_cold_ms"));
    EXPECT_EQ(parseNode(warm, why), node) << describe(why);
    node.targetColdFor = milliseconds(4200);
    EXPECT_EQ(parseNode(formatNode(node), why), node) << describe(why);
    auto odd = nlohmann::json::parse(formatNode(node));
    odd["target_cold_ms"] = -1;
    EXPECT_EQ(parseNode(odd.dump(), why), std::nullopt);
}

// Guards against a write to the store with each report.
TEST(rosterCold, theOwnEntryNamesTheColdTimeOfTheFirstReportOfEachIncarnation)
{
    auto state = startRoster(makeNode("a"), {}, start);
    state.self.targetIncarnation = {};
    applyReport(state, makeReport(1, seconds(4)), start);
    EXPECT_EQ(state.self.targetColdFor, milliseconds(0)) << "the pool has no cold rate";
    state.coldRates[pool] = coldRate;
    applyReport(state, makeReport(1, seconds(5), 2), start + seconds(1));
    EXPECT_EQ(state.self.targetColdFor, seconds(5));
    const auto entry = state.self;
    applyReport(state, makeReport(2, milliseconds(4130), 2), start + seconds(2));
    EXPECT_EQ(state.self, entry);
    applyReport(state, makeReport(1, milliseconds(0), 3), start + seconds(20));
    EXPECT_EQ(state.self.targetColdFor, milliseconds(0));
}

// Guards against keys for a cold target before its first load message, and against a limit that stays.
TEST(rosterCold, aTargetIsColdByItsEntryUntilItsFirstLoadMessageOrTheEndOfTheTime)
{
    auto state = startRoster(makeNode("z"), {}, start);
    state.coldRates[pool] = coldRate;
    auto node = makeNode("a");
    node.targetColdFor = seconds(5);
    applyEntry(state, node.member.id, node, {1}, start);
    refreshColdness(state, pool, start);
    const auto &load = state.loads.at(pool);
    EXPECT_DOUBLE_EQ(coldCapacity(40, node.member.id, &load), 3) << "without speeds in slots of 5 requests per second";
    node.member.leaving = true;
    applyEntry(state, node.member.id, node, {2}, start + seconds(4));
    refreshColdness(state, pool, start + seconds(5));
    EXPECT_DOUBLE_EQ(coldCapacity(40, node.member.id, &load), 40) << "another entry of the same incarnation";
    node.targetIncarnation.startedUnixMs = 2;
    applyEntry(state, node.member.id, node, {3}, start + seconds(6));
    refreshColdness(state, pool, start + seconds(6));
    EXPECT_LT(coldCapacity(40, node.member.id, &load), 40);
    applyLoad(state, {node.member.id, pool, 2000, {}}, start + seconds(7));
    EXPECT_DOUBLE_EQ(coldCapacity(40, node.member.id, &load), 40) << "the message names its speed";
}

// Guards against more keys on a cold target than it can serve.
TEST(rosterCold, slotsMoveToAColdTargetOnlyAsFarAsItCarriesTheirLoad)
{
    for (const double perSecond : {20.0, 60.0, 90.0, 200.0}) {
        cold_plan plan(perSecond);
        plan.setCold("c");
        ownership_record record{
            pool, {{0, 2047, {"a"}, {"t", 1}, {1}, "", {}}, {2048, 4095, {"b"}, {"t", 1}, {1}, "", {}}}, {}};
        planRebalance(record, plan.candidates, &plan.load);
        EXPECT_LE(plan.loadOf(record, "c"), coldRate * 1.01) << perSecond;
        EXPECT_GT(plan.loadOf(record, "c"), 0) << perSecond;
        EXPECT_LE(record.ranges.size(), 12U) << perSecond;
    }
}

// The same for a target whose load message says that it is cold, and for slots without an owner.
TEST(rosterCold, firstOwnersAreChosenByTheColdCapacity)
{
    cold_plan plan(90);
    plan.load.speed[{"c"}] = coldRate / 8;
    ownership_record record{pool, {{0, numericSlots - 1, {}, {}, {}, "", {}}}, {}};
    ASSERT_TRUE(assignUnowned(record, plan.candidates, &plan.load, {1}));
    EXPECT_LE(plan.loadOf(record, "c"), coldRate * 1.1);
    EXPECT_GT(plan.loadOf(record, "c"), coldRate * 0.5);
}

// Guards against slots without an owner, or owners of single slots, when all targets of a pool have just started.
TEST(rosterCold, ifAllTargetsAreColdAllSlotsGetOwnersInAsManyRangesAsOtherwise)
{
    cold_plan plan(300);
    for (const std::string id : {"a", "b", "c"}) {
        plan.setCold(id);
    }
    ownership_record record{pool, {{0, numericSlots - 1, {}, {}, {}, "", {}}}, {}};
    ASSERT_TRUE(assignUnowned(record, plan.candidates, &plan.load, {1}));
    mergeRanges(record);
    plan.load.coldPerSecond = 0;
    ownership_record warm{pool, {{0, numericSlots - 1, {}, {}, {}, "", {}}}, {}};
    assignUnowned(warm, plan.candidates, &plan.load, {1});
    mergeRanges(warm);
    EXPECT_EQ(record.ranges.size(), warm.ranges.size());
    plan.load.coldPerSecond = coldRate;
    for (const std::string id : {"a", "b", "c"}) {
        EXPECT_NEAR(plan.loadOf(record, id), 100, 10) << id;
    }
    const auto settled = record;
    EXPECT_FALSE(planRebalance(record, plan.candidates, &plan.load)) << "no target has room";
    EXPECT_EQ(record, settled);
}

// Guards against other shares where no pool has a cold rate.
TEST(rosterCold, withoutAColdRateSharesAreProportional)
{
    cold_plan plan(90);
    plan.load.coldPerSecond = 0;
    plan.load.speed[{"c"}] = 0.5;
    const ownership_record record{pool, {{0, numericSlots - 1, {"a"}, {"t", 1}, {1}, "", {}}}, {}};
    const auto loads = candidateLoads(record, plan.candidates, &plan.load);
    EXPECT_NEAR(loads[2].fairShare / loads[0].fairShare, 0.1, 1e-9);
    EXPECT_EQ(loads[2].limit, std::nullopt);
}

} // namespace quetzalspool::test
