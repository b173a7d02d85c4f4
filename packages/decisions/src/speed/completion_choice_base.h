/** @file completion_choice_base.h What a daemon knows about the speeds of targets behind other daemons. */
#ifndef COMPLETION_CHOICE_BASE_H
#define COMPLETION_CHOICE_BASE_H

#include "speed_estimate_base.h"

namespace quetzalspool {

/** Last report of one target's speed. */
struct target_pace
{
    double slowness = 1; ///< Reported service time relative to the pool's mean for the same kind of request.
    steady_time reportedAt{}; ///< When it was reported.
    std::uint32_t sentSinceReport = 0; ///< Requests sent there since the last report of its load.
};

/** Mean load of the targets of one region. */
struct region_load
{
    double loadPerSlot = 0; ///< Admitted and queued requests per slot.
    steady_time reportedAt{}; ///< When the last report was received.
};

/** Means over the reports of a pool's targets. */
struct pool_pace
{
    std::map<work_kind, double> serviceMs; ///< Mean service time of each kind of request in milliseconds.
    std::map<region_id, region_load> loads; ///< Mean load by region.
};

} // namespace quetzalspool

#endif // COMPLETION_CHOICE_BASE_H
