/** @file stated_load_test.cpp Parsing of the load that a target states. */
#include "stated_load.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

// A value that is not understood must change nothing.
TEST(statedLoad, malformedStatedLoadsAreIgnored)
{
    for (const auto *text : {"", "1", "1,2", "1,2,0", "1,2,3,0", "1,2,3,4,5", "a,b,c", "1,2,-3", "1,2,3x", "1,2,3,4.5",
                             "1,2,99999999999", "-1,2,3", ",1,2,3"}) {
        EXPECT_FALSE(parseStatedLoad(text)) << text;
    }
    const auto plain = parseStatedLoad("3,1,8");
    ASSERT_TRUE(plain);
    EXPECT_EQ(plain->running, 3U);
    EXPECT_FALSE(plain->workPercent);
    const auto full = parseStatedLoad("3, 1, 8, 250");
    ASSERT_TRUE(full);
    EXPECT_EQ(full->workPercent, 250U);
}

} // namespace quetzalspool::test
