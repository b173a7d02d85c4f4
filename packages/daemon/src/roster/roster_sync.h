/** @file roster_sync.h Mirroring the roster, and performing the store calls that were decided. */
#ifndef ROSTER_SYNC_H
#define ROSTER_SYNC_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Mirrors the entries, markers and ownership records until the process ends.
 * @param control Control state.
 * @param onChange Called after changes were applied.
 * @return An awaitable.
 */
asio::awaitable<void> mirrorRoster(roster_control &control, std::function<void()> onChange);

/**
 * Mirrors the tables until the process ends.
 * @param control Control state.
 * @param onChange Called after changes were applied.
 * @return An awaitable.
 */
asio::awaitable<void> mirrorTables(roster_control &control, std::function<void()> onChange);

/**
 * Performs one action that was decided.
 * @param control Control state.
 * @param action Action.
 * @param onChange Called when the result was applied.
 * @return An awaitable.
 */
asio::awaitable<void> performAction(roster_control &control, roster_action action, std::function<void()> onChange);

} // namespace quetzalspool

#endif // ROSTER_SYNC_H
