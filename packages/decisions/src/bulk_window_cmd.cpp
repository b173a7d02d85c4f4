/** @file bulk_window_cmd.cpp Decisions about the part of an instance's link that large answers may use. */
#include "bulk_window_func.h"

#include <algorithm>
#include <cassert>

namespace quetzalspool {

namespace {

constexpr double growthBytes = 16384; ///< Growth of the budget over one budget's worth of deliveries, at most.
constexpr double shrinkPart = 0.5; ///< Part of the budget that is lost over as many deliveries, at most.

/** How far a delivery was from the goal: 1 without any delay, -1 at twice the goal or more. */
double distanceFromGoal(const link_share &share, std::chrono::microseconds delay)
{
    const std::chrono::duration<double> goal = share.limits.delayGoal;
    return std::clamp((goal - delay) / goal, -1.0, 1.0);
}

} // namespace

bool hasRoom(const link_share &share)
{
    return static_cast<double>(share.underWay) < share.budget;
}

void noteSent(link_share &share, std::size_t bytes)
{
    share.underWay += bytes;
}

void noteDropped(link_share &share, std::size_t bytes)
{
    assert(share.underWay >= bytes);
    share.underWay -= bytes;
}

void noteDelivered(link_share &share, path_delay &path, const delivery &piece, steady_time now)
{
    const bool used = static_cast<double>(share.underWay) >= share.budget / 2;
    noteDropped(share, piece.bytes);
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(now - piece.sentAt);
    path.least = std::min(path.least.value_or(took), took);
    const auto distance = distanceFromGoal(share, took - *path.least);
    share.probing = share.probing && distance > 0;
    if (distance > 0 && !(piece.limited && used)) {
        return; // What was asked for fitted: that says nothing about how much more would.
    }
    const auto bytes = static_cast<double>(piece.bytes);
    if (distance < 0) {
        share.budget += distance * bytes * shrinkPart;
    } else {
        share.budget += share.probing ? bytes : distance * bytes * growthBytes / share.budget;
    }
    share.budget =
        std::clamp(share.budget, static_cast<double>(share.limits.least), static_cast<double>(share.limits.most));
}

} // namespace quetzalspool
