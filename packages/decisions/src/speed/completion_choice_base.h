/** @file completion_choice_base.h What a daemon knows about the speeds of targets behind other daemons. */
#ifndef COMPLETION_CHOICE_BASE_H
#define COMPLETION_CHOICE_BASE_H

#include "base_type.h"

namespace quetzalspool {

/** Last report of one target's speed. */
struct target_pace
{
    double serviceMs = 0; ///< Reported service time in milliseconds; 0 if none was reported.
    bool urgent = false; ///< Whether that is the service time of urgent requests.
    steady_time reportedAt{}; ///< When it was reported.
    std::uint32_t sentSinceReport = 0; ///< Requests sent there since the last report of its load.
};

/** Means over the reports of a pool's targets. */
struct pool_pace
{
    double urgentMs = 0; ///< Mean service time of urgent requests in milliseconds; 0 if none was reported.
    double normalMs = 0; ///< Mean service time of normal requests in milliseconds; 0 if none was reported.
    double loadPerSlot = 0; ///< Mean load.
};

} // namespace quetzalspool

#endif // COMPLETION_CHOICE_BASE_H
