/**
 * @file byte_distance_func.h Distance to other daemons, for the account of the bytes sent. Load: exchanges and
 * datagrams between control threads, which know the other daemon by its address only.
 */
#ifndef BYTE_DISTANCE_FUNC_H
#define BYTE_DISTANCE_FUNC_H

#include "routing_base.h"
#include "sent_bytes.h"

namespace quetzalspool {

/** Distances found before. A lookup passes over all members, of which there may be thousands. */
struct known_distances
{
    std::map<endpoint, byte_distance> byAddress; ///< By peer address, at most maxKnownDistances.
};

constexpr std::size_t maxKnownDistances = 64; ///< Most distances kept; a daemon polls few others.

/**
 * Returns the place of a member.
 * @param member Member.
 * @return Its region and failure domain.
 */
topology_place placeOf(const cell_member &member);

/**
 * Finds the distance to the daemon at an address.
 * @param known Distances found before.
 * @param view Routing view, which says where each daemon is.
 * @param from Place of the sender.
 * @param to Peer address of the receiver.
 * @return The distance; region if no member has the address.
 */
byte_distance distanceToAddress(known_distances &known, const routing_view &view, const topology_place &from,
                                const endpoint &to);

} // namespace quetzalspool

#endif // BYTE_DISTANCE_FUNC_H
