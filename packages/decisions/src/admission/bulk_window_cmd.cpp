/** @file bulk_window_cmd.cpp Congestion control for large responses over an instance's link. */
#include "bulk_window_func.h"

#include <algorithm>
#include <cassert>

namespace quetzalspool {

namespace {

constexpr double growthBytesPerWindow =
    16384; ///< Maximum growth per window of acknowledged bytes, after the exponential growth.
constexpr double shrinkFactor = 0.5; ///< Maximum loss per window of acknowledged bytes, as a share of the window.

/** Distance of a queueing delay from the goal: 1 without any delay, -1 at twice the goal or more. */
double distanceFromGoal(const bulk_window &window, std::chrono::microseconds delay)
{
    const std::chrono::duration<double> goal = window.limits.delayGoal;
    return std::clamp((goal - delay) / goal, -1.0, 1.0);
}

} // namespace

bool canSend(const bulk_window &window)
{
    return static_cast<double>(window.inFlightBytes) < window.windowBytes;
}

void recordSent(bulk_window &window, std::size_t bytes)
{
    window.inFlightBytes += bytes;
}

void releaseBytes(bulk_window &window, std::size_t bytes)
{
    assert(window.inFlightBytes >= bytes);
    window.inFlightBytes -= bytes;
}

void recordDelivery(bulk_window &window, path_delay &path, const delivery &frame, steady_time now)
{
    const bool windowUsed = static_cast<double>(window.inFlightBytes) >= window.windowBytes / 2;
    releaseBytes(window, frame.bytes);
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(now - frame.sentAt);
    path.baseDelay = std::min(path.baseDelay.value_or(took), took);
    const auto distance = distanceFromGoal(window, took - *path.baseDelay);
    window.slowStart = window.slowStart && distance > 0;
    if (distance > 0 && !(frame.windowLimited && windowUsed)) {
        return; // The window was not used up, so this delay doesn't show whether a larger one would fit.
    }
    const auto bytes = static_cast<double>(frame.bytes);
    if (distance < 0) {
        window.windowBytes += distance * bytes * shrinkFactor;
    } else {
        window.windowBytes += window.slowStart ? bytes : distance * bytes * growthBytesPerWindow / window.windowBytes;
    }
    window.windowBytes = std::clamp(window.windowBytes, static_cast<double>(window.limits.minBytes),
                                    static_cast<double>(window.limits.maxBytes));
}

} // namespace quetzalspool
