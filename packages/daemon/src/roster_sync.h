/** @file roster_sync.h Calls to the store for the roster: following it, and making what was decided. */
#ifndef ROSTER_SYNC_H
#define ROSTER_SYNC_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Reads everything, then follows the changes, for as long as the process runs.
 * @param control Control state.
 * @param onChange Called after each change taken.
 * @return An awaitable.
 */
asio::awaitable<void> mirrorRoster(roster_control &control, std::function<void()> onChange);

/**
 * Follows the tables, for as long as the process runs.
 * @param control Control state.
 * @param onChange Called after each change taken.
 * @return An awaitable.
 */
asio::awaitable<void> mirrorTables(roster_control &control, std::function<void()> onChange);

/**
 * Makes one decided call.
 * @param control Control state.
 * @param action Call.
 * @param onChange Called when its outcome was taken.
 * @return An awaitable.
 */
asio::awaitable<void> performAction(roster_control &control, roster_action action, std::function<void()> onChange);

} // namespace quetzalspool

#endif // ROSTER_SYNC_H
