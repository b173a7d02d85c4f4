/** @file roster_keys.h Keys of the roster's values in the store. */
#ifndef ROSTER_KEYS_H
#define ROSTER_KEYS_H

#include "base_type.h"

#include <string_view>

namespace quetzalspool {

constexpr std::string_view rootPrefix = "quetzalspool/"; ///< All keys of this product.
constexpr std::string_view entryPrefix = "quetzalspool/nodes/"; ///< Entries of nodes, bound to store leases.
constexpr std::string_view markerPrefix =
    "quetzalspool/markers/"; ///< Markers of nodes, one per node: written with
                             ///< each write of the entry, and kept when it expires.
constexpr std::string_view ownersPrefix = "quetzalspool/owners/"; ///< Ownership records by pool.
constexpr std::string_view readersPrefix =
    "quetzalspool/readers/"; ///< Daemons that read the store for others that start, by group.
constexpr std::string_view crashesPrefix =
    "quetzalspool/crashes/"; ///< Crashes of targets with the requests that they ran, bound to store leases.

/**
 * Key of a node's entry.
 * @param id Node.
 * @return Key.
 */
inline std::string entryKey(const instance_id &id)
{
    return std::string(entryPrefix) + id.value;
}

/**
 * Key of a node's marker.
 * @param id Node.
 * @return Key.
 */
inline std::string markerKey(const instance_id &id)
{
    return std::string(markerPrefix) + id.value;
}

/**
 * Key of the ownership record of a pool.
 * @param pool Pool.
 * @return Key.
 */
inline std::string ownersKey(const pool_id &pool)
{
    return std::string(ownersPrefix) + pool.value;
}

} // namespace quetzalspool

#endif // ROSTER_KEYS_H
