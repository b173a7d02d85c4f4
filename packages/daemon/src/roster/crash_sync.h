/** @file crash_sync.h Crashes of targets in the store, by which daemons tell each other which requests to suspect. */
#ifndef CRASH_SYNC_H
#define CRASH_SYNC_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Records the suspects of a crash that a daemon published.
 * @param control Control state.
 * @param value Value in the store.
 * @param now Present time.
 */
void applyStoredCrash(roster_control &control, const stored_value &value, steady_time now);

/**
 * Begins to publish the crashes of the local target that other daemons have not been told, unless it is under way.
 * @param control Control state.
 */
void publishCrashes(roster_control &control);

} // namespace quetzalspool

#endif // CRASH_SYNC_H
