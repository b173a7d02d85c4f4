/** @file mirror_type.h Mirror of the store's keys under one prefix, and the changes that daemons send each other. */
#ifndef MIRROR_TYPE_H
#define MIRROR_TYPE_H

#include "base_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspool {

/** Last known state of one key. */
struct mirrored_value
{
    std::string text; ///< Value; empty if the key was deleted.
    revision_number revision; ///< Revision of the last change.
    bool removed = false; ///< Whether the key was deleted, which makes this a tombstone.

    bool operator==(const mirrored_value &) const = default;
};

/** A value in compressed form: the difference from an earlier value of the key, or by itself. */
struct packed_value
{
    revision_number base; ///< Revision of the earlier value; 0 if it is compressed by itself.
    std::string bytes; ///< Compressed value.

    bool operator==(const packed_value &) const = default;
};

/** Earlier values of a large value, from which the differences for other daemons are made. */
struct value_history
{
    std::vector<mirrored_value> earlier; ///< Earlier values, oldest first.
    std::vector<packed_value> packed; ///< Forms in which the present value was sent, by base.
};

/** A change of one key. */
struct key_change
{
    std::string key; ///< Key.
    mirrored_value value; ///< State after the change.
    std::optional<packed_value> packed = std::nullopt; ///< Compressed text on its way between daemons; the text of the
                                                       ///< value is empty then.

    bool operator==(const key_change &) const = default;
};

/** Mirror of all keys under one prefix. */
struct mirrored_keys
{
    std::string prefix; ///< Prefix.
    revision_number revision; ///< All changes up to this revision are known.
    revision_number compactedRevision; ///< Tombstones up to this revision may have been dropped.
    std::map<std::string, mirrored_value> values; ///< Existing keys and tombstones.
    std::map<std::string, value_history> histories; ///< Histories of large values.
    std::size_t tombstones = 0; ///< Number of tombstones among the values.
    bool diverged = false; ///< Whether the digest of an update differed although this mirror has nothing newer; the
                           ///< next request then asks for a snapshot.
};

/** Changes under one prefix since a revision. */
struct mirror_update
{
    bool snapshot = false; ///< Whether the changes list all existing keys; keys that are not listed do not exist.
    revision_number revision; ///< All changes up to this revision are included.
    std::uint64_t digest = 0; ///< Digest of all existing keys, as computed by mirrorDigest.
    std::vector<key_change> changes; ///< Changes, oldest first.

    bool operator==(const mirror_update &) const = default;
};

/** A request from one daemon to another for changes. */
struct changes_request
{
    instance_id node; ///< The requesting daemon.
    std::vector<revision_number> revisions; ///< Known revision for each followed prefix.
    bool restoresPacked = false; ///< Whether the requesting daemon restores packed values.
    std::optional<std::uint64_t> version; ///< Version in the last response of this daemon; 0 if there was none, nothing
                                          ///< if the requesting daemon does not name it.
    bool knowsEras = false; ///< Whether the requesting daemon orders revisions by the era of the store.
    bool readsPackedUpdates = false; ///< Whether the requesting daemon reads updates that are compressed together.
};

/** Response to a request for changes. Times are offsets from the arrival of the request, negative if before it. */
struct changes_response
{
    std::vector<mirror_update> updates; ///< One for each followed prefix.
    milliseconds verifiedOffset{0}; ///< When the last listing of all node entries was requested from the store.
    revision_number entryRevision; ///< Revision of the requester's entry, which existed at that time or later; 0 if the
                                   ///< entry is not known.
    milliseconds watermarkOffset{0}; ///< Time before which all changes are known.
    std::uint64_t version = 0; ///< Version of what the responding daemon knows; 0 if it does not name it.
    std::string packedUpdates; ///< The updates compressed together, sent in place of `updates`; empty if they are sent
                               ///< as they are.

    bool operator==(const changes_response &) const = default;
};

} // namespace quetzalspool

#endif // MIRROR_TYPE_H
