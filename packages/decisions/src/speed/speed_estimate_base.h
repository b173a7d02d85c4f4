/** @file speed_estimate_base.h State of the learned speed of the local target. */
#ifndef SPEED_ESTIMATE_BASE_H
#define SPEED_ESTIMATE_BASE_H

#include "base_type.h"
#include "target_notice.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspool {

/** Kind of work: requests of one kind take about the same time at a target. */
struct work_kind
{
    bool urgent = false; ///< Whether the requests are urgent.
    std::string route; ///< Name of their route; empty if it is not known.

    auto operator<=>(const work_kind &) const = default;
};

/** A request that the target is working on. */
struct running_work
{
    std::uint64_t id = 0; ///< Id of the request, unique within this daemon.
    double baseMs = 0; ///< Base of its kind when it was handed over; 0 if there was none.
    steady_time since{}; ///< When it was handed over.
};

/**
 * Learned speed of the local target. The expected service time of a kind of request is its base, which changes slowly,
 * times a pace common to all kinds, which changes quickly. A response of any kind therefore updates the expectation for
 * all. Kinds are told apart by route: with one base for routes whose work differs, each change of their mix would look
 * like a change of speed.
 */
struct speed_estimate
{
    bool enabled = false; ///< Whether speeds are learned; otherwise nothing is recorded.
    std::map<work_kind, double> kindBaseMs; ///< Base of each kind in milliseconds.
    double urgentBaseMs = 0; ///< Mean base of urgent requests in milliseconds; 0 if there were none.
    double normalBaseMs = 0; ///< Mean base of normal requests in milliseconds; 0 if there were none.
    double meanBaseMs = 0; ///< Mean of the bases over all requests in milliseconds; 0 if there were none.
    double pace = 1; ///< Service time relative to the base, without the share that the target states.
    double meanPace = 1; ///< Mean of the effective pace over about a second, for the placement of keys: moves of slots
                         ///< cost more than a brief slowdown.
    steady_time meanUpdatedAt{}; ///< When that mean was last updated.
    double overrun = 0; ///< Least pace by the age of the requests in progress; 0 if there are too few.
    double statedPace = 1; ///< Service time relative to the usual, as the target states it; 1 if it does not.
    steady_time statedSince{}; ///< When that value last changed by more than the tolerance.
    steady_time updatedAt{}; ///< When the pace was last updated.
    std::optional<stated_load> stated; ///< Last stated load.
    steady_time statedAt{}; ///< When it was stated.
    std::vector<running_work> running; ///< Requests that the target is working on.
};

} // namespace quetzalspool

#endif // SPEED_ESTIMATE_BASE_H
