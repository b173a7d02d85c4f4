/** @file placement_type.h What placement weighs. */
#ifndef PLACEMENT_TYPE_H
#define PLACEMENT_TYPE_H

#include "record_base.h"

namespace quetzalspool {

/** What a customer weighs most in one pool. */
enum class placement_aim
{
    unavailable_time, ///< Slots leave a slow or overloaded target soon.
    churn, ///< Slots stay where they are unless the imbalance is large.
};

/** Rules of placement for one pool. */
struct placement_rules
{
    placement_aim aim = placement_aim::unavailable_time; ///< What weighs most.
    std::size_t movesAtOnce = 4; ///< Slots of living owners that may be on the move together.
};

/** One slot that should change its owner. */
struct slot_move
{
    slot_number slot; ///< Slot within the pool.
    instance_id from; ///< Present owner; empty if none.
    instance_id to; ///< Wanted owner.

    bool operator==(const slot_move &) const = default;
};

} // namespace quetzalspool

#endif // PLACEMENT_TYPE_H
