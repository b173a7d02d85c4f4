/** @file mirror_cmd.cpp Keeping a mirror of keys of the store, and telling others what changed. */
#include "mirror_func.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace quetzalspool {

namespace {

constexpr std::size_t removalsKept = 512; ///< Removed keys that are remembered; who is further behind is told all keys.

bool isOlder(const key_change &a, const key_change &b)
{
    return a.now.revision < b.now.revision;
}

/** Forgets the oldest removals if there are too many. */
void forgetRemovals(mirrored_keys &keys)
{
    if (keys.removals <= removalsKept) {
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
    keys.forgotten = std::max(keys.forgotten, *middle);
    keys.removals -= std::erase_if(keys.values, [&](const auto &entry) {
        return entry.second.removed && entry.second.revision <= keys.forgotten;
    });
}

} // namespace

bool takeChange(mirrored_keys &keys, const key_change &change)
{
    const auto known = keys.values.find(change.key);
    if (known == keys.values.end()) {
        // What was removed and forgotten must not come back by a late word of an earlier write.
        if (change.now.revision <= keys.forgotten) {
            return false;
        }
    } else if (change.now.revision <= known->second.revision) {
        return false;
    }
    auto &value = keys.values[change.key];
    keys.removals += change.now.removed ? 1 : 0;
    keys.removals -= value.removed ? 1 : 0;
    value = change.now;
    forgetRemovals(keys);
    return true;
}

std::vector<key_change> takeWhole(mirrored_keys &keys, std::string_view prefix, const std::vector<key_change> &values,
                                  revision_number revision)
{
    std::vector<key_change> news;
    std::set<std::string_view> listed;
    for (const auto &value : values) {
        listed.insert(value.key);
        if (takeChange(keys, value)) {
            news.push_back(value);
        }
    }
    std::vector<key_change> gone;
    for (const auto &[key, value] : keys.values) {
        if (key.starts_with(prefix) && !value.removed && !listed.contains(key) && value.revision <= revision) {
            gone.push_back({key, {"", revision, true}});
        }
    }
    for (auto &change : gone) {
        // A key that was written at the very revision of the list was removed while its later pages were read.
        change.now.revision.value += change.now.revision == keys.values[change.key].revision ? 1 : 0;
        takeChange(keys, change);
        news.push_back(std::move(change));
    }
    std::sort(news.begin(), news.end(), isOlder);
    if (prefix == keys.prefix) {
        noteSeen(keys, revision);
    }
    return news;
}

void noteSeen(mirrored_keys &keys, revision_number revision)
{
    keys.seen = std::max(keys.seen, revision);
}

mirror_update changesAfter(const mirrored_keys &keys, revision_number after)
{
    mirror_update update;
    update.seen = keys.seen;
    update.digest = digestOf(keys);
    update.whole = after < keys.forgotten || after == revision_number{};
    for (const auto &[key, value] : keys.values) {
        if (update.whole ? !value.removed : value.revision > after) {
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

std::uint64_t digestOf(const mirrored_keys &keys)
{
    std::uint64_t digest = 0;
    for (const auto &[key, value] : keys.values) {
        const auto seed = static_cast<std::uint64_t>(value.revision.value);
        digest ^= value.removed ? 0 : XXH3_64bits_withSeed(key.data(), key.size(), seed);
    }
    return digest;
}

revision_number askAfter(const mirrored_keys &keys)
{
    return keys.differs ? revision_number{} : keys.seen;
}

std::vector<key_change> takeUpdate(mirrored_keys &keys, const mirror_update &update)
{
    const bool noOlder = update.seen >= keys.seen;
    std::vector<key_change> news;
    if (update.whole) {
        news = takeWhole(keys, keys.prefix, update.changes, update.seen);
    } else {
        for (const auto &change : update.changes) {
            if (takeChange(keys, change)) {
                news.push_back(change);
            }
        }
        noteSeen(keys, update.seen);
    }
    keys.differs = noOlder && digestOf(keys) != update.digest;
    return news;
}

} // namespace quetzalspool
