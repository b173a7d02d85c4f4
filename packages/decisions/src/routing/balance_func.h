/** @file balance_func.h Load balancing over the targets of a pool without keys. */
#ifndef BALANCE_FUNC_H
#define BALANCE_FUNC_H

#include "balance_base.h"
#include "record_base.h"

#include <random>
#include <set>
#include <span>

namespace quetzalspool {

/** Location of the daemon that forwards a request. */
struct balancer_location
{
    instance_id instance; ///< The daemon's instance; its own target is reached without a network link.
    region_id region; ///< Region.
    domain_id domain; ///< Failure domain.
    std::span<const region_id> reserved{}; ///< Regions whose targets other requests need, which are restricted to them;
                                           ///< empty if the request is restricted itself. Must outlive the choice.
};

/**
 * Checks whether a region is reserved.
 * @param location Location of the forwarding daemon.
 * @param region Region.
 * @return Whether its targets are to keep capacity for requests that are restricted to it.
 */
bool isReserved(const balancer_location &location, const region_id &region);

/**
 * Checks whether requests should leave this region for another one, because this one is reserved and that one is not.
 * @param location Location of the forwarding daemon.
 * @param region Other region.
 * @return Whether they should, once the targets of this region are short of capacity.
 */
bool yieldsTo(const balancer_location &location, const region_id &region);

/**
 * Returns the load penalty for the distance to a target. The slow link to another region pays off only if the targets
 * of this one are overloaded, or if they are reserved and those of the other region are not.
 * @param member Target.
 * @param location Location of this daemon.
 * @return Load by which the target at this daemon may exceed it.
 */
double distancePenalty(const cell_member &member, const balancer_location &location);

/**
 * Returns the load of a target: the load that it reported, if recent, but at least the requests that this thread has in
 * flight there.
 * @param state Load balancing state.
 * @param member Target.
 * @param now Current time.
 * @return Requests per slot.
 */
double currentLoad(const balance_state &state, const cell_member &member, steady_time now);

/**
 * Checks whether a target is ejected after consecutive failures.
 * @param state Load balancing state.
 * @param target Target.
 * @param now Current time.
 * @return Whether it is chosen only if no other is left.
 */
bool isEjected(const balance_state &state, const instance_id &target, steady_time now);

/**
 * Returns the score by which targets are compared, without the random part: load, distance and ejection.
 * @param state Load balancing state.
 * @param member Target.
 * @param location Location of this daemon.
 * @param now Current time.
 * @return Score; the target with the lowest one is preferred.
 */
double loadScore(const balance_state &state, const cell_member &member, const balancer_location &location,
                 steady_time now);

/**
 * Chooses the target with the lowest load, with distance added as a penalty: the local target is preferred, then one of
 * the same failure domain, then one of the same region, until it is clearly more loaded than a more distant one.
 * Another region is used only if all targets of this region are full or unusable.
 * @param state Load balancing state.
 * @param members Targets of the pool.
 * @param tried Targets already tried for this request.
 * @param location Location of this daemon.
 * @param random Random number generator.
 * @param now Current time.
 * @return The target, or null if none is left.
 */
const cell_member *chooseTarget(const balance_state &state, const std::vector<const cell_member *> &members,
                                const std::set<instance_id> &tried, const balancer_location &location,
                                std::mt19937_64 &random, steady_time now);

/**
 * Returns the time within which a target has to begin its response before another target is tried, counted from the
 * hand-over of the request.
 * @param state Load balancing state.
 * @param target Target.
 * @return A multiple of the target's average response time, within fixed bounds.
 */
milliseconds responseTimeout(const balance_state &state, const instance_id &target);

/**
 * Records the load of a target that its daemon reported with a response.
 * @param state Load balancing state.
 * @param target Target.
 * @param loadPerSlot Admitted and queued requests per slot.
 * @param now Current time.
 */
void recordLoad(balance_state &state, const instance_id &target, double loadPerSlot, steady_time now);

/**
 * Records that a request is sent to a target.
 * @param state Load balancing state.
 * @param target Target.
 */
void recordStart(balance_state &state, const instance_id &target);

/**
 * Records the result of a request, and ejects the target after several consecutive failures.
 * @param state Load balancing state.
 * @param target Target.
 * @param succeeded Whether the target responded.
 * @param duration Time from start to result.
 * @param now Current time.
 */
void recordResult(balance_state &state, const instance_id &target, bool succeeded, milliseconds duration,
                  steady_time now);

} // namespace quetzalspool

#endif // BALANCE_FUNC_H
