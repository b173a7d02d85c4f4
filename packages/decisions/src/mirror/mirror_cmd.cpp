/** @file mirror_cmd.cpp Keeping a mirror of the store's keys and serving its changes to other daemons. */
#include "mirror_func.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace quetzalspool {

namespace {

constexpr std::size_t maxTombstones = 512; ///< Daemons that are further behind get a snapshot.

bool isOlder(const key_change &a, const key_change &b)
{
    return a.value.revision < b.value.revision;
}

/** Drops the older half of the tombstones if there are too many. */
void compactTombstones(mirrored_keys &keys)
{
    if (keys.tombstones <= maxTombstones) {
        return;
    }
    std::vector<revision_number> revisions;
    for (const auto &[key, value] : keys.values) {
        if (value.removed) {
            revisions.push_back(value.revision);
        }
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    keys.compactedRevision = std::max(keys.compactedRevision, *middle);
    keys.tombstones -= std::erase_if(keys.values, [&](const auto &entry) {
        return entry.second.removed && entry.second.revision <= keys.compactedRevision;
    });
}

/**
 * Whether a mirror has nothing that is newer than an update. Otherwise digests can't be compared: a daemon applies its
 * own writes before its upstream knows them, and no copy from there makes the digests equal.
 */
bool knowsNothingNewer(const mirrored_keys &keys, revision_number revision)
{
    return keys.revision <= revision && std::none_of(keys.values.begin(), keys.values.end(), [&](const auto &entry) {
               return entry.second.revision > revision;
           });
}

} // namespace

bool applyChange(mirrored_keys &keys, const key_change &change)
{
    const auto known = keys.values.find(change.key);
    if (known == keys.values.end()) {
        // A delayed older write must not restore a key whose tombstone was dropped.
        if (change.value.revision <= keys.compactedRevision) {
            return false;
        }
    } else if (change.value.revision <= known->second.revision) {
        return false;
    }
    auto &value = keys.values[change.key];
    recordEarlierValue(keys, value, change);
    keys.tombstones += change.value.removed ? 1 : 0;
    keys.tombstones -= value.removed ? 1 : 0;
    value = change.value;
    compactTombstones(keys);
    return true;
}

std::vector<key_change> applyListing(mirrored_keys &keys, std::string_view prefix,
                                     const std::vector<key_change> &values, revision_number revision)
{
    std::vector<key_change> applied;
    std::set<std::string_view> listed;
    for (const auto &value : values) {
        listed.insert(value.key);
        if (applyChange(keys, value)) {
            applied.push_back(value);
        }
    }
    std::vector<key_change> removed;
    for (const auto &[key, value] : keys.values) {
        if (key.starts_with(prefix) && !value.removed && !listed.contains(key) && value.revision <= revision) {
            removed.push_back({key, {"", revision, true}});
        }
    }
    for (auto &change : removed) {
        // A key written at the revision of the listing was deleted while later pages of the listing were read.
        change.value.revision.value += change.value.revision == keys.values[change.key].revision ? 1 : 0;
        applyChange(keys, change);
        applied.push_back(std::move(change));
    }
    std::sort(applied.begin(), applied.end(), isOlder);
    if (prefix == keys.prefix) {
        advanceRevision(keys, revision);
    }
    return applied;
}

void advanceRevision(mirrored_keys &keys, revision_number revision)
{
    keys.revision = std::max(keys.revision, revision);
}

mirror_update changesAfter(const mirrored_keys &keys, revision_number after)
{
    mirror_update update;
    update.revision = keys.revision;
    update.digest = mirrorDigest(keys);
    update.snapshot = after < keys.compactedRevision || after == revision_number{};
    for (const auto &[key, value] : keys.values) {
        if (update.snapshot ? !value.removed : value.revision > after) {
            update.changes.push_back({key, value});
        }
    }
    std::sort(update.changes.begin(), update.changes.end(), isOlder);
    return update;
}

const mirrored_value *findExisting(const mirrored_keys &keys, const std::string &key)
{
    const auto found = keys.values.find(key);
    return found == keys.values.end() || found->second.removed ? nullptr : &found->second;
}

std::uint64_t mirrorDigest(const mirrored_keys &keys)
{
    std::uint64_t digest = 0;
    for (const auto &[key, value] : keys.values) {
        const auto seed = static_cast<std::uint64_t>(value.revision.value);
        digest ^= value.removed ? 0 : XXH3_64bits_withSeed(key.data(), key.size(), seed);
    }
    return digest;
}

revision_number resumeRevision(const mirrored_keys &keys)
{
    return keys.diverged ? revision_number{} : keys.revision;
}

std::vector<key_change> applyUpdate(mirrored_keys &keys, mirror_update update)
{
    if (!restoreTexts(keys, update)) {
        keys.diverged = true;
        return {};
    }
    std::vector<key_change> applied;
    if (update.snapshot) {
        applied = applyListing(keys, keys.prefix, update.changes, update.revision);
    } else {
        for (const auto &change : update.changes) {
            if (applyChange(keys, change)) {
                applied.push_back(change);
            }
        }
        advanceRevision(keys, update.revision);
    }
    keys.diverged = knowsNothingNewer(keys, update.revision) && mirrorDigest(keys) != update.digest;
    return applied;
}

} // namespace quetzalspool
