/** @file routing_test.cpp Routing views, catalogs and the choice of external voters. */
#include "catalog_func.h"
#include "drained_domains_func.h"
#include "record_func.h"
#include "routing_func.h"
#include "row_func.h"
#include "scope_filter_func.h"

#include <gtest/gtest.h>
#include <set>

namespace quetzalspool::test {

namespace {

document rowDocument(const std::string &key, std::int64_t revision, const table_row &row)
{
    return {key, {revision}, std::make_shared<const std::string>(formatRow(row))};
}

document cellDocument(const std::string &name, const std::string &region, std::uint32_t first, std::uint32_t last,
                      std::size_t members)
{
    cell_record record;
    record.id.value = name;
    for (std::size_t index = 0; index < members; ++index) {
        cell_member member;
        member.id.value = name + "-" + std::to_string(index);
        member.region.value = region;
        member.target.pool.value = "keyed";
        record.members.push_back(member);
    }
    for (auto slot = first; slot < last; ++slot) {
        record.pools[pool_id{"keyed"}].push_back({{slot}, record.members[slot % members].id, {slot + 1}});
    }
    return {"cells/" + name, {10}, std::make_shared<const std::string>(formatRecord(record))};
}

routing_view twoCellView()
{
    routing_view view;
    last_reason why;
    const pool_row pool{pool_id{"keyed"}, true, 10, {{{"a"}, 3}, {{"b"}, 2}}};
    view = *withDocument(view, rowDocument("pools/keyed", 1, pool), why);
    view = *withDocument(view, cellDocument("a", "north", 0, 6, 2), why);
    view = *withDocument(view, cellDocument("b", "south", 6, 10, 2), why);
    return view;
}

} // namespace

TEST(routing, findsTheOwnerOfEverySlotInItsCell)
{
    const auto view = twoCellView();
    for (std::uint32_t slot = 0; slot < 10; ++slot) {
        const auto owner = findOwner(view, pool_id{"keyed"}, {slot});
        ASSERT_TRUE(owner.has_value()) << slot;
        EXPECT_EQ(owner->member->id.value, (slot < 6 ? "a-" : "b-") + std::to_string(slot % 2));
        EXPECT_EQ(owner->fence.value, slot + 1);
    }
    EXPECT_FALSE(findOwner(view, pool_id{"keyed"}, {10}));
    EXPECT_FALSE(findOwner(view, pool_id{"other"}, {0}));
    EXPECT_FALSE(namesOtherOwner(view, pool_id{"keyed"}, {3}, {4}));
    EXPECT_TRUE(namesOtherOwner(view, pool_id{"keyed"}, {3}, {3})) << "a retry need not wait any longer";
    EXPECT_TRUE(namesOtherOwner(view, pool_id{"keyed"}, {3}, {})) << "no owner was known before";
    EXPECT_FALSE(namesOtherOwner(view, pool_id{"keyed"}, {10}, {})) << "no owner is known yet";
}

TEST(routing, matchesLongestPrefixAtSegmentBoundary)
{
    routing_view view;
    last_reason why;
    view = *withDocument(view, rowDocument("routes/short", 1, route_row{"short", "/a", pool_id{"p"}}), why);
    view = *withDocument(view, rowDocument("routes/long", 2, route_row{"long", "/a/b", pool_id{"p"}}), why);
    EXPECT_EQ(findRoute(view, "", "/a/b/c")->name, "long");
    EXPECT_EQ(findRoute(view, "", "/a/bc")->name, "short");
    EXPECT_EQ(findRoute(view, "", "/a?x=1")->name, "short");
    EXPECT_EQ(findRoute(view, "", "/ab"), nullptr);
    view = *withDocument(view, rowDocument("routes/long", 3, removed_row{}), why);
    EXPECT_EQ(findRoute(view, "", "/a/b/c")->name, "short");
}

TEST(routing, rejectsMalformedDocument)
{
    const auto view = twoCellView();
    last_reason why;
    const document damaged{"pools/keyed", {20}, std::make_shared<const std::string>("{\"name\":3}")};
    EXPECT_FALSE(withDocument(view, damaged, why));
    EXPECT_FALSE(why.text.empty());
}

// A daemon that learns late must not serve keys for the whole limit from then on, and a row that is written again must
// not extend it.
TEST(routing, domainRowsBeginAndEndDrains)
{
    const steady_time start{std::chrono::hours(1)};
    const domain_id domain{"z1"};
    last_reason why;
    auto drain = rowDocument("domains/z1", 20, domain_row{domain, true});
    drain.since = start;
    auto view = *withDocument(twoCellView(), drain, why);
    EXPECT_EQ(drainedSince(view.drained, domain), start);
    EXPECT_FALSE(isDrainOver(view.drained, domain, start + milliseconds(3749)));
    EXPECT_TRUE(isDrainOver(view.drained, domain, start + milliseconds(3750)));
    EXPECT_EQ(view.tablesRevision.value, 20);
    drain.revision = {21};
    drain.since = start + std::chrono::seconds(9);
    view = *withDocument(view, drain, why);
    EXPECT_EQ(drainedSince(view.drained, domain), start);
    const auto restored = *withDocument(view, rowDocument("domains/z1", 22, domain_row{domain, false}), why);
    EXPECT_FALSE(isDrained(restored.drained, domain));
    const auto removed = *withDocument(view, rowDocument("domains/z1", 22, removed_row{}), why);
    EXPECT_FALSE(isDrained(removed.drained, domain));
    EXPECT_TRUE(
        isDrained(withDocument(view, rowDocument("domains/z2", 22, domain_row{{"z2"}, false}), why)->drained, domain))
        << "the row of another domain";
    EXPECT_FALSE(withDocument(view, rowDocument("domains/z1", 22, domain_row{{"z2"}, false}), why));
}

// Requests with and without keys must not reach the domain; also if it is the last one of the pool.
TEST(routing, targetsOfADrainedDomainAreOutOfScope)
{
    const steady_time start{std::chrono::hours(1)};
    const pool_id pool{"keyed"};
    last_reason why;
    auto view = twoCellView(); // Its members are in the failure domain without a name.
    auto north = std::make_shared<cell_view>(*view.cells.at({"a"}));
    for (auto &member : north->members) {
        member.domain.value = "z1";
    }
    auto south = std::make_shared<cell_view>(*view.cells.at({"b"}));
    for (auto &member : south->members) {
        member.domain.value = "z2";
    }
    view.cells[{"a"}] = north;
    view.cells[{"b"}] = south;
    auto drain = rowDocument("domains/z1", 20, domain_row{{"z1"}, true});
    drain.since = start;
    view = *withDocument(view, drain, why);
    auto members = membersOf(view, pool);
    EXPECT_EQ(keepInScope(view, {}, members), target_scope::open);
    EXPECT_EQ(members.size(), 2U);
    const auto inside = findOwner(view, pool, {0});
    const auto outside = findOwner(view, pool, {6});
    ASSERT_TRUE(inside && outside);
    EXPECT_EQ(scopeOfOwner(view, *inside->member, {}, start + milliseconds(3749)), target_scope::open);
    EXPECT_EQ(scopeOfOwner(view, *inside->member, {}, start + milliseconds(3750)), target_scope::drained);
    EXPECT_EQ(scopeOfOwner(view, *outside->member, {}, start + milliseconds(3750)), target_scope::open);
    drain = rowDocument("domains/z2", 21, domain_row{{"z2"}, true});
    drain.since = start;
    view = *withDocument(view, drain, why);
    members = membersOf(view, pool);
    EXPECT_EQ(keepInScope(view, {}, members), target_scope::drained);
    EXPECT_EQ(scopeOfUnowned(view, pool, {}), target_scope::drained);
    view = *withDocument(view, rowDocument("domains/z2", 22, domain_row{{"z2"}, false}), why);
    EXPECT_EQ(scopeOfOwner(view, *findOwner(view, pool, {6})->member, {}, start + milliseconds(9000)),
              target_scope::open);
}

TEST(routing, externalVotersAreSpread)
{
    routing_view view;
    last_reason why;
    std::set<instance_id> chosen;
    for (int cell = 0; cell < 8; ++cell) {
        view = *withDocument(view, cellDocument("n" + std::to_string(cell), "north", 0, 1, 10), why);
        view = *withDocument(view, cellDocument("s" + std::to_string(cell), "south", 0, 1, 10), why);
    }
    for (int cell = 0; cell < 8; ++cell) {
        const auto *outside = chooseExternalVoter(view, {"n" + std::to_string(cell)}, {"north"});
        ASSERT_NE(outside, nullptr);
        EXPECT_EQ(outside->region.value, "south");
        chosen.insert(outside->id);
    }
    EXPECT_GE(chosen.size(), 6U);
    int watching = 0;
    for (const auto &entry : view.cells) {
        watching += coordinatorWatchesStore(view, entry.first, entry.second->members.front().region) ? 1 : 0;
    }
    EXPECT_EQ(watching, 6) << "three cells of each of two regions";
}

TEST(catalog, rejectsOlderRevisions)
{
    catalog_state catalog;
    const auto value = std::make_shared<const std::string>("x");
    EXPECT_TRUE(applyDocument(catalog, {"routes/a", {5}, value}));
    EXPECT_FALSE(applyDocument(catalog, {"routes/a", {5}, value}));
    EXPECT_FALSE(applyDocument(catalog, {"routes/a", {4}, value}));
    EXPECT_EQ(catalog.staleRefused, 1U);
    EXPECT_TRUE(applyDocument(catalog, {"routes/a", {6}, value}));
}

TEST(catalog, digestIsIndependentOfOrder)
{
    catalog_state one;
    catalog_state two;
    const auto value = std::make_shared<const std::string>("x");
    applyDocument(one, {"routes/a", {5}, value});
    applyDocument(one, {"routes/b", {7}, value});
    applyDocument(two, {"routes/b", {3}, value});
    applyDocument(two, {"routes/b", {7}, value});
    EXPECT_NE(catalogDigest(one), catalogDigest(two));
    const std::vector<std::uint64_t> buckets(two.buckets.begin(), two.buckets.end());
    EXPECT_EQ(keysToFetch(two, differingDocuments(one, buckets)), std::vector<std::string>{"routes/a"});
    applyDocument(two, {"routes/a", {5}, value});
    EXPECT_EQ(catalogDigest(one), catalogDigest(two));
}

} // namespace quetzalspool::test
