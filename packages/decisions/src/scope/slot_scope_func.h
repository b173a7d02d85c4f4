/** @file slot_scope_func.h Where the slots of a keyed pool may be placed, by region and by drained failure domain. */
#ifndef SLOT_SCOPE_FUNC_H
#define SLOT_SCOPE_FUNC_H

#include "roster_moves_func.h"

namespace quetzalspool {

/**
 * Lists the nodes whose target belongs to a pool and accepts slots, wherever they are.
 * @param state Roster.
 * @param pool Pool.
 * @return Nodes, ordered by name.
 */
std::vector<const roster_node *> acceptingNodes(const roster_state &state, const pool_id &pool);

/**
 * Lists those of them that may receive slots: in the regions of the pool and outside drained domains. If there are
 * none, the present owners stay, so that the slots are served at once when a domain returns to service.
 * @param state Roster.
 * @param pool Pool.
 * @param accepting Result of acceptingNodes().
 * @return Nodes, ordered by name.
 */
std::vector<const roster_node *> receivingNodes(const roster_state &state, const pool_id &pool,
                                                const std::vector<const roster_node *> &accepting);

/**
 * Checks whether the local target must hand over all its slots because its failure domain is drained.
 * @param state Roster.
 * @return Whether it must; not if no target outside could receive them.
 */
bool mustLeaveDomain(const roster_state &state);

/**
 * Marks the ranges of owners outside the regions of a pool to be moved. Owners in drained domains are left out, since
 * they hand over their slots themselves.
 * @param state Roster.
 * @param record Owners of the pool; changed.
 * @param receivers Result of receivingNodes().
 * @return Whether anything changed.
 */
bool planRegionMoves(const roster_state &state, ownership_record &record,
                     const std::vector<const roster_node *> &receivers);

/**
 * Marks slots to be moved to receivers that have far less than their share, as after the end of a drain. Rebalancing
 * finds no window that is worth a move there, since slots that were handed over lie in small blocks. Does nothing
 * where domains can't be drained.
 * @param state Roster.
 * @param record Owners of the pool; changed.
 * @param receivers Result of receivingNodes().
 * @param held Slots that were moved recently and are not moved again.
 * @return Whether anything changed.
 */
bool planReturnMoves(const roster_state &state, ownership_record &record,
                     const std::vector<const roster_node *> &receivers, const held_slots &held = {});

} // namespace quetzalspool

#endif // SLOT_SCOPE_FUNC_H
