/** @file placement_func.h Placement of slots on members. */
#ifndef PLACEMENT_FUNC_H
#define PLACEMENT_FUNC_H

#include "drained_domains_base.h"
#include "placement_type.h"

namespace quetzalspool {

/**
 * Checks whether a member may receive slots.
 * @param member Member.
 * @param pool Pool.
 * @param drained Drained domains.
 * @return Whether it has a target of the pool, is not leaving and its failure domain is in service.
 */
bool canReceiveSlots(const cell_member &member, const pool_id &pool, const drained_domains &drained);

/**
 * Assigns every slot whose owner is no member to the member with the largest deficit against its fair share.
 * @param members Members of the cell; only those that can receive slots get any.
 * @param pool Pool.
 * @param slots Present assignments.
 * @param drained Drained domains.
 * @return Moves of unowned slots; empty if no member can own slots.
 */
std::vector<slot_move> assignUnowned(const std::vector<cell_member> &members, const pool_id &pool,
                                     const std::vector<slot_assignment> &slots, const drained_domains &drained = {});

/**
 * Plans moves of slots that have an owner: all slots of members that must own none, also of those in drained domains,
 * and slots of members whose excess over their fair share reaches the goal's threshold. If no member can receive slots,
 * the owners stay.
 * @param members Members of the cell.
 * @param pool Pool.
 * @param slots Present assignments.
 * @param rules Rules of the pool.
 * @param drained Drained domains.
 * @return Moves; those from members that can own slots are limited by the rules.
 */
std::vector<slot_move> planRebalance(const std::vector<cell_member> &members, const pool_id &pool,
                                     const std::vector<slot_assignment> &slots, const placement_rules &rules,
                                     const drained_domains &drained = {});

/**
 * Divides the slots of a pool among cells by weight, in contiguous ranges.
 * @param slots Number of slots.
 * @param weights Cells with their weights.
 * @return For each slot, the index of its cell in weights; empty if no weight is positive.
 */
std::vector<std::size_t> divideSlots(std::uint32_t slots,
                                     const std::vector<std::pair<cell_id, std::uint32_t>> &weights);

/**
 * Computes the imbalance: the greatest ratio of a member's slots to its fair share, minus one.
 * @param members Members of the cell.
 * @param pool Pool.
 * @param slots Present assignments.
 * @param drained Drained domains.
 * @return Imbalance; zero if no member exceeds its fair share.
 */
double imbalanceOf(const std::vector<cell_member> &members, const pool_id &pool,
                   const std::vector<slot_assignment> &slots, const drained_domains &drained = {});

} // namespace quetzalspool

#endif // PLACEMENT_FUNC_H
