/** @file drain_sync.h Failure domains that the operator takes out of service, mirrored with the tables. */
#ifndef DRAIN_SYNC_H
#define DRAIN_SYNC_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Applies a change of a key that names a drained domain; ignores other keys.
 * @param control Control state.
 * @param event Change.
 */
void applyDrainChange(roster_control &control, const watch_event &event);

/**
 * Records until when no drain can have begun unnoticed. A drain that is learned later may have begun at that time, and
 * keyed requests are served in the domain only for a limited time after it began.
 * @param control Control state.
 * @param now Current time.
 */
void recordDrainsKnown(roster_control &control, steady_time now);

/**
 * Looks up since when the failure domain of this daemon may be drained.
 * @param control Control state.
 * @return Time; nothing while the domain is in service.
 */
std::optional<steady_time> ownDomainDrainedSince(const roster_control &control);

} // namespace quetzalspool

#endif // DRAIN_SYNC_H
