/** @file elapsed_clock.h Monotonic clock that includes the time in which the instance was suspended. */
#ifndef ELAPSED_CLOCK_H
#define ELAPSED_CLOCK_H

#include "base_type.h"

#include <ctime>

namespace quetzalspool {

/**
 * Monotonic clock that also advances while the instance is suspended; used for all decisions. CLOCK_MONOTONIC stops
 * during suspend, while the leases and grants that other instances keep continue to expire: after a resume, this
 * instance would consider its own leases still valid.
 */
struct elapsed_clock
{
    /**
     * Reads the clock.
     * @return Current time.
     */
    static steady_time now() noexcept
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return steady_time(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    /**
     * Converts a deadline for timers, which use std::chrono::steady_clock.
     * @param deadline Deadline on this clock.
     * @return The same deadline on steady_clock; it comes too late if the instance is suspended before it.
     */
    static steady_time forTimers(steady_time deadline) noexcept
    {
        return std::chrono::steady_clock::now() + (deadline - now());
    }
};

} // namespace quetzalspool

#endif // ELAPSED_CLOCK_H
