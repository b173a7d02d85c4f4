/** @file balance_base.h Choosing among targets of a pool that is not divided by key. */
#ifndef BALANCE_BASE_H
#define BALANCE_BASE_H

#include "base_type.h"

#include <map>

namespace quetzalspool {

/** What this thread has seen of one target. */
struct target_evidence
{
    std::uint32_t inFlight = 0; ///< Own requests under way.
    std::uint32_t failures = 0; ///< Failures in a row.
    steady_time ejectedUntil{}; ///< Not chosen before this moment, unless nothing else is left.
    milliseconds ejection{0}; ///< Length of the last ejection.
    double latencyMs = 0; ///< Smoothed time to an answer.
    double busy = 0; ///< Requests admitted and waiting there per slot, as its daemon last said.
    steady_time busyAt{}; ///< When it said so.
};

/** Limits of ejection. */
struct balance_limits
{
    std::uint32_t failuresToEject = 3; ///< Failures in a row after which a target is ejected.
    milliseconds firstEjection{500}; ///< Length of the first ejection; each later one is twice as long.
    milliseconds mostEjection{8000}; ///< Longest ejection.
};

/** What this thread has seen of all targets. */
struct balance_state
{
    balance_limits limits; ///< Limits.
    std::map<instance_id, target_evidence> targets; ///< By instance.
};

} // namespace quetzalspool

#endif // BALANCE_BASE_H
