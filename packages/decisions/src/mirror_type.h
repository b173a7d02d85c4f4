/** @file mirror_type.h What a daemon knows of keys of the store, kept so that it can tell other daemons. */
#ifndef MIRROR_TYPE_H
#define MIRROR_TYPE_H

#include "base_type.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalspool {

/** One key as last known. */
struct mirrored_value
{
    std::string text; ///< Value; empty if the key was removed.
    revision_number revision; ///< Revision of its last change.
    bool removed = false; ///< Whether it was removed.

    bool operator==(const mirrored_value &) const = default;
};

/** A change of one key. */
struct key_change
{
    std::string key; ///< Key.
    mirrored_value value; ///< What it is now.

    bool operator==(const key_change &) const = default;
};

/** All keys under one prefix, as this daemon knows them. */
struct mirrored_keys
{
    std::string prefix; ///< Prefix.
    revision_number revision; ///< All changes up to this revision are known.
    revision_number compactedRevision; ///< Removals up to this revision may have been forgotten.
    std::map<std::string, mirrored_value> values; ///< By key, lately removed ones too.
    std::size_t tombstones = 0; ///< Removed ones among them.
    bool diverged =
        false; ///< Whether another daemon's mirror that is no older was seen to differ: all is asked for next.
};

/** What changed under one prefix since a revision. */
struct mirror_update
{
    bool snapshot = false; ///< Whether these are all keys: what is not named does not exist.
    revision_number revision; ///< All changes up to this revision are known now.
    std::uint64_t digest = 0; ///< Of all keys that exist, as mirrorDigest reckons it.
    std::vector<key_change> changes; ///< Changes, oldest first.

    bool operator==(const mirror_update &) const = default;
};

/** What one daemon asks another one: to be told of changes. */
struct changes_request
{
    instance_id node; ///< Who asks.
    std::vector<revision_number> revisions; ///< By followed prefix: what it knows.
};

/** The answer. */
struct changes_response
{
    std::vector<mirror_update> updates; ///< By followed prefix.
    milliseconds verifiedOffset{0}; ///< From the arrival of the question to when the store was last asked for all
                                    ///< entries of nodes; negative if that was before.
    revision_number entryRevision; ///< Revision of the asker's entry, which was there then or later; 0 if it was not.
    milliseconds watermarkOffset{0}; ///< From the arrival of the question to the moment up to which all changes are
                                     ///< known; negative if that was before.

    bool operator==(const changes_response &) const = default;
};

} // namespace quetzalspool

#endif // MIRROR_TYPE_H
