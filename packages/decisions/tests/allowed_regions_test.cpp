/** @file allowed_regions_test.cpp Requests reach no target outside the regions that their route allows. */
#include "allowed_regions_func.h"
#include "drained_domains_func.h"
#include "routing_func.h"
#include "scope_filter_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

const region_id north{"north"};
const region_id south{"south"};
const region_id west{"west"};
const steady_time start{std::chrono::seconds(1000)};

cell_member memberAt(const std::string &name, const region_id &region, const std::string &domain)
{
    cell_member member;
    member.id.value = name;
    member.region = region;
    member.domain.value = domain;
    member.target.pool.value = "p";
    return member;
}

/** A view with targets n1 and n2 in two domains of the north, and s1 in the south. */
routing_view viewWith(std::vector<route_row> routes)
{
    routing_view view;
    auto cell = std::make_shared<cell_view>();
    cell->members = {memberAt("n1", north, "n-a"), memberAt("n2", north, "n-b"), memberAt("s1", south, "s-a")};
    view.cells[cell_id{"c"}] = std::move(cell);
    tables_snapshot rows;
    rows.routes = std::move(routes);
    view.table = makeRouteTable(std::move(rows));
    return view;
}

route_row routeTo(const std::string &prefix, const std::string &pool, std::vector<region_id> regions)
{
    route_row row;
    row.name = prefix;
    row.host = "a.example";
    row.prefix = prefix;
    row.pool.value = pool;
    row.regions = std::move(regions);
    return row;
}

std::vector<std::string> namesOf(const std::vector<const cell_member *> &members)
{
    std::vector<std::string> names;
    for (const auto *member : members) {
        names.push_back(member->id.value);
    }
    return names;
}

placement_regions placementOf(std::vector<route_row> routes)
{
    tables_snapshot rows;
    rows.routes = std::move(routes);
    rows.pools = {pool_row{pool_id{"keyed"}, true}, pool_row{pool_id{"plain"}, false}};
    return findPlacementRegions(rows);
}

} // namespace

// A list without regions must not be taken for "no region is allowed", nor a contradiction for "all are".
TEST(allowedRegions, restrictionsOfRouteAndTeamBothApply)
{
    const auto any = intersectRegions({}, {});
    EXPECT_TRUE(allowsRegion(any, north));
    EXPECT_TRUE(allowsRegion(any, region_id{}));
    const auto route = intersectRegions(any, {north, south});
    EXPECT_TRUE(allowsRegion(route, south));
    EXPECT_FALSE(allowsRegion(route, west));
    EXPECT_EQ(intersectRegions(route, {}), route);
    const auto both = intersectRegions(route, {south, west});
    EXPECT_EQ(both.regions, std::vector{south});
    const auto none = intersectRegions(both, {west});
    EXPECT_TRUE(none.restricted);
    EXPECT_FALSE(allowsRegion(none, south));
    EXPECT_FALSE(allowsRegion(none, west));
    EXPECT_FALSE(allowsRegion(intersectRegions(none, {south}), south));
}

// A request in progress must obey a new version of the tables at its next attempt.
TEST(allowedRegions, areLookedUpInTheCurrentTables)
{
    const auto view = viewWith({routeTo("/r/", "p", {south})});
    EXPECT_TRUE(allowsRegion(findAllowedRegions(view, "a.example", "/r/1?x=/y/", {north}), south));
    EXPECT_FALSE(allowsRegion(findAllowedRegions(view, "a.example", "/r/1?x=/y/", {north}), north));
    const auto removed = findAllowedRegions(view, "a.example", "/gone/1", {north});
    EXPECT_TRUE(allowsRegion(removed, north)) << "a removed route leaves the restriction known on arrival";
    EXPECT_FALSE(allowsRegion(removed, south));
}

// No target outside the regions may be chosen, whatever remains.
TEST(allowedRegions, targetsOutsideAreNotCandidates)
{
    const auto view = viewWith({});
    auto members = membersOf(view, pool_id{"p"});
    EXPECT_EQ(keepInScope(view, intersectRegions({}, {south}), members), target_scope::open);
    EXPECT_EQ(namesOf(members), std::vector<std::string>{"s1"});
    members = membersOf(view, pool_id{"p"});
    EXPECT_EQ(keepInScope(view, intersectRegions({}, {west}), members), target_scope::not_allowed);
    EXPECT_TRUE(members.empty());
    EXPECT_STREQ(nameOf(target_scope::not_allowed), "no-allowed-target");
    members = membersOf(view, pool_id{"p"});
    EXPECT_EQ(keepInScope(view, {}, members), target_scope::open);
    EXPECT_EQ(members.size(), 3U);
}

// Only the owner may serve a key: an owner outside the regions must not get the request.
TEST(allowedRegions, anOwnerOutsideIsRefused)
{
    const auto view = viewWith({});
    const auto owner = memberAt("s1", south, "s-a");
    EXPECT_EQ(scopeOfOwner(view, owner, intersectRegions({}, {north}), start), target_scope::not_allowed);
    EXPECT_EQ(scopeOfOwner(view, owner, intersectRegions({}, {north, south}), start), target_scope::open);
    EXPECT_EQ(scopeOfOwner(view, owner, {}, start), target_scope::open);
}

// With a region cut off, requests restricted to it must not wait for an owner that can't come.
TEST(allowedRegions, aSlotWithoutOwnerIsWaitedForOnlyIfATargetIsAllowed)
{
    const auto view = viewWith({});
    EXPECT_EQ(scopeOfUnowned(view, pool_id{"p"}, intersectRegions({}, {south})), target_scope::open);
    EXPECT_EQ(scopeOfUnowned(view, pool_id{"p"}, intersectRegions({}, {west})), target_scope::not_allowed);
    EXPECT_EQ(scopeOfUnowned(view, pool_id{"q"}, intersectRegions({}, {south})), target_scope::not_allowed);
    EXPECT_EQ(scopeOfUnowned(view, pool_id{"q"}, {}), target_scope::open) << "without a restriction as before";
}

// Slots must lie where every restricted route can reach them; a contradiction must not leave the pool without owners.
TEST(allowedRegions, slotsArePlacedWhereAllRoutesAllowThem)
{
    const pool_id keyed{"keyed"};
    EXPECT_TRUE(placementOf({routeTo("/a/", "keyed", {})}).empty());
    auto found = placementOf({routeTo("/a/", "keyed", {}), routeTo("/b/", "keyed", {north, south}),
                              routeTo("/c/", "keyed", {west, south}), routeTo("/d/", "plain", {north})});
    ASSERT_EQ(found.size(), 1U) << "pools without keys have no slots";
    EXPECT_EQ(found.at(keyed).regions, std::vector{south});
    EXPECT_TRUE(placementOf({routeTo("/b/", "keyed", {north}), routeTo("/c/", "keyed", {south})}).empty());
    auto shared = routeTo("/e/", "plain", {north});
    shared.shares = {{pool_id{"plain"}, 9}, {keyed, 1}};
    EXPECT_EQ(placementOf({shared}).at(keyed).regions, std::vector{north}) << "a share of a route counts too";
    shared.shares[1].weight = 0;
    EXPECT_TRUE(placementOf({shared}).empty());
}

// While slots are handed over, keyed requests are served; at the end of that time, no request may be sent.
TEST(drainedDomains, keyedRequestsAreSentUntilTheLimit)
{
    auto view = viewWith({});
    view.drained.keyedLimit = keyedLimitFor(milliseconds(5000));
    ASSERT_EQ(view.drained.keyedLimit, milliseconds(3750));
    EXPECT_TRUE(beginDrain(view.drained, domain_id{"s-a"}, start));
    EXPECT_FALSE(beginDrain(view.drained, domain_id{"s-a"}, start + milliseconds(900))) << "later news extend nothing";
    const auto owner = memberAt("s1", south, "s-a");
    EXPECT_EQ(scopeOfOwner(view, owner, {}, start + milliseconds(3749)), target_scope::open);
    EXPECT_EQ(scopeOfOwner(view, owner, {}, start + milliseconds(3750)), target_scope::drained);
    EXPECT_EQ(scopeOfOwner(view, memberAt("n1", north, "n-a"), {}, start + milliseconds(3750)), target_scope::open);
    EXPECT_TRUE(endDrain(view.drained, domain_id{"s-a"}));
    EXPECT_FALSE(endDrain(view.drained, domain_id{"s-a"}));
    EXPECT_EQ(scopeOfOwner(view, owner, {}, start + milliseconds(9000)), target_scope::open);
}

// Requests without keys must leave the domain at once, with two domains drained as well.
TEST(drainedDomains, targetsInsideAreNotCandidates)
{
    auto view = viewWith({});
    beginDrain(view.drained, domain_id{"n-a"}, start);
    auto members = membersOf(view, pool_id{"p"});
    EXPECT_EQ(keepInScope(view, {}, members), target_scope::open);
    EXPECT_EQ(namesOf(members), (std::vector<std::string>{"n2", "s1"}));
    beginDrain(view.drained, domain_id{"n-b"}, start);
    members = membersOf(view, pool_id{"p"});
    EXPECT_EQ(keepInScope(view, {}, members), target_scope::open);
    EXPECT_EQ(namesOf(members), std::vector<std::string>{"s1"});
    members = membersOf(view, pool_id{"p"});
    EXPECT_EQ(keepInScope(view, intersectRegions({}, {north}), members), target_scope::drained);
    EXPECT_EQ(scopeOfUnowned(view, pool_id{"p"}, intersectRegions({}, {north})), target_scope::drained);
    endDrain(view.drained, domain_id{"n-a"});
    members = membersOf(view, pool_id{"p"});
    EXPECT_EQ(keepInScope(view, intersectRegions({}, {north}), members), target_scope::open);
}

} // namespace quetzalspool::test
