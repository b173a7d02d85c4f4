/** @file store_watch.h Watches of the store that can be dropped, and the word that all of them are under way. */
#ifndef STORE_WATCH_H
#define STORE_WATCH_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Watches a followed prefix once, from what is known of it.
 * @param control Control state.
 * @param followed What is followed.
 * @param why Receives the reason if there was no answer.
 * @return What the store told; nothing without an answer, or if the watch was dropped.
 */
asio::awaitable<std::optional<watch_result>>
watchMirroredPrefix(roster_control &control, std::shared_ptr<followed_prefix> followed, last_reason &why);

/**
 * Rests while other daemons tell of all changes.
 * @param control Control state.
 * @param followed What is followed.
 * @return An awaitable.
 */
asio::awaitable<void> waitWhileUpstreamCurrent(roster_control &control, std::shared_ptr<followed_prefix> followed);

/**
 * Ends the rest of all watches: nobody tells of changes any more.
 * @param control Control state.
 */
void resumeWatches(roster_control &control);

/**
 * Drops all watches under way, which are then made anew. One that was under way while the store was lost may be dead
 * without any sign of it.
 * @param control Control state.
 */
void cancelWatches(roster_control &control);

} // namespace quetzalspool

#endif // STORE_WATCH_H
