/** @file catalog_cmd.cpp Applies documents to a catalog and compares catalogs of two daemons. */
#include "catalog_func.h"

#include <xxhash.h>

namespace quetzalspool {

namespace {

std::size_t bucketOf(const std::string &key)
{
    return XXH3_64bits(key.data(), key.size()) % digestBuckets;
}

std::uint64_t hashOf(const std::string &key, revision_number revision)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), static_cast<std::uint64_t>(revision.value));
}

} // namespace

bool applyDocument(catalog_state &state, document offered)
{
    auto &bucket = state.buckets[bucketOf(offered.key)];
    const auto known = state.documents.find(offered.key);
    if (known != state.documents.end()) {
        if (offered.revision <= known->second.revision) {
            state.staleRefused += offered.revision < known->second.revision ? 1 : 0;
            return false;
        }
        bucket ^= hashOf(offered.key, known->second.revision);
    }
    bucket ^= hashOf(offered.key, offered.revision);
    auto key = offered.key;
    state.documents.insert_or_assign(std::move(key), std::move(offered));
    return true;
}

std::uint64_t catalogDigest(const catalog_state &state)
{
    return XXH3_64bits(state.buckets.data(), sizeof(state.buckets));
}

std::vector<std::pair<std::string, std::int64_t>> differingDocuments(const catalog_state &state,
                                                                     const std::vector<std::uint64_t> &buckets)
{
    std::vector<std::pair<std::string, std::int64_t>> rows;
    for (const auto &[key, known] : state.documents) {
        const auto bucket = bucketOf(key);
        if (bucket >= buckets.size() || buckets[bucket] != state.buckets[bucket]) {
            rows.emplace_back(key, known.revision.value);
        }
    }
    return rows;
}

std::vector<std::string> keysToFetch(const catalog_state &state,
                                     const std::vector<std::pair<std::string, std::int64_t>> &offered)
{
    std::vector<std::string> keys;
    for (const auto &[key, revision] : offered) {
        const auto known = state.documents.find(key);
        if (known == state.documents.end() || known->second.revision.value < revision) {
            keys.push_back(key);
        }
    }
    return keys;
}

} // namespace quetzalspool
