/** @file catalog_base.h Documents known to a daemon, cell records and table rows, each with its store revision. */
#ifndef CATALOG_BASE_H
#define CATALOG_BASE_H

#include "base_type.h"

#include <array>
#include <map>
#include <memory>

namespace quetzalspool {

/** Number of digest buckets; two daemons compare buckets to find the documents in which they differ. */
constexpr std::size_t digestBuckets = 64;

/** A document of the store. */
struct document
{
    std::string key; ///< Key, without the store's prefix.
    revision_number revision; ///< Revision of its last change.
    std::shared_ptr<const std::string> value; ///< Content.
    steady_time since{}; ///< Time from which the age of this revision counts: the last complete read before it, or the
                         ///< arrival of the watch event, which may be later than the write. The epoch if unknown.
};

/** Documents, and a digest of their keys and revisions. */
struct catalog_state
{
    std::map<std::string, document> documents; ///< By key.
    std::array<std::uint64_t, digestBuckets> buckets{}; ///< XOR of the hashes of (key, revision) per bucket.
    std::uint64_t staleRefused = 0; ///< Documents refused because their revision was older than the known one.
};

} // namespace quetzalspool

#endif // CATALOG_BASE_H
