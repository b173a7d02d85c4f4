/** @file roster_mirror.h Mirroring keys of the store by reads and watches. */
#ifndef ROSTER_MIRROR_H
#define ROSTER_MIRROR_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Records the era of the store. In a new one, the own entry and its lease are gone, and watches start again.
 * @param control Control state.
 * @param era Era that the store or another daemon named.
 */
void applyStoreEra(roster_control &control, era_number era);

/**
 * Records whether a call to the store got a response, and logs when the store becomes unreachable or reachable. When it
 * is reachable again, all watches are restarted.
 * @param control Control state.
 * @param answered Whether the store responded to the call.
 * @param why Reason if it did not.
 */
void recordStoreResult(roster_control &control, bool answered, const last_reason &why);

/**
 * Finds the mirror of a prefix.
 * @param control Control state.
 * @param prefix Prefix.
 * @return The mirrored prefix, or null.
 */
std::shared_ptr<mirrored_prefix> findMirrored(const roster_control &control, std::string_view prefix);

/**
 * Applies an update received from an upstream daemon.
 * @param control Control state.
 * @param mirrored Mirrored prefix.
 * @param update Changes or a snapshot.
 * @return Whether any change was not known before.
 */
bool applyUpstreamUpdate(roster_control &control, mirrored_prefix &mirrored, const mirror_update &update);

/**
 * Applies all keys under a prefix as read from the store.
 * @param control Control state.
 * @param mirrored Mirrored prefix.
 * @param prefix The mirrored prefix or a longer one.
 * @param all Keys and values read, with the revision of the store.
 */
void applyRangeResult(roster_control &control, mirrored_prefix &mirrored, std::string_view prefix,
                      const range_result &all);

/**
 * Reads all keys of a prefix, then watches it until the process ends. The watch is suspended while an upstream daemon
 * delivers all changes. A watch that was interrupted or returned no events may have missed changes, so the keys are
 * read again after it unless an upstream daemon is current.
 * @param control Control state.
 * @param mirrored Mirrored prefix.
 * @param onChange Called after changes were applied.
 * @return An awaitable.
 */
asio::awaitable<void> mirrorPrefix(roster_control &control, std::shared_ptr<mirrored_prefix> mirrored,
                                   std::function<void()> onChange);

/**
 * Compares the store's revision with those of the mirrors, after the watches have had time to deliver, and reads the
 * changes that a mirror lacks. A watch can stall without being disconnected.
 * @param control Control state.
 * @param revision Revision of the whole store when the own entry was confirmed.
 * @return An awaitable.
 */
asio::awaitable<void> catchUpLaggingPrefixes(roster_control &control, revision_number revision);

} // namespace quetzalspool

#endif // ROSTER_MIRROR_H
