/** @file odd_value_test.cpp Values that another writer left: none ends the process or is taken for something else. */
#include "record_func.h"
#include "roster_func.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace quetzalspool::test {

namespace {

using json = nlohmann::json;

constexpr std::size_t deepNesting = 1'000'000; ///< Levels; each takes a byte.

/** Replaces a placeholder in a JSON text by the text of a value. */
std::string fillIn(const json &from, const std::string &value)
{
    auto text = from.dump();
    const std::string place = "\"PLACE\"";
    text.replace(text.find(place), place.size(), value);
    return text;
}

std::string deepArrays()
{
    return std::string(deepNesting, '[') + std::string(deepNesting, ']');
}

std::string deepObjects()
{
    std::string text;
    for (int level = 0; level < 100'000; ++level) {
        text += R"({"a":)";
    }
    return text + "1" + std::string(100'000, '}');
}

roster_node goodNode()
{
    roster_node node;
    node.member.id.value = "a";
    node.member.endpoints = {"127.0.0.1", 8001, 8002, 8003};
    node.member.target = {{"p"}, {"127.0.0.1", 8080}, 9, 9, true};
    node.targetIncarnation = {"t-1", 1700000000123};
    return node;
}

json goodOwners()
{
    return json::parse(R"({"pool":"p","owners":[["a","x",5]],"runs":[[4096,0,3]]})");
}

/** Values that no field of a number can have. */
const std::vector<std::string> noNumbers{"-9223372036854775809",
                                         "18446744073709551616",
                                         "1e999",
                                         "-1e999",
                                         "1e300",
                                         "1.5",
                                         "\"80\"",
                                         "\"\"",
                                         "null",
                                         "true",
                                         "[]",
                                         "[80]",
                                         "{}"};

/** Pointer to a field and more values that it can't have. */
struct odd_field
{
    std::string path; ///< JSON pointer.
    std::vector<std::string> values; ///< Values.
};

const std::vector<std::string> noPorts{"70000", "65536", "4294967376", "-1", "-65456"};
const std::vector<std::string> noCounts{"-1", "4294967296", "4294967305"};
const std::vector<std::string> noNaturals{"-1"};

} // namespace

// Guards against requests that go to another port than the entry names, because its number was cut off.
TEST(oddValue, aNodeEntryWithANumberOutOfRangeNamesNoTarget)
{
    last_reason why;
    const auto good = json::parse(formatNode(goodNode()));
    ASSERT_EQ(parseNode(good.dump(), why), goodNode()) << describe(why);
    const std::vector<odd_field> fields{
        {"/ports/0", noPorts},        {"/ports/1", noPorts}, {"/ports/2", noPorts},
        {"/target/1", noPorts},       {"/slots", noCounts},  {"/connections", noCounts},
        {"/incarnation", noNaturals}, {"/term", noNaturals}, {"/target_born", {"9223372036854775808"}}};
    for (const auto &[path, values] : fields) {
        auto all = values;
        all.insert(all.end(), noNumbers.begin(), noNumbers.end());
        for (const auto &value : all) {
            auto entry = good;
            entry[json::json_pointer(path)] = "PLACE";
            EXPECT_EQ(parseNode(fillIn(entry, value), why), std::nullopt) << path << " " << value;
        }
    }
}

// Guards against unowned keys that go to an entry without a name, and datagrams to the own machine.
TEST(oddValue, aNodeEntryWithoutANameOrAnAddressNamesNoTarget)
{
    last_reason why;
    const auto good = json::parse(formatNode(goodNode()));
    const std::vector<odd_field> fields{{"/id", {"\"\"", "7", "null"}},
                                        {"/host", {"\"\"", "\"nowhere\"", "\"999.1.1.1\"", "\"127.0.0.1 \"", "7"}},
                                        {"/target/0", {"\"\"", "\"nowhere\"", "7"}},
                                        {"/ports/1", {"0"}},
                                        {"/target/1", {"0"}},
                                        {"/ports", {"[1,2]", "null", "{}"}},
                                        {"/target", {"[]", "\"127.0.0.1:80\""}},
                                        {"/leaving", {"\"no\"", "0", "null"}},
                                        {"/checks_grants", {"1", "\"\""}}};
    for (const auto &[path, values] : fields) {
        for (const auto &value : values) {
            auto entry = good;
            entry[json::json_pointer(path)] = "PLACE";
            EXPECT_EQ(parseNode(fillIn(entry, value), why), std::nullopt) << path << " " << value;
        }
    }
    auto waiting = goodNode();
    waiting.member.target = {};
    waiting.targetIncarnation = {};
    EXPECT_EQ(parseNode(formatNode(waiting), why), waiting) << "a daemon whose target has not reported yet";
}

// Guards against the end of the process by a value that is nested deeper than the stack.
TEST(oddValue, aDeeplyNestedValueIsRefusedWithAShortReason)
{
    last_reason why;
    for (const auto &deep : {std::string(deepNesting, '['), deepArrays(), deepObjects()}) {
        EXPECT_EQ(parseNode(deep, why), std::nullopt);
        EXPECT_LT(describe(why).size(), 400U);
        EXPECT_EQ(parseOwnership(deep, why), std::nullopt);
        EXPECT_LT(describe(why).size(), 400U);
        EXPECT_EQ(parseRecord(deep, why), std::nullopt);
        EXPECT_LT(describe(why).size(), 400U);
    }
    for (const auto &field : {"id", "target_id", "host", "ports", "target", "slots"}) {
        auto entry = json::parse(formatNode(goodNode()));
        entry[field] = "PLACE";
        EXPECT_EQ(parseNode(fillIn(entry, deepArrays()), why), std::nullopt) << field;
    }
    auto extra = json::parse(formatNode(goodNode()));
    extra["unknown"] = "PLACE";
    EXPECT_EQ(parseNode(fillIn(extra, deepArrays()), why), std::nullopt) << "no entry of a daemon is nested so deeply";
}

// Guards against log lines as long as the value, and bytes in them that are no text.
TEST(oddValue, theReasonOfARefusalIsShort)
{
    last_reason why;
    const std::string many(1'000'000, 'x');
    for (const auto &text : {"\"" + many, many, "[1" + std::string(100'000, '0') + "]", "{\"id\":\"\xff" + many}) {
        EXPECT_EQ(parseNode(text, why), std::nullopt);
        EXPECT_LT(describe(why).size(), 400U);
        EXPECT_EQ(parseOwnership(text, why), std::nullopt);
        EXPECT_LT(describe(why).size(), 400U);
    }
}

// Guards against keys that go to other owners or under other fences than the record names.
TEST(oddValue, anOwnershipRecordWithANumberOutOfRangeIsRefused)
{
    last_reason why;
    ASSERT_TRUE(parseOwnership(goodOwners().dump(), why)) << describe(why);
    const std::vector<odd_field> fields{{"/runs/0/0", {"-1", "0", "4097", "4294971392", "-4294963200"}},
                                        {"/runs/0/1", {"-1", "1", "18446744073709551615"}},
                                        {"/runs/0/2", {"-1"}},
                                        {"/owners/0/2", {"9223372036854775808"}}};
    for (const auto &[path, values] : fields) {
        auto all = values;
        all.insert(all.end(), noNumbers.begin(), noNumbers.end());
        for (const auto &value : all) {
            auto owners = goodOwners();
            owners[json::json_pointer(path)] = "PLACE";
            EXPECT_EQ(parseOwnership(fillIn(owners, value), why), std::nullopt) << path << " " << value;
        }
    }
    for (const std::string legacy : {R"([4294967296,4095,"b","y",6,4,"",""])", R"([0,4294971391,"b","y",6,4,"",""])",
                                     R"([0,4095,"b","y",6,-4,"",""])", R"([0.5,4095,"b","y",6,4,"",""])"}) {
        EXPECT_EQ(parseOwnership(R"({"pool":"p","runs":[)" + legacy + "]}", why), std::nullopt) << legacy;
    }
    for (const std::string form :
         {"[]", "null", "\"\"", "{}", R"({"pool":"p","owners":[],"runs":[]})",
          R"({"pool":7,"owners":[["a","x",5]],"runs":[[4096,0,3]]})",
          R"({"pool":"","owners":[["a","x",5]],"runs":[[4096,0,3]]})",
          R"({"pool":"p","owners":{"0":["a","x",5]},"runs":[[4096,0,3]]})",
          R"({"pool":"p","owners":[["a","x",5]],"runs":{"0":7}})", R"({"pool":"p","owners":[["a","x",5]],"runs":7})"}) {
        EXPECT_EQ(parseOwnership(form, why), std::nullopt) << form;
    }
}

TEST(oddValue, aCellRecordWithANumberOutOfRangeIsRefused)
{
    cell_record record;
    record.id.value = "c";
    record.members.push_back(goodNode().member);
    record.voters.push_back({{"a"}, {1}, 1, {"d"}, {"127.0.0.1", 8002}});
    record.pools[{"p"}] = {{{1}, {"a"}, {7}}};
    last_reason why;
    const auto good = json::parse(formatRecord(record));
    ASSERT_EQ(parseRecord(good.dump(), why), record) << describe(why);
    const std::vector<odd_field> fields{{"/next_number", noNaturals},          {"/config", noNaturals},
                                        {"/members/0/ports/1", noPorts},       {"/members/0/target/1", noPorts},
                                        {"/members/0/slots", noCounts},        {"/voters/0/control/1", noPorts},
                                        {"/voters/0/incarnation", noNaturals}, {"/voters/0/admitted", noNaturals},
                                        {"/pools/p/0/fence", noNaturals},      {"/pools/p/0/slots/0", noCounts}};
    for (const auto &[path, values] : fields) {
        auto all = values;
        all.insert(all.end(), noNumbers.begin(), noNumbers.end());
        for (const auto &value : all) {
            auto odd = good;
            odd[json::json_pointer(path)] = "PLACE";
            EXPECT_EQ(parseRecord(fillIn(odd, value), why), std::nullopt) << path << " " << value;
        }
    }
}

} // namespace quetzalspool::test
