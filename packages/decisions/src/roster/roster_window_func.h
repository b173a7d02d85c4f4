/** @file roster_window_func.h Windows of adjacent slots that move from one owner to another. */
#ifndef ROSTER_WINDOW_FUNC_H
#define ROSTER_WINDOW_FUNC_H

#include "roster_moves_func.h"

#include <optional>

namespace quetzalspool {

/** Adjacent slots of one owner. */
struct slot_window
{
    std::uint32_t first = 0; ///< First slot.
    std::uint32_t last = 0; ///< Last slot, inclusive.
    double load = 0; ///< Their load.
};

/** Load that a move should transfer, and the least that makes it worth a move. */
struct wanted_load
{
    double load = 0; ///< Load that should move.
    double least = 0; ///< A window with less is not moved.
};

/**
 * Finds the best window of an owner's slots to move.
 * @param record Owners.
 * @param owner Owner.
 * @param load Observed load; null if there is none.
 * @param wanted Load that should move.
 * @param held Slots that must not be moved.
 * @return The window, or nothing if none has a suitable load.
 */
std::optional<slot_window> findMove(const ownership_record &record, const instance_id &owner, const pool_load *load,
                                    const wanted_load &wanted, const held_slots &held);

/**
 * Splits a window off its range and sets the window's next owner.
 * @param record Owners; changed.
 * @param window Window.
 * @param next Next owner.
 */
void markForMove(ownership_record &record, const slot_window &window, const instance_id &next);

} // namespace quetzalspool

#endif // ROSTER_WINDOW_FUNC_H
