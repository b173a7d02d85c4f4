/** @file balance_func.h Decisions of the choice among targets. */
#ifndef BALANCE_FUNC_H
#define BALANCE_FUNC_H

#include "balance_base.h"
#include "record_base.h"

#include <random>
#include <set>

namespace quetzalspool {

/** Where the choosing daemon stands. */
struct balancer_location
{
    instance_id instance; ///< The daemon itself; the target beside it is reached without any link.
    region_id region; ///< Region.
    domain_id domain; ///< Failure domain.
};

/**
 * Chooses the target with the least load, where distance counts as load: the own target, then a near one is preferred
 * until it is clearly busier, and another region is chosen only if the targets of this one are full or unusable.
 * @param state Evidence.
 * @param members Targets of the pool.
 * @param tried Targets already tried for this request.
 * @param location Where the chooser stands.
 * @param random Source of random numbers.
 * @param now Present time.
 * @return The target, or null if none is left.
 */
const cell_member *chooseTarget(const balance_state &state, const std::vector<const cell_member *> &members,
                                const std::set<instance_id> &tried, const balancer_location &location,
                                std::mt19937_64 &random, steady_time now);

/**
 * Tells how long an answer may take to begin, from the hand-over to a target, before another target is tried.
 * @param state Evidence.
 * @param target Target.
 * @return A multiple of its usual time, within bounds.
 */
milliseconds responseTimeout(const balance_state &state, const instance_id &target);

/**
 * Notes how busy a target is, as the daemon beside it said in an answer.
 * @param state Evidence.
 * @param target Target.
 * @param loadPerSlot Requests admitted and waiting there per slot.
 * @param now Present time.
 */
void recordLoad(balance_state &state, const instance_id &target, double loadPerSlot, steady_time now);

/**
 * Notes that a request goes to a target.
 * @param state Evidence.
 * @param target Target.
 */
void recordStart(balance_state &state, const instance_id &target);

/**
 * Notes how a request ended.
 * @param state Evidence.
 * @param target Target.
 * @param succeeded Whether the target answered.
 * @param duration Time it took.
 * @param now Present time.
 */
void recordResult(balance_state &state, const instance_id &target, bool succeeded, milliseconds duration,
                  steady_time now);

} // namespace quetzalspool

#endif // BALANCE_FUNC_H
