/** @file routing_test.cpp Routing views, catalogs and the choice of external voters. */
#include "catalog_func.h"
#include "record_func.h"
#include "routing_func.h"
#include "row_func.h"

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
