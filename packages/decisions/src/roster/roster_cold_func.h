/** @file roster_cold_func.h Cold targets in the planning of owners. */
#ifndef ROSTER_COLD_FUNC_H
#define ROSTER_COLD_FUNC_H

#include "roster_load_func.h"

namespace quetzalspool {

/**
 * Notes in the own entry how long the target is cold at the first report of an incarnation. The value then stays, so
 * that the entry is written once for each incarnation.
 * @param state Roster; its own entry still names the incarnation before.
 * @param report First or later report.
 */
void noteOwnColdness(roster_state &state, const target_report &report);

/**
 * Notes how long the target of an entry is cold, if the entry names another incarnation than before.
 * @param state Roster.
 * @param before Entry before; empty if none was known.
 * @param entry Entry.
 * @param now Present time.
 */
void noteEntryColdness(roster_state &state, const std::optional<roster_node> &before, const roster_node &entry,
                       steady_time now);

/**
 * Drops targets that are no longer cold, and sets the pool's cold rate, before owners are planned.
 * @param state Roster.
 * @param pool Pool.
 * @param now Present time.
 */
void refreshColdness(roster_state &state, const pool_id &pool, steady_time now);

/**
 * Limits the capacity of a target that is cold according to its entry.
 * @param capacity Capacity without that; in concurrency slots if no speed is known.
 * @param id Daemon.
 * @param load Observed load; null if there is none.
 * @return Capacity in the same unit.
 */
double coldCapacity(double capacity, const instance_id &id, const pool_load *load);

/**
 * Limits the fair shares of targets whose capacity is at most that of a cold one, and distributes the rest over the
 * others by their capacity. Shares stay in proportion if there are no others, so that all slots get an owner.
 * @param loads Candidates, whose fair share is their capacity; updated.
 * @param total Load of all slots.
 * @param load Observed load; null if there is none.
 */
void shareLoad(std::vector<candidate_load> &loads, double total, const pool_load *load);

} // namespace quetzalspool

#endif // ROSTER_COLD_FUNC_H
