/** @file catalog_func.h Taking documents and comparing catalogs. */
#ifndef CATALOG_FUNC_H
#define CATALOG_FUNC_H

#include "catalog_base.h"

#include <vector>

namespace quetzalspool {

/**
 * Takes a document unless the known one is as new or newer. A revision is never replaced by an older one.
 * @param state Catalog.
 * @param offered Document.
 * @return Whether it was taken.
 */
bool applyDocument(catalog_state &state, document offered);

/**
 * Gives one hash over all documents.
 * @param state Catalog.
 * @return Hash; equal catalogs have equal hashes.
 */
std::uint64_t catalogDigest(const catalog_state &state);

/**
 * Lists the documents in those buckets that differ from another daemon's.
 * @param state Catalog.
 * @param buckets The other's buckets.
 * @return Keys and revisions.
 */
std::vector<std::pair<std::string, std::int64_t>> differingDocuments(const catalog_state &state,
                                                                     const std::vector<std::uint64_t> &buckets);

/**
 * Chooses which of another daemon's documents are newer than the known ones.
 * @param state Catalog.
 * @param offered The other's keys and revisions.
 * @return Keys to fetch.
 */
std::vector<std::string> keysToFetch(const catalog_state &state,
                                     const std::vector<std::pair<std::string, std::int64_t>> &offered);

} // namespace quetzalspool

#endif // CATALOG_FUNC_H
