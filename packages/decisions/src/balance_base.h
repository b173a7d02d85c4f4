/** @file balance_base.h Choosing among targets of a pool that is not divided by key. */
#ifndef BALANCE_BASE_H
#define BALANCE_BASE_H

#include "base_type.h"

#include <map>

namespace quetzalspool {

/** What this thread has seen of one target. */
struct target_stats
{
    std::uint32_t inFlight = 0; ///< Own requests under way.
    std::uint32_t failures = 0; ///< Failures in a row.
    steady_time ejectedUntil{}; ///< Not chosen before this moment, unless nothing else is left.
    milliseconds ejectionTime{0}; ///< Length of the last ejectionTime.
    double latencyMs = 0; ///< Smoothed time to an answer.
    double loadPerSlot = 0; ///< Requests admitted and waiting there per slot, as its daemon last said.
    steady_time loadReportedAt{}; ///< When it said so.
};

/** Limits of ejectionTime. */
struct balance_limits
{
    std::uint32_t failuresToEject = 3; ///< Failures in a row after which a target is ejected.
    milliseconds firstEjectionTime{500}; ///< Length of the first ejection; each later one is twice as long.
    milliseconds maxEjectionTime{8000}; ///< Longest ejectionTime.
};

/** What this thread has seen of all targets. */
struct balance_state
{
    balance_limits limits; ///< Limits.
    std::map<instance_id, target_stats> targets; ///< By instance.
};

} // namespace quetzalspool

#endif // BALANCE_BASE_H
