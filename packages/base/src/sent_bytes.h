/** @file sent_bytes.h Counts the bytes that a process sends to other daemons and to the store, by kind and distance. */
#ifndef SENT_BYTES_H
#define SENT_BYTES_H

#include "base_type.h"

#include <array>
#include <atomic>
#include <memory>

namespace quetzalspool {

/** What bytes are sent for. */
enum class byte_kind
{
    request, ///< Body of a request to another daemon.
    response, ///< Body of a response to another daemon.
    head, ///< All other bytes of requests and responses between daemons.
    control, ///< Datagrams and exchanges between control threads.
    store, ///< Calls to the store.
};

/** How far away the receiver is. */
enum class byte_distance
{
    domain, ///< In the same failure domain.
    region, ///< In another failure domain of the region, or at an address that is not known.
    remote, ///< In another region.
};

constexpr std::array byteKinds{byte_kind::request, byte_kind::response, byte_kind::head, byte_kind::control,
                               byte_kind::store}; ///< All kinds.
constexpr std::array byteDistances{byte_distance::domain, byte_distance::region,
                                   byte_distance::remote}; ///< All distances.

/** Bytes sent by all threads of a process. */
struct sent_bytes
{
    std::array<std::array<std::atomic<std::uint64_t>, byteDistances.size()>, byteKinds.size()>
        counts{}; ///< By kind and distance.
};

/** A counter of bytes; null to count nothing. */
using byte_counter = std::shared_ptr<std::atomic<std::uint64_t>>;

/**
 * Finds the counter of a kind and a distance.
 * @param sent Counters; null for none.
 * @param kind Kind.
 * @param distance Distance.
 * @return The counter, which keeps all counters alive; null without counters.
 */
byte_counter counterOf(const std::shared_ptr<sent_bytes> &sent, byte_kind kind, byte_distance distance);

/**
 * Counts bytes.
 * @param into Counter; null to count nothing.
 * @param bytes Bytes.
 */
inline void countBytes(const byte_counter &into, std::uint64_t bytes)
{
    if (into) {
        into->fetch_add(bytes, std::memory_order_relaxed);
    }
}

/** A place in the topology. */
struct topology_place
{
    region_id region; ///< Region.
    domain_id domain; ///< Failure domain.
};

/**
 * Compares two places.
 * @param from Place of the sender.
 * @param to Place of the receiver.
 * @return The distance; region if a place names no region, or the same region and no failure domain.
 */
byte_distance distanceBetween(const topology_place &from, const topology_place &to);

/**
 * Name of a kind, as in the label of the metric.
 * @param kind Kind.
 * @return Name.
 */
const char *nameOf(byte_kind kind);

/**
 * Name of a distance, as in the label of the metric and in messages.
 * @param distance Distance.
 * @return Name.
 */
const char *nameOf(byte_distance distance);

/**
 * Reads the name of a distance.
 * @param name Name.
 * @return The distance; region for any other text.
 */
byte_distance distanceNamed(std::string_view name);

} // namespace quetzalspool

#endif // SENT_BYTES_H
