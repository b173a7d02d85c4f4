/** @file odd_changes_test.cpp What another daemon, or another program at its address, passes on: odd values are
 * refused. */
#include "message_type.h"
#include "mirror_func.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace quetzalspool::test {

namespace {

using json = nlohmann::json;

constexpr std::size_t deepNesting = 1'000'000; ///< Levels; each takes a byte.

} // namespace

// Guards against the end of a process by what another one passes on, and rights of a length that nobody gave.
TEST(oddChanges, aChangesResponseThatIsNestedOrOutOfRangeIsRefused)
{
    last_reason why;
    for (const char level : {'\x91', '\x81'}) {
        EXPECT_EQ(decodeChanges(std::string(deepNesting, level), why), std::nullopt);
        EXPECT_LT(describe(why).size(), 400U);
    }
    const std::string key = "\xa1"
                            "a";
    std::string maps;
    for (std::size_t level = 0; level < deepNesting / 3; ++level) {
        maps += "\x81" + key;
    }
    EXPECT_EQ(decodeChanges(maps, why), std::nullopt);
    const auto large = 18446744073709551615ULL;
    const auto fits = json::array(
        {json::array({json::array({false, 5, 7, json::array({json::array({"k", "v", 5, false})})})}), -5, 4, -6});
    const auto encode = [](const json &body) {
        std::string bytes;
        json::to_msgpack(body, bytes);
        return bytes;
    };
    ASSERT_TRUE(decodeChanges(encode(fits), why)) << describe(why);
    const std::vector<std::pair<std::string, std::vector<json>>> fields{
        {"/1", {large, std::int64_t{9223372036854775807}, std::numeric_limits<std::int64_t>::min(), 1e300, 1.5, "5"}},
        {"/2", {large, -1, 1e300, nullptr}},
        {"/3", {large, std::int64_t{9223372036854775807}, std::numeric_limits<std::int64_t>::min(), 1e300, true}},
        {"/0/0/0", {0, "x"}},
        {"/0/0/1", {large, -1, 1e300}},
        {"/0/0/2", {-1, 1e300}},
        {"/0/0/3/0/2", {large, -1, 1e300}},
        {"/0/0/3/0/3", {0}},
        {"/0/0/3/0/0", {7}},
        {"/0/0/3/0/1", {nullptr}},
        {"/0/0/3/0",
         {json::array({"k", "", 5, false, 4}), json::array({"k", "", 5, false, -4, json::binary({1})}),
          json::array({"k", "", 5, false, 4, "x"})}}};
    for (const auto &[path, values] : fields) {
        for (const auto &value : values) {
            auto odd = fits;
            odd[json::json_pointer(path)] = value;
            EXPECT_EQ(decodeChanges(encode(odd), why), std::nullopt) << path << " " << value.dump();
        }
    }
}

// Guards against memory for elements that a datagram announces and does not have.
TEST(oddChanges, aDatagramThatAnnouncesMoreThanItHasIsRefused)
{
    last_reason why;
    std::string nested;
    for (int level = 0; level < 12'000; ++level) {
        nested += std::string("\xdd\x0f\xff\xff\xff", 5);
    }
    for (const auto &bytes :
         {std::string("\xdd\xff\xff\xff\xff", 5), std::string("\xdf\xff\xff\xff\xff", 5),
          std::string("\xdb\xff\xff\xff\xff", 5), nested, std::string(60'000, '\x91'), std::string(60'000, '\x81'),
          std::string("\x91\xff", 2), std::string("\x91\xcb\x7f\xf0\0\0\0\0\0\0", 10)}) {
        EXPECT_EQ(decodeMessage(bytes, why), std::nullopt);
        EXPECT_LT(describe(why).size(), 400U);
    }
}

} // namespace quetzalspool::test
