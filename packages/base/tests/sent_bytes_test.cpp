/** @file sent_bytes_test.cpp Distances and counters of the bytes sent. */
#include "sent_bytes.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

byte_distance between(const char *fromRegion, const char *fromDomain, const char *toRegion, const char *toDomain)
{
    return distanceBetween({{fromRegion}, {fromDomain}}, {{toRegion}, {toDomain}});
}

} // namespace

// Guards against bytes that cross a failure domain or a region and are counted as nearer than they are.
TEST(sentBytes, distanceIsThatOfRegionAndFailureDomain)
{
    EXPECT_EQ(between("r1", "a", "r1", "a"), byte_distance::domain);
    EXPECT_EQ(between("r1", "a", "r1", "b"), byte_distance::region);
    EXPECT_EQ(between("r1", "a", "r2", "b"), byte_distance::remote);
    EXPECT_EQ(between("r1", "a", "r2", "a"), byte_distance::remote) << "names of domains may repeat between regions";
}

// Guards against an unknown place counted as the own failure domain or as another region.
TEST(sentBytes, anUnknownPlaceCountsAsTheRegion)
{
    EXPECT_EQ(between("", "", "r1", "a"), byte_distance::region);
    EXPECT_EQ(between("r1", "a", "", ""), byte_distance::region);
    EXPECT_EQ(between("r1", "", "r1", ""), byte_distance::region);
    EXPECT_EQ(distanceNamed(""), byte_distance::region);
    EXPECT_EQ(distanceNamed("nearby"), byte_distance::region);
}

// Guards against a distance that the other daemon reads as another one.
TEST(sentBytes, distancesAreReadAsTheyAreNamed)
{
    for (const auto distance : byteDistances) {
        EXPECT_EQ(distanceNamed(nameOf(distance)), distance);
    }
}

// Guards against kinds or distances that share a counter, and against a counter that outlives its owner.
TEST(sentBytes, eachKindAndDistanceHasItsOwnCounter)
{
    auto sent = std::make_shared<sent_bytes>();
    std::uint64_t next = 1;
    for (const auto kind : byteKinds) {
        for (const auto distance : byteDistances) {
            countBytes(counterOf(sent, kind, distance), next++);
        }
    }
    next = 1;
    for (const auto kind : byteKinds) {
        for (const auto distance : byteDistances) {
            EXPECT_EQ(*counterOf(sent, kind, distance), next++) << nameOf(kind) << ' ' << nameOf(distance);
        }
    }
    const auto kept = counterOf(sent, byte_kind::store, byte_distance::remote);
    sent.reset();
    EXPECT_EQ(*kept, 15U);
    countBytes(counterOf(nullptr, byte_kind::store, byte_distance::remote), 1);
}

} // namespace quetzalspool::test
