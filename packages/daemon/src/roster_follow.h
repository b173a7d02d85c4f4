/** @file roster_follow.h Following keys of the store through reads and watches. */
#ifndef ROSTER_FOLLOW_H
#define ROSTER_FOLLOW_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Logs when the store is lost and when it is back, once each.
 * @param control Control state.
 * @param heard Whether the last call was answered.
 * @param why Why it was not.
 */
void recordStoreResult(roster_control &control, bool answered, const last_reason &why);

/**
 * Finds what is followed under a prefix.
 * @param control Control state.
 * @param prefix Prefix.
 * @return It, or null.
 */
std::shared_ptr<mirrored_prefix> findMirrored(const roster_control &control, std::string_view prefix);

/**
 * Takes changes that another daemon told.
 * @param control Control state.
 * @param followed What is followed.
 * @param update Changes.
 * @return Whether there was any news.
 */
bool applyUpstreamUpdate(roster_control &control, mirrored_prefix &mirrored, const mirror_update &update);

/**
 * Takes all keys under a prefix, as they were read from the store.
 * @param control Control state.
 * @param followed What is followed.
 * @param prefix The followed prefix or a longer one.
 * @param all What was read.
 */
void applyRangeResult(roster_control &control, mirrored_prefix &mirrored, std::string_view prefix,
                      const range_result &all);

/**
 * Reads everything, then watches, for as long as the process runs, but for the times in which other daemons tell of all
 * changes. A watch that was cut or told nothing may have missed changes, so a read follows it.
 * @param control Control state.
 * @param followed What is followed.
 * @param onChange Called after each change taken.
 * @return An awaitable.
 */
asio::awaitable<void> mirrorPrefix(roster_control &control, std::shared_ptr<mirrored_prefix> mirrored,
                                   std::function<void()> onChange);

/**
 * Compares the store's revision with what the watches have told once they have had time to tell it. A watch may be deaf
 * without being cut.
 * @param control Control state.
 * @param revision Revision of the whole store at this confirmation.
 * @return An awaitable.
 */
asio::awaitable<void> catchUpLaggingPrefixes(roster_control &control, revision_number revision);

} // namespace quetzalspool

#endif // ROSTER_FOLLOW_H
