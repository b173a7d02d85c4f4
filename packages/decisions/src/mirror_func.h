/** @file mirror_func.h Keeping a mirror of keys of the store, and telling others what changed. */
#ifndef MIRROR_FUNC_H
#define MIRROR_FUNC_H

#include "mirror_type.h"

#include <optional>
#include <string_view>

namespace quetzalspool {

/**
 * Takes a change, in any order of arrival.
 * @param keys Mirror.
 * @param change Change.
 * @return Whether it was news. A change that is older than what is known, or than a list without the key, is none.
 */
bool applyChange(mirrored_keys &keys, const key_change &change);

/**
 * Takes all keys under a prefix, as they were read.
 * @param keys Mirror.
 * @param prefix The mirror's prefix or a longer one.
 * @param values All keys under it.
 * @param revision Revision of the store at the start of the read.
 * @return What was news, oldest first; keys that are known and not among the values were removed.
 */
std::vector<key_change> applyListing(mirrored_keys &keys, std::string_view prefix,
                                     const std::vector<key_change> &values, revision_number revision);

/**
 * Notes that all changes up to a revision were taken.
 * @param keys Mirror.
 * @param revision Revision.
 */
void advanceRevision(mirrored_keys &keys, revision_number revision);

/**
 * Collects what changed.
 * @param keys Mirror.
 * @param after What the asker knows; all keys are told if removals after it were forgotten here.
 * @return The changes.
 */
mirror_update changesAfter(const mirrored_keys &keys, revision_number after);

/**
 * Finds a key that exists.
 * @param keys Mirror.
 * @param key Key.
 * @return Its value, or null if it is not known or was removed.
 */
const mirrored_value *findExisting(const mirrored_keys &keys, const std::string &key);

/**
 * Reckons a digest of all keys that exist, with their revisions.
 * @param keys Mirror.
 * @return Digest; equal for mirrors that know the same.
 */
std::uint64_t mirrorDigest(const mirrored_keys &keys);

/**
 * What a mirror asks others for changes after.
 * @param keys Mirror.
 * @return The revision up to which it knows all; 0, for all keys, if it was seen to differ.
 */
revision_number resumeRevision(const mirrored_keys &keys);

/**
 * Takes what another daemon told. A watch may have passed over a change that is older than what this mirror has seen,
 * so that it is not among those told; the digest shows it.
 * @param keys Mirror; marked if it differs from one that is no older.
 * @param update Changes since the revision that this mirror had seen.
 * @return What was news, oldest first.
 */
std::vector<key_change> applyUpdate(mirrored_keys &keys, const mirror_update &update);

/**
 * Encodes an answer as MessagePack.
 * @param response Answer.
 * @return Bytes.
 */
std::string encodeChanges(const changes_response &response);

/**
 * Decodes an answer.
 * @param bytes Bytes.
 * @param why Receives the reason if they are no answer.
 * @return The answer, or nothing.
 */
std::optional<changes_response> decodeChanges(std::string_view bytes, last_reason &why);

} // namespace quetzalspool

#endif // MIRROR_FUNC_H
