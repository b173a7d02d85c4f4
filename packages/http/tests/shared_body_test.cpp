/** @file shared_body_test.cpp Tests of bodies that copies share, and of their account. */
#include "shared_body.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

// A body that grew in one piece took twice its size, and each copy took its size again.
TEST(sharedBody, growsWithoutDoublingAndIsChargedOnce)
{
    const auto meter = std::make_shared<memory_meter>();
    std::string expected;
    {
        shared_body body;
        body.chargeTo(meter);
        for (int number = 0; number < 300000; ++number) {
            const char byte = static_cast<char>('a' + number % 26);
            body.append(&byte, 1);
            expected += byte;
            ASSERT_LE(meter->used, 2 * body.size() + 1024);
        }
        EXPECT_LE(meter->used, body.size() + 65536);
        const auto before = meter->used.load();
        const auto copy = body;
        EXPECT_EQ(meter->used, before);
        EXPECT_EQ(copy.text(), expected);
        EXPECT_EQ(copy, body);
        EXPECT_EQ(copy.size(), expected.size());
    }
    EXPECT_EQ(meter->used, 0U);
}

TEST(sharedBody, isUsedLikeAString)
{
    const shared_body empty;
    EXPECT_TRUE(empty.empty());
    EXPECT_TRUE(empty.parts().empty());
    const shared_body body = "order";
    EXPECT_EQ(std::string("x ") + body, "x order");
    EXPECT_EQ(std::string(body), "order");
    EXPECT_EQ(body, shared_body(std::string("order")));
    EXPECT_FALSE(body == shared_body("other"));
}

} // namespace quetzalspool::test
