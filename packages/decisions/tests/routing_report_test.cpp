/** @file routing_report_test.cpp Explanations of where requests would go: they must agree with the choice itself. */
#include "routing_report_func.h"

#include "completion_choice_func.h"
#include "drained_domains_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

const steady_time start{std::chrono::hours(1)};
const pool_id keyedPool{"desk"};
const pool_id openPool{"ledger"};
constexpr std::uint32_t slots = 8;

cell_member makeMember(const std::string &name, const pool_id &pool, const std::string &region,
                       const std::string &domain)
{
    cell_member member;
    member.id.value = name;
    member.region.value = region;
    member.domain.value = domain;
    member.target.pool = pool;
    member.target.slots = slots;
    return member;
}

/** One cell: k1 and k2 own the keys of a pool with two slots; a, b, c and d serve a pool without keys. */
struct report_world
{
    report_world()
    {
        members = {makeMember("k1", keyedPool, "north", "n1"), makeMember("k2", keyedPool, "south", "s1"),
                   makeMember("a", openPool, "north", "n1"),   makeMember("b", openPool, "north", "n1"),
                   makeMember("c", openPool, "north", "n2"),   makeMember("d", openPool, "south", "s1")};
        pool_view keyed;
        keyed.row.name = keyedPool;
        keyed.row.keyed = true;
        keyed.row.slots = 2;
        keyed.row.homes = {{{"cell"}, 1}};
        keyed.homeEnds = {2};
        view.pools[keyedPool] = keyed;
        view.pools[openPool].row.name = openPool;
        view.routes = {makeRoute("formulas", "/formulas/", keyedPool), makeRoute("sheets", "/sheets/", openPool)};
        view.tablesRevision = {7};
        owners = {{0, {11}}, {1, {12}}};
        query.host = "a.example";
        query.rules.location = {{"a"}, {"north"}, {"n1"}};
    }

    static route_row makeRoute(const std::string &name, const std::string &prefix, const pool_id &pool)
    {
        route_row route;
        route.name = name;
        route.prefix = prefix;
        route.pool = pool;
        return route;
    }

    routing_report explain(const pool_id &pool, const std::string &key = {})
    {
        auto cell = std::make_shared<cell_view>();
        cell->id.value = "cell";
        cell->revision = {21};
        cell->members = members;
        cell->pools[keyedPool] = {0, owners};
        view.cells[cell->id] = cell;
        query.path = pool == keyedPool ? "/formulas/x" : "/sheets/x";
        query.pool = pool;
        query.key = key;
        return explainRouting(view, balance, query, random, now);
    }

    /** A key of the given slot. */
    std::string keyOf(std::uint32_t slot)
    {
        for (int number = 0;; ++number) {
            auto key = std::to_string(number);
            if (hashToSlot(key, 2).value == slot) {
                return key;
            }
        }
    }

    cell_member &member(const std::string &name)
    {
        return *std::find_if(members.begin(), members.end(),
                             [&](const auto &candidate) { return candidate.id.value == name; });
    }

    void drain(const std::string &domain, steady_time since)
    {
        view.drained.keyedLimit = milliseconds(3000);
        beginDrain(view.drained, {domain}, since);
    }

    routing_view view;
    std::vector<cell_member> members;
    std::vector<owner_entry> owners;
    balance_state balance;
    report_query query;
    std::mt19937_64 random{3};
    steady_time now = start;
};

/** Names of the candidates, in order. */
std::string namesOf(const routing_report &report)
{
    std::string names;
    for (const auto &candidate : report.candidates) {
        names += candidate.member.id.value;
    }
    return names;
}

const candidate_report &candidate(const routing_report &report, const std::string &name)
{
    return *std::find_if(report.candidates.begin(), report.candidates.end(),
                         [&](const auto &entry) { return entry.member.id.value == name; });
}

std::string chosenName(const routing_report &report)
{
    const auto found = std::find_if(report.candidates.begin(), report.candidates.end(),
                                    [](const auto &entry) { return entry.chosen; });
    return found == report.candidates.end() ? "" : found->member.id.value;
}

} // namespace

// Operators act on the owner, fence and revision that are shown: those of another slot would mislead them.
TEST(routingReport, aKeyIsExplainedByItsSlotAndOwner)
{
    report_world world;
    for (std::uint32_t slot = 0; slot < 2; ++slot) {
        const auto report = world.explain(keyedPool, world.keyOf(slot));
        EXPECT_EQ(report.result, report_result::chosen);
        EXPECT_EQ(report.route, "formulas");
        EXPECT_EQ(report.prefix, "/formulas/");
        EXPECT_EQ(report.tables, 7U);
        EXPECT_TRUE(report.keyed);
        EXPECT_EQ(report.slot, slot_number{slot});
        EXPECT_EQ(report.fence, fence_number{11 + slot});
        EXPECT_EQ(report.ownersRevision, revision_number{21});
        EXPECT_EQ(chosenName(report), slot == 0 ? "k1" : "k2");
        EXPECT_TRUE(report.reason.empty());
    }
}

// A slot without an owner must not look like a request that is served.
TEST(routingReport, aSlotWithoutOwnerIsRefused)
{
    report_world world;
    world.owners[0].memberIndex = -1;
    const auto report = world.explain(keyedPool, world.keyOf(0));
    EXPECT_EQ(report.result, report_result::refused);
    EXPECT_EQ(report.reason, "no-owner");
    EXPECT_EQ(report.retryAfter, milliseconds(1000));
    EXPECT_FALSE(report.hasOwner);
    EXPECT_TRUE(report.candidates.empty());
    EXPECT_EQ(world.explain(pool_id{"unknown"}).reason, "no-pool");
}

// Missing routes and missing tables have different causes and remedies.
TEST(routingReport, noRouteAndNoTablesAreToldApart)
{
    report_world world;
    world.query.path = "/other/x";
    auto report = explainRouting(world.view, world.balance, world.query, world.random, world.now);
    EXPECT_EQ(report.result, report_result::no_route);
    EXPECT_EQ(report.reason, "no-route");
    report = explainRouting({}, world.balance, world.query, world.random, world.now);
    EXPECT_EQ(report.result, report_result::no_tables);
    EXPECT_EQ(report.reason, "no-tables-yet");
    world.query.completeTables = true;
    report = explainRouting(world.view, world.balance, world.query, world.random, world.now);
    EXPECT_EQ(report.result, report_result::no_tables) << "rows of a cell deployment don't count with a roster";
}

// The regions of the route restrict candidates and owners, and the report names the cause.
TEST(routingReport, regionsThatAreNotAllowedAreShownAndNotChosen)
{
    report_world world;
    for (auto &route : world.view.routes) {
        route.regions = {{"south"}};
    }
    auto report = world.explain(openPool);
    EXPECT_EQ(chosenName(report), "d");
    EXPECT_EQ(report.candidates.size(), 4U);
    EXPECT_EQ(report.candidates.front().member.id.value, "d");
    EXPECT_FALSE(candidate(report, "a").allowed);
    EXPECT_EQ(report.allowed.regions, (std::vector<region_id>{{"south"}}));
    report = world.explain(keyedPool, world.keyOf(0));
    EXPECT_EQ(report.reason, "no-allowed-target");
    EXPECT_EQ(report.retryAfter, milliseconds(1000));
    EXPECT_EQ(namesOf(report), "k1") << "the owner is shown also if it may not serve the request";
    EXPECT_FALSE(candidate(report, "k1").allowed);
    world.member("d").leaving = true;
    report = world.explain(openPool);
    EXPECT_EQ(report.reason, "no-allowed-target") << "as for a request when all targets of the region are leaving";
}

// Owners in a drained domain still serve for a while, unlike targets without keys.
TEST(routingReport, drainedDomainsAreShownAndNotChosen)
{
    report_world world;
    world.drain("n1", start);
    auto report = world.explain(openPool);
    EXPECT_EQ(chosenName(report), "c");
    EXPECT_TRUE(candidate(report, "a").drained);
    EXPECT_FALSE(candidate(report, "c").drained);
    EXPECT_EQ(chosenName(world.explain(keyedPool, world.keyOf(0))), "k1");
    world.now = start + milliseconds(3001);
    report = world.explain(keyedPool, world.keyOf(0));
    EXPECT_EQ(report.reason, "domain-drained");
    EXPECT_TRUE(candidate(report, "k1").drained);
    world.drain("n2", start);
    world.drain("s1", start);
    EXPECT_EQ(world.explain(openPool).reason, "domain-drained");
}

// Leaving and tried targets are never chosen, ejected ones only as the last resort.
TEST(routingReport, leavingEjectedAndTriedTargetsAreLast)
{
    for (const bool bySpeed : {false, true}) {
        report_world world;
        world.query.rules.bySpeed = bySpeed;
        world.member("a").leaving = true;
        world.query.tried.insert({"b"});
        world.balance.targets[{"c"}].ejectedUntil = start + milliseconds(500);
        auto report = world.explain(openPool);
        EXPECT_EQ(chosenName(report), "d");
        EXPECT_EQ(namesOf(report).substr(0, 2), "dc");
        EXPECT_TRUE(candidate(report, "a").member.leaving);
        EXPECT_TRUE(candidate(report, "b").tried);
        EXPECT_TRUE(candidate(report, "c").ejected);
        world.query.tried.insert({"d"});
        EXPECT_EQ(chosenName(world.explain(openPool)), "c");
        world.query.tried.insert({"c"});
        report = world.explain(openPool);
        EXPECT_EQ(report.result, report_result::refused);
        EXPECT_EQ(chosenName(report), "");
    }
}

// The order shown is the order of preference: load, distance and speed as in the choice.
TEST(routingReport, candidatesAreInOrderOfPreference)
{
    report_world world;
    EXPECT_EQ(namesOf(world.explain(openPool)), "abcd");
    recordLoad(world.balance, {"a"}, 0.9, start);
    auto report = world.explain(openPool);
    EXPECT_EQ(namesOf(report), "bcad");
    EXPECT_DOUBLE_EQ(candidate(report, "a").load, 0.9);
    EXPECT_EQ(candidate(report, "a").reportAge, milliseconds(0));
    EXPECT_FALSE(candidate(report, "b").reportAge);
    EXPECT_EQ(candidate(report, "a").distance, target_distance::local);
    EXPECT_EQ(candidate(report, "b").distance, target_distance::same_domain);
    EXPECT_EQ(candidate(report, "c").distance, target_distance::same_region);
    EXPECT_EQ(candidate(report, "d").distance, target_distance::other_region);
    EXPECT_FALSE(candidate(report, "a").speed);
}

TEST(routingReport, learnedSpeedsAreShownAndDecide)
{
    report_world world;
    world.query.rules.bySpeed = true;
    for (int round = 0; round < 20; ++round) {
        recordSpeed(world.balance, world.members[2], {400, 0.2, {}}, start);
        recordSpeed(world.balance, world.members[3], {100, 0.2, {}}, start);
        recordSpeed(world.balance, world.members[4], {100, 0.2, {}}, start);
    }
    auto report = world.explain(openPool);
    EXPECT_EQ(chosenName(report), "b");
    EXPECT_EQ(namesOf(report), "bcad") << "other regions come last while this one has capacity";
    ASSERT_TRUE(candidate(report, "a").speed);
    EXPECT_LT(*candidate(report, "a").speed, *candidate(report, "b").speed);
    EXPECT_FALSE(candidate(report, "d").speed);
    EXPECT_TRUE(report.expected);
    for (std::size_t at = 2; at < 5; ++at) {
        recordLoad(world.balance, world.members[at].id, 4, start);
    }
    report = world.explain(openPool);
    EXPECT_EQ(chosenName(report), "d");
    EXPECT_EQ(report.candidates.front().member.id.value, "d");
}

// The choice that is shown is the one that the same state and random numbers give to a request.
TEST(routingReport, theChoiceIsThatOfRequests)
{
    for (const bool bySpeed : {false, true}) {
        report_world world;
        world.query.rules.bySpeed = bySpeed;
        for (int round = 0; round < 200; ++round) {
            const auto report = world.explain(openPool);
            auto targets = findEligible(world.view, {"a.example", "/sheets/x", openPool, "", {}}, world.now);
            const auto *chosen = chooseEligible(targets, world.balance, world.query.rules, {}, world.random, world.now);
            ASSERT_NE(chosen, nullptr);
            EXPECT_EQ(chosenName(report), chosen->id.value);
            recordStart(world.balance, chosen->id);
            recordSpeed(world.balance, *chosen, {static_cast<double>(50 + world.random() % 100), 0.1, {}}, world.now);
            world.now += milliseconds(20);
        }
    }
}

// The report of a pool with thousands of targets must stay small, and still show the chosen one.
TEST(routingReport, theNumberOfCandidatesIsBounded)
{
    report_world world;
    for (int number = 0; number < 500; ++number) {
        world.members.push_back(makeMember("x" + std::to_string(number), openPool, "north", "n3"));
        recordLoad(world.balance, world.members.back().id, 0.01 * (number % 7), start);
    }
    for (const bool bySpeed : {false, true}) {
        world.query.rules.bySpeed = bySpeed;
        world.query.tried = {{"a"}, {"b"}, {"c"}};
        for (int round = 0; round < 50; ++round) {
            world.random();
            const auto report = world.explain(openPool);
            EXPECT_EQ(report.candidates.size(), 50U);
            EXPECT_EQ(report.omittedCandidates, 454U);
            EXPECT_NE(chosenName(report), "");
        }
    }
}

} // namespace quetzalspool::test
