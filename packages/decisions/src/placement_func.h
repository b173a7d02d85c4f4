/** @file placement_func.h Choosing owners for slots. */
#ifndef PLACEMENT_FUNC_H
#define PLACEMENT_FUNC_H

#include "placement_type.h"

namespace quetzalspool {

/**
 * Assigns every slot without a living owner to the member with the greatest lack.
 * @param members Members of the cell; those of the pool that are not leaving can own slots.
 * @param pool Pool.
 * @param slots Present assignments.
 * @return Moves of unowned slots; empty if nobody can own them.
 */
std::vector<slot_move> assignUnowned(const std::vector<cell_member> &members, const pool_id &pool,
                                     const std::vector<slot_assignment> &slots);

/**
 * Chooses moves of slots whose owner lives: first all slots of leaving members, then those that reduce imbalance
 * by more than the aim's threshold.
 * @param members Members of the cell.
 * @param pool Pool.
 * @param slots Present assignments.
 * @param rules Rules of the pool.
 * @return Moves, at most as many as the rules allow at once, except for leaving members.
 */
std::vector<slot_move> planRebalance(const std::vector<cell_member> &members, const pool_id &pool,
                                     const std::vector<slot_assignment> &slots, const placement_rules &rules);

/**
 * Divides the slots of a pool over cells by weight, in contiguous runs.
 * @param slots Number of slots.
 * @param weights Cells with their weights.
 * @return For each slot, the index of its cell in weights; empty if no weight is positive.
 */
std::vector<std::size_t> divideSlots(std::uint32_t slots,
                                     const std::vector<std::pair<cell_id, std::uint32_t>> &weights);

/**
 * Measures imbalance: the greatest load of a member over its fair share, less one.
 * @param members Members of the cell.
 * @param pool Pool.
 * @param slots Present assignments.
 * @return Zero if even.
 */
double imbalanceOf(const std::vector<cell_member> &members, const pool_id &pool,
                   const std::vector<slot_assignment> &slots);

} // namespace quetzalspool

#endif // PLACEMENT_FUNC_H
