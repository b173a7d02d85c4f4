/** @file completion_choice_func.h Choice of the target with the least expected completion time. */
#ifndef COMPLETION_CHOICE_FUNC_H
#define COMPLETION_CHOICE_FUNC_H

#include "balance_func.h"

namespace quetzalspool {

/** Speed and load that a daemon reports of its target with a response. */
struct speed_report
{
    double serviceMs = 0; ///< Expected service time of requests of the same kind, in milliseconds; 0 if unknown.
    double loadPerSlot = 0; ///< Admitted and queued requests per slot.
    work_kind kind; ///< Kind of the request.
};

/**
 * Chooses the target with the least expected completion time among a few drawn at random, with distance as a factor.
 * Another region is used only if the best target of this region is full: the link between regions is slow and shared.
 * All daemons that compared all targets would choose the same one, the last to become fast; random draws prevent this
 * and bound the cost of a choice. The target beside this daemon is always among the candidates.
 * @param state Load balancing state.
 * @param members Targets of the pool.
 * @param tried Targets already tried for this request.
 * @param location Location of this daemon.
 * @param random Random number generator.
 * @param now Current time.
 * @return The target, or null if none is left.
 */
const cell_member *chooseByCompletion(const balance_state &state, const std::vector<const cell_member *> &members,
                                      const std::set<instance_id> &tried, const balancer_location &location,
                                      std::mt19937_64 &random, steady_time now);

/**
 * Records the speed and load of a target that its daemon reported with a response.
 * @param state Load balancing state.
 * @param target Target.
 * @param report Report.
 * @param now Current time.
 */
void recordSpeed(balance_state &state, const cell_member &target, const speed_report &report, steady_time now);

/**
 * Returns the expected load of a target with one more request.
 * @param state Load balancing state.
 * @param member Target.
 * @param now Current time.
 * @return Admitted and queued requests per slot.
 */
double expectedLoad(const balance_state &state, const cell_member &member, steady_time now);

/**
 * Returns the learned service time of a target relative to the mean of its pool.
 * @param state Load balancing state.
 * @param target Target.
 * @param now Current time.
 * @return 1 for the mean and for a target without a report, 4 for one that is four times slower.
 */
double learnedSlowness(const balance_state &state, const instance_id &target, steady_time now);

/**
 * Returns the score by which targets are compared: expected completion time, with distance as a factor.
 * @param state Load balancing state.
 * @param member Target.
 * @param location Location of this daemon.
 * @param now Current time.
 * @return Score; the target with the lowest one is preferred.
 */
double completionScore(const balance_state &state, const cell_member &member, const balancer_location &location,
                       steady_time now);

/**
 * Checks whether targets of other regions are compared with those of this one.
 * @param state Load balancing state.
 * @param best Best target of this region.
 * @param location Location of this daemon.
 * @param now Current time.
 * @return Whether the best target is full, or short of capacity in a reserved region.
 */
bool considersOtherRegions(const balance_state &state, const cell_member &best, const balancer_location &location,
                           steady_time now);

/**
 * Returns the expected completion time of a request at a target, relative to the mean service time of its pool.
 * @param state Load balancing state.
 * @param member Target.
 * @param now Current time.
 * @return Completion time; 1 is a request that finds a free slot of a target of mean speed.
 */
double expectedCompletion(const balance_state &state, const cell_member &member, steady_time now);

} // namespace quetzalspool

#endif // COMPLETION_CHOICE_FUNC_H
