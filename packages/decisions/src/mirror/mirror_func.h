/** @file mirror_func.h Keeping a mirror of the store's keys and serving its changes to other daemons. */
#ifndef MIRROR_FUNC_H
#define MIRROR_FUNC_H

#include "mirror_type.h"

#include <optional>
#include <string_view>

namespace quetzalspool {

/** Values with fewer bytes are sent as they are. */
constexpr std::size_t minPackedBytes = 1024;

/**
 * Applies a change. Changes may arrive in any order.
 * @param keys Mirror.
 * @param change Change.
 * @return True if the mirror changed; false if the change is older than the known state of the key, or than a listing
 * without the key.
 */
bool applyChange(mirrored_keys &keys, const key_change &change);

/**
 * Applies a listing of all keys under a prefix.
 * @param keys Mirror.
 * @param prefix The mirror's prefix or a longer one.
 * @param values All keys under the prefix. Known keys that are missing here were deleted.
 * @param revision Revision of the store at the start of the read.
 * @return Changes that were applied, oldest first.
 */
std::vector<key_change> applyListing(mirrored_keys &keys, std::string_view prefix,
                                     const std::vector<key_change> &values, revision_number revision);

/**
 * Records that all changes up to a revision were applied.
 * @param keys Mirror.
 * @param revision Revision.
 */
void advanceRevision(mirrored_keys &keys, revision_number revision);

/**
 * Collects the changes after a revision.
 * @param keys Mirror.
 * @param after Revision that the requester knows. If tombstones after it were dropped here, the update is a snapshot.
 * @return The update.
 */
mirror_update changesAfter(const mirrored_keys &keys, revision_number after);

/**
 * Finds an existing key.
 * @param keys Mirror.
 * @param key Key.
 * @return Its value, or null if the key is unknown or deleted.
 */
const mirrored_value *findExisting(const mirrored_keys &keys, const std::string &key);

/**
 * Computes a digest of all existing keys and their revisions.
 * @param keys Mirror.
 * @return Digest; equal for mirrors with the same keys.
 */
std::uint64_t mirrorDigest(const mirrored_keys &keys);

/**
 * Returns the revision after which to request changes from other daemons.
 * @param keys Mirror.
 * @return The known revision, or 0 to request a snapshot if the mirror has diverged.
 */
revision_number resumeRevision(const mirrored_keys &keys);

/**
 * Applies an update from another daemon. A watch may have missed a change older than this mirror's revision, which is
 * then not part of the update either; the digest reveals it.
 * @param keys Mirror; marked as diverged if the digest differs and the update is no older.
 * @param update Changes since this mirror's revision. If a packed value can't be restored, nothing is applied and the
 *               mirror is marked as diverged, so that the next request gets all values whole.
 * @return Changes that were applied, oldest first.
 */
std::vector<key_change> applyUpdate(mirrored_keys &keys, mirror_update update);

/**
 * Keeps a large value that is about to be replaced, and forgets earlier ones of a key that is deleted.
 * @param keys Mirror.
 * @param earlier Value before the change.
 * @param change Change.
 */
void recordEarlierValue(mirrored_keys &keys, const mirrored_value &earlier, const key_change &change);

/**
 * Packs the large values of an update: with a slow link, a document of some hundred kilobytes would reach the daemons
 * that follow this one later than its next version is written.
 * @param keys Mirror from which the update was collected.
 * @param update Update.
 * @param after Revision that the requester knows.
 */
void packUpdate(mirrored_keys &keys, mirror_update &update, revision_number after);

/**
 * Restores the packed values of an update.
 * @param keys Mirror of the receiver.
 * @param update Update.
 * @return False if a value can't be restored, because this daemon has another earlier value, or the bytes are damaged.
 */
bool restoreTexts(const mirrored_keys &keys, mirror_update &update);

/**
 * Compresses updates together: entries of nodes resemble each other, so that all of a fleet take a tenth of their size.
 * @param updates Updates.
 * @return Compressed bytes; empty if the updates are too small to gain from it, or too large to be restored.
 */
std::string packUpdates(const std::vector<mirror_update> &updates);

/**
 * Encodes a response as MessagePack.
 * @param response Response.
 * @return Encoded bytes.
 */
std::string encodeChanges(const changes_response &response);

/**
 * Decodes a response.
 * @param bytes Encoded bytes.
 * @param why Receives the reason if they can't be decoded.
 * @return The response, or nothing.
 */
std::optional<changes_response> decodeChanges(std::string_view bytes, last_reason &why);

} // namespace quetzalspool

#endif // MIRROR_FUNC_H
