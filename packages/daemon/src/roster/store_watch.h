/** @file store_watch.h Cancellable watches of the store, and since when all of them have been open. */
#ifndef STORE_WATCH_H
#define STORE_WATCH_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Watches a mirrored prefix once, from the revision that its mirror has.
 * @param control Control state.
 * @param mirrored Prefix to watch.
 * @param wait Time after which the watch ends if there is no change.
 * @param why Receives the reason if the store did not respond.
 * @return Result of the watch; nothing if the store did not respond or the watch was cancelled.
 */
asio::awaitable<std::optional<watch_result>> watchMirroredPrefix(roster_control &control,
                                                                 std::shared_ptr<mirrored_prefix> mirrored,
                                                                 milliseconds wait, last_reason &why);

/**
 * Records that a prefix is not watched until the next watch of it begins.
 * @param control Control state.
 * @param mirrored Prefix.
 */
void recordNotWatched(roster_control &control, mirrored_prefix &mirrored);

/**
 * Waits while an upstream delivers all changes, so that the store need not be watched.
 * @param control Control state.
 * @param mirrored Prefix that is not watched meanwhile.
 * @return An awaitable.
 */
asio::awaitable<void> waitWhileUpstreamCurrent(roster_control &control, std::shared_ptr<mirrored_prefix> mirrored);

/**
 * Resumes the watches that wait because an upstream delivered all changes: none does any more.
 * @param control Control state.
 */
void resumeWatches(roster_control &control);

/**
 * Cancels all watches in progress, so that they are opened again. A watch that was open while the store was lost may
 * deliver nothing more without reporting an error.
 * @param control Control state.
 */
void cancelWatches(roster_control &control);

} // namespace quetzalspool

#endif // STORE_WATCH_H
