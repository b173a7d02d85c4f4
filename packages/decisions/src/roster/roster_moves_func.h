/** @file roster_moves_func.h Slots that were moved recently: the planner does not move them again at once. */
#ifndef ROSTER_MOVES_FUNC_H
#define ROSTER_MOVES_FUNC_H

#include "roster_base.h"

namespace quetzalspool {

/** Whether each slot of a pool was moved recently; empty if none was. */
using held_slots = std::vector<bool>;

/**
 * Records the planned moves that are in progress, and forgets those that ended before the hold time.
 * @param moves Moves of the pool.
 * @param record Owners of the pool.
 * @param now Current time.
 */
void recordMoves(std::vector<recent_move> &moves, const ownership_record &record, steady_time now);

/**
 * Determines the slots that stay with their owner because they were moved recently.
 * @param moves Moves of the pool.
 * @param now Current time.
 * @return Slots that rebalancing must not move.
 */
held_slots findHeldSlots(const std::vector<recent_move> &moves, steady_time now);

/**
 * Checks whether a slot was moved recently.
 * @param held Slots that were moved recently.
 * @param slot Slot.
 * @return Whether rebalancing must not move it.
 */
bool isHeld(const held_slots &held, std::uint32_t slot);

} // namespace quetzalspool

#endif // ROSTER_MOVES_FUNC_H
