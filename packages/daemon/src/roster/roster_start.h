/** @file roster_start.h The first copy of the store of a daemon that starts. */
#ifndef ROSTER_START_H
#define ROSTER_START_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Gets the first copy of the store from a daemon that reads it for others, or decides that this one reads it.
 * @param control Control state.
 * @param onChange Called when a copy has arrived.
 * @return An awaitable.
 */
asio::awaitable<void> getFirstCopy(roster_control &control, std::function<void()> onChange);

/**
 * Waits until the first copy has arrived from another daemon, or this one is to read the store.
 * @param control Control state.
 * @return An awaitable.
 */
asio::awaitable<void> awaitFirstCopy(roster_control &control);

} // namespace quetzalspool

#endif // ROSTER_START_H
