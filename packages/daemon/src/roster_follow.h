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
void noteStore(roster_control &control, bool heard, const last_reason &why);

/**
 * Reads everything, then watches, for as long as the process runs. A watch that was cut or told nothing may have missed
 * changes, so a read follows it.
 * @param control Control state.
 * @param followed What is followed.
 * @param onChange Called after each change taken.
 * @return An awaitable.
 */
asio::awaitable<void> follow(roster_control &control, std::shared_ptr<followed_prefix> followed,
                             std::function<void()> onChange);

/**
 * Compares the store's revision with what the watches have told. A watch may be deaf without being cut; what the store
 * had changed at the confirmation before, it has had time to tell.
 * @param control Control state.
 * @param revision Revision of the whole store at this confirmation.
 * @return An awaitable.
 */
asio::awaitable<void> catchUpWhereBehind(roster_control &control, revision_number revision);

} // namespace quetzalspool

#endif // ROSTER_FOLLOW_H
