/** @file balance_func.h Decisions of the choice among targets. */
#ifndef BALANCE_FUNC_H
#define BALANCE_FUNC_H

#include "balance_base.h"
#include "record_base.h"

#include <random>
#include <set>

namespace quetzalspool {

/** Where the choosing daemon stands. */
struct balance_place
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
 * @param place Where the chooser stands.
 * @param random Source of random numbers.
 * @param now Present time.
 * @return The target, or null if none is left.
 */
const cell_member *chooseTarget(const balance_state &state, const std::vector<const cell_member *> &members,
                                const std::set<instance_id> &tried, const balance_place &place, std::mt19937_64 &random,
                                steady_time now);

/**
 * Tells how long an answer may take to begin, from the hand-over to a target, before another target is tried.
 * @param state Evidence.
 * @param target Target.
 * @return A multiple of its usual time, within bounds.
 */
milliseconds patienceWith(const balance_state &state, const instance_id &target);

/**
 * Notes how busy a target is, as the daemon beside it said in an answer.
 * @param state Evidence.
 * @param target Target.
 * @param busy Requests admitted and waiting there per slot.
 * @param now Present time.
 */
void noteBusy(balance_state &state, const instance_id &target, double busy, steady_time now);

/**
 * Notes that a request goes to a target.
 * @param state Evidence.
 * @param target Target.
 */
void noteStart(balance_state &state, const instance_id &target);

/**
 * Notes how a request ended.
 * @param state Evidence.
 * @param target Target.
 * @param good Whether the target answered.
 * @param took Time it took.
 * @param now Present time.
 */
void noteEnd(balance_state &state, const instance_id &target, bool good, milliseconds took, steady_time now);

} // namespace quetzalspool

#endif // BALANCE_FUNC_H
