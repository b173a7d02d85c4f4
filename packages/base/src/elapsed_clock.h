/** @file elapsed_clock.h The clock of all decisions: time that has really passed. */
#ifndef ELAPSED_CLOCK_H
#define ELAPSED_CLOCK_H

#include "base_type.h"

#include <ctime>

namespace quetzalspool {

/**
 * A clock that never steps and also counts the time in which the machine was suspended. The usual monotonic clock
 * leaves that out, while leases and holds that others count run on: a machine that wakes would take its own for valid.
 */
struct elapsed_clock
{
    /**
     * Reads the clock.
     * @return Present time.
     */
    static steady_time now() noexcept
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return steady_time(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    /**
     * Translates a moment for timers, which run on the monotonic clock.
     * @param deadline Moment on this clock.
     * @return The same moment as timers count, unless the machine is suspended before it.
     */
    static steady_time forTimers(steady_time deadline) noexcept
    {
        return std::chrono::steady_clock::now() + (deadline - now());
    }
};

} // namespace quetzalspool

#endif // ELAPSED_CLOCK_H
