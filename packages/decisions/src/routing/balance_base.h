/** @file balance_base.h State of load balancing over the targets of a pool without keys. */
#ifndef BALANCE_BASE_H
#define BALANCE_BASE_H

#include "base_type.h"
#include "completion_choice_base.h"

#include <map>

namespace quetzalspool {

/** Observations of one target, made by one traffic thread. */
struct target_stats
{
    std::uint32_t inFlight = 0; ///< Requests of this thread in flight.
    std::uint32_t failures = 0; ///< Consecutive failures; one less than the limit after an ejection, so that the next
                                ///< failure ejects the target again.
    steady_time ejectedUntil{}; ///< Before this time the target is chosen only if no other is left.
    milliseconds ejectionTime{0}; ///< Length of the last ejection.
    double latencyMs = 0; ///< Moving average of the response time in milliseconds.
    double loadPerSlot = 0; ///< Last reported load: admitted and queued requests per slot.
    steady_time loadReportedAt{}; ///< When that report was received.
    target_pace pace; ///< Last report of its speed.
};

/** Limits of outlier ejection. */
struct balance_limits
{
    std::uint32_t failuresToEject = 3; ///< Consecutive failures after which a target is ejected.
    milliseconds firstEjectionTime{500}; ///< Length of the first ejection; doubled with each further one.
    milliseconds maxEjectionTime{8000}; ///< Upper limit of that length.
};

/** Load balancing state of one traffic thread. */
struct balance_state
{
    balance_limits limits; ///< Limits of outlier ejection.
    std::map<instance_id, target_stats> targets; ///< Observations by instance.
    std::map<pool_id, pool_pace> pools; ///< Mean speeds and loads by pool; empty unless speeds are learned.
};

} // namespace quetzalspool

#endif // BALANCE_BASE_H
