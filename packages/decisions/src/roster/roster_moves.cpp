/** @file roster_moves.cpp Slots that were moved recently: the planner does not move them again at once. */
#include "roster_moves_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

/** Time for which a slot stays with its owner after a move. Each move leaves the slot without an owner for about a
 * second, so one that moves more often is hardly served. */
constexpr milliseconds moveHoldTime{5000};

bool isOver(const recent_move &move, steady_time now)
{
    return now - move.lastSeen >= moveHoldTime;
}

} // namespace

void recordMoves(std::vector<recent_move> &moves, const ownership_record &record, steady_time now)
{
    std::erase_if(moves, [&](const auto &move) { return isOver(move, now); });
    for (const auto &range : record.ranges) {
        if (range.nextOwner.value.empty()) {
            continue;
        }
        std::erase_if(moves, [&](const auto &move) { return range.first <= move.first && move.last <= range.last; });
        moves.push_back({range.first, range.last, now});
    }
}

held_slots findHeldSlots(const std::vector<recent_move> &moves, steady_time now)
{
    held_slots held;
    for (const auto &move : moves) {
        if (!isOver(move, now)) {
            held.resize(numericSlots);
            std::fill(held.begin() + move.first, held.begin() + move.last + 1, true);
        }
    }
    return held;
}

bool isHeld(const held_slots &held, std::uint32_t slot)
{
    return !held.empty() && held[slot];
}

} // namespace quetzalspool
