/** @file catalog_base.h All documents that a daemon knows: cell records and rows, each with its store revision. */
#ifndef CATALOG_BASE_H
#define CATALOG_BASE_H

#include "base_type.h"

#include <array>
#include <map>
#include <memory>

namespace quetzalspool {

/** Buckets of the digest by which two daemons find where they differ. */
constexpr std::size_t digestBuckets = 64;

/** One document. */
struct document
{
    std::string key; ///< Key, without the store's prefix.
    revision_number revision; ///< Revision of its last change.
    std::shared_ptr<const std::string> value; ///< Value.
};

/** The documents and the digest of their keys and revisions. */
struct catalog_state
{
    std::map<std::string, document> documents; ///< By key.
    std::array<std::uint64_t, digestBuckets> buckets{}; ///< Exclusive-or of hashes of (key, revision) per bucket.
    std::uint64_t staleRefused = 0; ///< Times an older revision was offered and refused.
};

} // namespace quetzalspool

#endif // CATALOG_BASE_H
