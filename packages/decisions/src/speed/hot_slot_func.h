/** @file hot_slot_func.h Placement of slots that alone exceed the share of an owner. */
#ifndef HOT_SLOT_FUNC_H
#define HOT_SLOT_FUNC_H

#include "roster_moves_func.h"

namespace quetzalspool {

/**
 * Marks ranges to be moved where speeds are learned. A hot slot, which alone exceeds its owner's share, moves to a
 * clearly faster owner, compared by the speed that its owner usually has: a fall of the speed that the hot slot itself
 * causes would follow it to the next owner. The other slots of its owner move away; the remaining owners share the
 * remaining load so that the mean response time is least. A window moves only if that shortens the mean response time,
 * and not to a receiver that ends up both nearly full and more utilized than the giver was.
 * @param record Owners; changed.
 * @param candidates Nodes whose target belongs to the pool and accepts slots.
 * @param load Observed load, or null.
 * @param held Slots that were moved recently and are not moved again.
 * @return Whether anything changed.
 */
bool planBySpeed(ownership_record &record, const std::vector<const roster_node *> &candidates, const pool_load *load,
                 const held_slots &held = {});

} // namespace quetzalspool

#endif // HOT_SLOT_FUNC_H
