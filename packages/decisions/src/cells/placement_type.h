/** @file placement_type.h Rules and results of slot placement. */
#ifndef PLACEMENT_TYPE_H
#define PLACEMENT_TYPE_H

#include "record_base.h"

namespace quetzalspool {

/** Optimization goal for one pool. */
enum class placement_goal
{
    unavailable_time, ///< Minimize unavailability: slots soon leave a slow or overloaded target.
    churn, ///< Minimize moves: slots stay where they are unless the imbalance is large.
};

/** Placement rules of one pool. */
struct placement_rules
{
    placement_goal goal = placement_goal::unavailable_time; ///< Optimization goal.
    std::size_t movesAtOnce = 4; ///< Maximum number of moves, in one round of planning, from live owners that are not
                                 ///< leaving.
};

/** A change of the owner of one slot. */
struct slot_move
{
    slot_number slot; ///< Slot within the pool.
    instance_id from; ///< Present owner; empty if none.
    instance_id to; ///< New owner.

    bool operator==(const slot_move &) const = default;
};

} // namespace quetzalspool

#endif // PLACEMENT_TYPE_H
