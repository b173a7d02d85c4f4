/** @file byte_distance_test.cpp Distance to the daemon at an address. */
#include "byte_distance_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

routing_view viewOf(const std::vector<cell_member> &members)
{
    auto cell = std::make_shared<cell_view>();
    cell->members = members;
    routing_view view;
    view.cells[{"c"}] = cell;
    return view;
}

cell_member memberAt(const std::string &host, const char *region, const char *domain)
{
    cell_member member;
    member.id.value = host;
    member.region.value = region;
    member.domain.value = domain;
    member.endpoints.host = host;
    member.endpoints.peers = 7;
    return member;
}

const topology_place own{{"r1"}, {"a"}};

} // namespace

// Guards against an unknown address that stays unknown after the daemon at it has appeared.
TEST(byteDistance, anAddressCountsAsTheRegionUntilItIsKnown)
{
    known_distances known;
    EXPECT_EQ(distanceToAddress(known, viewOf({}), own, {"h2", 7}), byte_distance::region);
    const auto view = viewOf({memberAt("h1", "r1", "a"), memberAt("h2", "r2", "b"), memberAt("h3", "r1", "b")});
    EXPECT_EQ(distanceToAddress(known, view, own, {"h1", 7}), byte_distance::domain);
    EXPECT_EQ(distanceToAddress(known, view, own, {"h2", 7}), byte_distance::remote);
    EXPECT_EQ(distanceToAddress(known, view, own, {"h3", 7}), byte_distance::region);
    EXPECT_EQ(distanceToAddress(known, view, own, {"h2", 8}), byte_distance::region) << "another port";
}

// Guards against state that grows with the number of daemons.
TEST(byteDistance, fewDistancesAreKept)
{
    known_distances known;
    std::vector<cell_member> members;
    for (int number = 0; number < 300; ++number) {
        members.push_back(memberAt("h" + std::to_string(number), "r2", "b"));
    }
    const auto view = viewOf(members);
    for (const auto &member : members) {
        EXPECT_EQ(distanceToAddress(known, view, own, peerEndpoint(member)), byte_distance::remote);
        EXPECT_LE(known.byAddress.size(), maxKnownDistances);
    }
}

} // namespace quetzalspool::test
