/** @file header_history_test.cpp Which headers enter the dynamic table of HPACK. */
#include "header_history.h"

#include <gtest/gtest.h>
#include <string>

namespace quetzalspool::test {

// Guards against headers that are the same in each request and are sent in full each time.
TEST(headerHistory, valuesThatRepeatAreIndexed)
{
    header_history history;
    for (int request = 0; request < 1000; ++request) {
        EXPECT_TRUE(shouldIndex(history, "qs-pool", "orders"));
        shouldIndex(history, "qs-id", std::to_string(request));
    }
}

// Guards against a few values that alternate, such as methods, and are sent as literals each time.
TEST(headerHistory, valuesThatAlternateAreIndexed)
{
    header_history history;
    int literals = 0;
    for (int request = 0; request < 100; ++request) {
        literals += shouldIndex(history, "qs-busy", std::to_string(request * 13 % 8)) ? 0 : 1;
    }
    EXPECT_LE(literals, 8) << "at most once for each value";
}

// Guards against ids that push all else out of the table, and against a name that is not in the table for long.
TEST(headerHistory, valuesThatDifferEachTimeAreLiteralsButForTheName)
{
    header_history history;
    EXPECT_TRUE(shouldIndex(history, "qs-id", "0")) << "puts the name into the table";
    int indexed = 0;
    for (int request = 1; request <= 640; ++request) {
        indexed += shouldIndex(history, "qs-id", std::to_string(request)) ? 1 : 0;
    }
    EXPECT_GE(indexed, 10) << "the entry with the name may have left the table";
    EXPECT_LE(indexed, 16);
}

// Guards against memory that a caller who invents header names could use up.
TEST(headerHistory, fewNamesAreKept)
{
    header_history history;
    for (int request = 0; request < 1000; ++request) {
        EXPECT_TRUE(shouldIndex(history, "x-" + std::to_string(request), "1"));
        EXPECT_LE(history.names.size(), maxKnownHeaders);
    }
}

} // namespace quetzalspool::test
