/** @file catalog_func.h Applies documents to a catalog and compares catalogs of two daemons. */
#ifndef CATALOG_FUNC_H
#define CATALOG_FUNC_H

#include "catalog_base.h"

#include <vector>

namespace quetzalspool {

/**
 * Stores a document unless the known one is as new or newer. A revision is never replaced by an older one.
 * @param state Catalog.
 * @param offered Document.
 * @return Whether it was stored.
 */
bool applyDocument(catalog_state &state, document offered);

/**
 * Returns one hash over the keys and revisions of all documents.
 * @param state Catalog.
 * @return Digest; equal catalogs have equal digests.
 */
std::uint64_t catalogDigest(const catalog_state &state);

/**
 * Lists the documents in the buckets that differ from another daemon's.
 * @param state Catalog.
 * @param buckets Buckets of the other daemon; missing ones count as different.
 * @return Keys and revisions.
 */
std::vector<std::pair<std::string, std::int64_t>> differingDocuments(const catalog_state &state,
                                                                     const std::vector<std::uint64_t> &buckets);

/**
 * Selects the documents of another daemon that are newer than the known ones, or unknown.
 * @param state Catalog.
 * @param offered Keys and revisions of the other daemon.
 * @return Keys to fetch.
 */
std::vector<std::string> keysToFetch(const catalog_state &state,
                                     const std::vector<std::pair<std::string, std::int64_t>> &offered);

} // namespace quetzalspool

#endif // CATALOG_FUNC_H
