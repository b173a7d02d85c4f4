/** @file roster_era_func.h Owners of keys after the store came back from an older copy. Internal to the package. */
#ifndef ROSTER_ERA_FUNC_H
#define ROSTER_ERA_FUNC_H

#include "roster_base.h"

namespace quetzalspool {

/**
 * Checks whether the owners of a pool were confirmed in the present era of the store. Owners that come from a copy may
 * be older than what the store lost, so grants of the lost era may contradict them.
 * @param state Roster.
 * @param stored Owners.
 * @return Whether they were; always for a store that names no era.
 */
bool isConfirmed(const roster_state &state, const stored_ownership &stored);

/**
 * Checks whether nobody else can hold a range of the local daemon under a grant of a lost era.
 * @param state Roster.
 * @param pool Pool.
 * @param range Range that the known owners assign to the local daemon.
 * @return Whether the range may be granted, and be handed to another owner.
 */
bool isEntitled(const roster_state &state, const pool_id &pool, const slot_range &range);

/**
 * Checks whether a grant would make the local target release ranges that it is going to keep: it is entitled to them,
 * but the store does not name it as their owner yet, or its daemon does not know yet whether it is entitled to any.
 * @param state Roster.
 * @return Whether the target must wait for its next grant.
 */
bool mustWaitForOwners(const roster_state &state);

/**
 * Gets the revision of the own marker.
 * @param state Roster.
 * @return Revision; 0 if none is known in the present era.
 */
revision_number ownMarker(const roster_state &state);

/**
 * Gets the revision that a write of a pool's owners requires.
 * @param state Roster.
 * @param stored Known owners.
 * @return Revision; 0 if the store has none in the present era.
 */
revision_number requiredRevision(const roster_state &state, const stored_ownership &stored);

/**
 * Completes owners that the store has in a new era by what the lost era assigned later, as far as this daemon knows.
 * @param stored Owners; of each slot, the assignment with the higher fencing token stays.
 * @param lost What is known of the lost era; receives the ranges in which the store is behind.
 */
void restoreLostOwners(ownership_record &stored, lost_ownership &lost);

/**
 * Forgets the ranges that the local target was entitled to hold, because the right to grant them has ended.
 * @param state Roster.
 * @param now Current time.
 */
void expireEntitlements(roster_state &state, steady_time now);

} // namespace quetzalspool

#endif // ROSTER_ERA_FUNC_H
