/** @file edit_test.cpp Tests of parsing rows and of validating operators' changes. */
#include "edit_func.h"
#include "row_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

const std::chrono::minutes noon{12 * 60};

route_row makeRoute(const std::string &name, const std::string &pool)
{
    route_row row;
    row.name = name;
    row.prefix = "/" + name;
    row.pool.value = pool;
    return row;
}

pool_row makePool(const std::string &name)
{
    pool_row row;
    row.name.value = name;
    return row;
}

current_tables makeTables()
{
    rules_row rules;
    rules.operators = {{"asha", "a-hash", {"routes/", "pools/"}}, {"luis", "l-hash", {"routes/"}}};
    rules.needApproval = {"pools/"};
    rules.quiet = {{22 * 60, 5 * 60}};
    rules.maxRows = 2;
    return {{"pools/desk", {makePool("desk"), {5}}},
            {"routes/look", {makeRoute("look", "desk"), {6}}},
            {"rules/changes", {rules, {7}}}};
}

table_edit makeEdit(const std::string &name, const std::string &hash, std::vector<keyed_row> rows)
{
    table_edit edit;
    edit.operatorName = name;
    edit.keyHash = hash;
    edit.rows = std::move(rows);
    return edit;
}

edit_refusal planRefusal(const table_edit &edit, std::chrono::minutes at = noon)
{
    return planEdit(makeTables(), {}, edit, at).refused;
}

/** Parses an invalid file and returns the error message. */
std::string parseFailure(const std::string &text)
{
    last_reason why;
    EXPECT_FALSE(parseTables(text, "file", why));
    return describe(why);
}

} // namespace

TEST(edit, acceptsPermittedChanges)
{
    const auto result =
        planEdit(makeTables(), {}, makeEdit("luis", "l-hash", {{"routes/new", makeRoute("new", "desk")}}), noon);
    ASSERT_TRUE(result.plan.has_value());
    EXPECT_EQ(result.plan->changes.size(), 1U);
    EXPECT_FALSE(result.plan->needsApproval);
    EXPECT_EQ(result.plan->references, std::vector<std::string>{"refs/desk"});
    EXPECT_EQ(result.plan->conditions.size(), 2U) << "the pool and the rules must not change concurrently";
}

TEST(edit, refusesWrongKeysAndRowsWithoutPermission)
{
    EXPECT_EQ(planRefusal(makeEdit("luis", "a-hash", {{"routes/new", makeRoute("new", "desk")}})),
              edit_refusal::operator_unknown);
    EXPECT_EQ(planRefusal(makeEdit("", "", {{"routes/new", makeRoute("new", "desk")}})),
              edit_refusal::operator_unknown);
    EXPECT_EQ(planRefusal(makeEdit("luis", "l-hash", {{"pools/desk", makePool("desk")}})), edit_refusal::not_allowed);
}

TEST(edit, refusesInQuietTimesAndTooManyRows)
{
    const auto edit = makeEdit("luis", "l-hash", {{"routes/new", makeRoute("new", "desk")}});
    EXPECT_EQ(planRefusal(edit, std::chrono::minutes(23 * 60)), edit_refusal::quiet);
    EXPECT_EQ(planRefusal(edit, std::chrono::minutes(3 * 60)), edit_refusal::quiet);
    EXPECT_EQ(planRefusal(edit, std::chrono::minutes(5 * 60)), edit_refusal::none);
    EXPECT_EQ(planRefusal(makeEdit("luis", "l-hash",
                                   {{"routes/a", makeRoute("a", "desk")},
                                    {"routes/b", makeRoute("b", "desk")},
                                    {"routes/c", makeRoute("c", "desk")}})),
              edit_refusal::too_many);
}

TEST(edit, poolChangesNeedApproval)
{
    auto pool = makePool("desk");
    pool.queue = 99;
    const auto result = planEdit(makeTables(), {}, makeEdit("asha", "a-hash", {{"pools/desk", pool}}), noon);
    ASSERT_TRUE(result.plan.has_value());
    EXPECT_TRUE(result.plan->needsApproval);
}

TEST(edit, everyRouteKeepsItsPool)
{
    EXPECT_EQ(planRefusal(makeEdit("asha", "a-hash", {{"pools/desk", removed_row{}}})), edit_refusal::invalid);
    EXPECT_EQ(planRefusal(makeEdit("luis", "l-hash", {{"routes/new", makeRoute("new", "none")}})),
              edit_refusal::invalid);
    const auto both =
        planEdit(makeTables(), {{"refs/desk", {9}}},
                 makeEdit("asha", "a-hash", {{"pools/desk", removed_row{}}, {"routes/look", removed_row{}}}), noon);
    ASSERT_TRUE(both.plan.has_value());
    const auto &conditions = both.plan->conditions;
    const bool guarded = std::any_of(conditions.begin(), conditions.end(), [](const auto &condition) {
        return condition.key == "refs/desk" && condition.revision.value == 9;
    });
    EXPECT_TRUE(guarded) << "a route that is added concurrently writes the guard";
}

TEST(edit, aKeyedPoolCannotReuseTheNameOfARemovedPool)
{
    auto tables = makeTables();
    tables["pools/old"] = {removed_row{}, {9}};
    auto pool = makePool("old");
    EXPECT_TRUE(planEdit(tables, {}, makeEdit("asha", "a-hash", {{"pools/old", pool}}), noon).plan.has_value());
    pool.keyed = true;
    pool.slots = 8;
    pool.homes = {{{"north"}, 1}};
    EXPECT_EQ(planEdit(tables, {}, makeEdit("asha", "a-hash", {{"pools/old", pool}}), noon).refused,
              edit_refusal::invalid);
}

TEST(edit, reportsRowsChangedSince)
{
    auto edit = makeEdit("luis", "l-hash", {{"routes/look", makeRoute("look", "desk")}});
    edit.bases["routes/look"] = {4};
    const auto result = planEdit(makeTables(), {}, edit, noon);
    EXPECT_EQ(result.refused, edit_refusal::conflict);
    ASSERT_EQ(result.conflicts.size(), 1U);
    EXPECT_EQ(result.conflicts.front().revision.value, 6);
}

TEST(rows, roundTripThroughJson)
{
    auto route = makeRoute("look", "desk");
    route.keyFrom = key_source::path;
    route.kind = request_class::order;
    route.callers = {"10.0.0.0/8"};
    auto pool = makePool("desk");
    pool.keyed = true;
    pool.slots = 8;
    pool.homes = {{{"north"}, 2}};
    last_reason why;
    EXPECT_EQ(std::get<route_row>(*parseRow("routes/look", formatRow(route), why)), route);
    EXPECT_EQ(std::get<pool_row>(*parseRow("pools/desk", formatRow(pool), why)), pool);
    const auto rules = std::get<rules_row>(makeTables().at("rules/changes").row);
    EXPECT_EQ(std::get<rules_row>(*parseRow("rules/changes", formatRow(rules), why)), rules);
}

TEST(rows, badFilesAreRefusedWithFileAndLine)
{
    EXPECT_NE(parseFailure("[[pool]]\nname = \"a\"\nkyed = true\n").find("file:3: unknown key \"kyed\""),
              std::string::npos);
    EXPECT_NE(parseFailure("[[pool]]\nname = 3\n").find("file:2"), std::string::npos);
    EXPECT_NE(parseFailure("[[pool]]\nname = \"a\"\nqueue = -1\n").find("from 0 to"), std::string::npos);
    EXPECT_NE(parseFailure("[[pool]]\nname = \"a\"\nkeyed = true\n").find("needs slots and homes"), std::string::npos);
    EXPECT_NE(parseFailure("[[pool]]\nname = \"a\"\n[[pool]]\nname = \"a\"\n").find("given twice"), std::string::npos);
    EXPECT_NE(parseFailure("[[rout]]\n").find("expected [[route]]"), std::string::npos);
    EXPECT_NE(parseFailure("[[route]\n").find("file:1"), std::string::npos);
}

// A restriction that is lost on the way from the file to the daemons would let bodies leave their regions.
TEST(tables, aRouteKeepsItsRegions)
{
    last_reason why;
    const std::string text = "[[route]]\nname = \"r\"\nprefix = \"/r\"\npool = \"p\"\nregions = [\"r1\", \"r2\"]\n";
    const auto rows = parseTables(text, "file", why);
    ASSERT_TRUE(rows.has_value()) << describe(why);
    const auto &row = std::get<route_row>(rows->front().row);
    EXPECT_EQ(row.regions, (std::vector<region_id>{{"r1"}, {"r2"}}));
    const auto stored = parseRow("routes/r", formatRow(row), why);
    ASSERT_TRUE(stored.has_value()) << describe(why);
    EXPECT_EQ(std::get<route_row>(*stored), row);
}

// Rows that an earlier version stored have no such field and must stay readable.
TEST(tables, aStoredRouteWithoutRegionsAllowsAll)
{
    last_reason why;
    auto text = formatRow(makeRoute("look", "desk"));
    const std::string field = R"("regions":[])";
    const auto at = text.find(field);
    ASSERT_NE(at, std::string::npos);
    text.erase(at, field.size());
    text.erase(text[at] == ',' ? at : at - 1, 1);
    const auto stored = parseRow("routes/look", text, why);
    ASSERT_TRUE(stored.has_value()) << describe(why);
    EXPECT_EQ(std::get<route_row>(*stored), makeRoute("look", "desk"));
}

// An empty name would restrict the route to no region at all.
TEST(tables, aRegionOfARouteNeedsAName)
{
    const std::string text = "[[route]]\nname = \"r\"\nprefix = \"/r\"\npool = \"p\"\nregions = [\"\"]\n";
    EXPECT_NE(parseFailure(text).find("a region of a route needs a name"), std::string::npos);
}

// A drain that is lost on the way from the file to the daemons would leave the domain in service.
TEST(tables, aDomainKeepsItsState)
{
    last_reason why;
    const auto rows =
        parseTables("[[domain]]\nname = \"z1\"\ndrained = true\n[[domain]]\nname = \"z2\"\n", "file", why);
    ASSERT_TRUE(rows.has_value()) << describe(why);
    ASSERT_EQ(rows->size(), 2U);
    EXPECT_EQ(rows->front().key, "domains/z1");
    EXPECT_EQ(std::get<domain_row>(rows->front().row), (domain_row{{"z1"}, true}));
    EXPECT_EQ(std::get<domain_row>(rows->back().row), (domain_row{{"z2"}, false}));
    const auto stored = parseRow("domains/z1", formatRow(rows->front().row), why);
    ASSERT_TRUE(stored.has_value()) << describe(why);
    EXPECT_EQ(std::get<domain_row>(*stored), (domain_row{{"z1"}, true}));
}

// A daemon that took an incomplete row for a domain in service would send requests to targets that were drained.
TEST(tables, malformedDomainsAreRefused)
{
    last_reason why;
    EXPECT_FALSE(parseRow("domains/z1", R"({"name":"z1"})", why));
    EXPECT_FALSE(parseRow("domains/z1", R"({"name":"z1","drained":"yes"})", why));
    EXPECT_NE(parseFailure("[[domain]]\nname = \"\"\n").find("a domain needs a name"), std::string::npos);
    EXPECT_NE(parseFailure("[[domain]]\nname = \"z1\"\ndrained = 1\n").find("file:3"), std::string::npos);
    EXPECT_NE(parseFailure("[[domain]]\nname = \"z1\"\ndraind = true\n").find("unknown key \"draind\""),
              std::string::npos);
    EXPECT_FALSE(checkRow("domains/z1", domain_row{{"z2"}, true}, why)) << "the key names another domain";
}

// Draining takes capacity away, so it must not escape the customer's rules.
TEST(edit, domainsFollowTheRules)
{
    const keyed_row drain{"domains/z1", domain_row{{"z1"}, true}};
    EXPECT_EQ(planRefusal(makeEdit("luis", "l-hash", {drain})), edit_refusal::not_allowed);
    auto tables = makeTables();
    auto &rules = std::get<rules_row>(tables.at("rules/changes").row);
    rules.operators.push_back({"mei", "m-hash", {"domains/"}});
    rules.needApproval.emplace_back("domains/z1");
    tables["domains/z2"] = {domain_row{{"z2"}, true}, {9}};
    const auto planned = planEdit(tables, {}, makeEdit("mei", "m-hash", {drain}), noon);
    ASSERT_TRUE(planned.plan.has_value()) << planned.text;
    EXPECT_TRUE(planned.plan->needsApproval);
    EXPECT_EQ(planned.plan->changes.front().after, R"({"drained":true,"name":"z1"})");
    EXPECT_EQ(planEdit(tables, {}, makeEdit("mei", "m-hash", {drain}), std::chrono::minutes(23 * 60)).refused,
              edit_refusal::quiet);
    auto restore = makeEdit("mei", "m-hash", {{"domains/z2", domain_row{{"z2"}, false}}});
    restore.bases["domains/z2"] = {8};
    EXPECT_EQ(planEdit(tables, {}, restore, noon).refused, edit_refusal::conflict);
    restore.bases["domains/z2"] = {9};
    const auto restored = planEdit(tables, {}, restore, noon);
    ASSERT_TRUE(restored.plan.has_value()) << restored.text;
    EXPECT_EQ(restored.plan->changes.front().before, R"({"drained":true,"name":"z2"})");
    EXPECT_FALSE(restored.plan->needsApproval);
}

} // namespace quetzalspool::test
