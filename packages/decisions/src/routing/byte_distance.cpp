/** @file byte_distance.cpp Distance to other daemons, for the account of the bytes sent. */
#include "byte_distance_func.h"

#include <algorithm>

namespace quetzalspool {

topology_place placeOf(const cell_member &member)
{
    return {member.region, member.domain};
}

byte_distance distanceToAddress(known_distances &known, const routing_view &view, const topology_place &from,
                                const endpoint &to)
{
    const auto found = known.byAddress.find(to);
    if (found != known.byAddress.end()) {
        return found->second;
    }
    for (const auto &[id, cell] : view.cells) {
        const auto member = std::find_if(cell->members.begin(), cell->members.end(),
                                         [&](const auto &each) { return peerEndpoint(each) == to; });
        if (member != cell->members.end()) {
            if (known.byAddress.size() >= maxKnownDistances) {
                known.byAddress.clear();
            }
            return known.byAddress[to] = distanceBetween(from, placeOf(*member));
        }
    }
    return byte_distance::region; // Not kept: the address may become known.
}

} // namespace quetzalspool
