/** @file eligible_targets_func.h Targets that may serve a request, and the choice of one of them. */
#ifndef ELIGIBLE_TARGETS_FUNC_H
#define ELIGIBLE_TARGETS_FUNC_H

#include "balance_func.h"
#include "routing_func.h"
#include "scope_filter_func.h"

#include <span>

namespace quetzalspool {

/** Properties of a request that determine which targets may serve it. */
struct target_query
{
    std::string_view host; ///< Host by which its route was found.
    std::string_view path; ///< Path.
    const pool_id &pool; ///< Pool.
    std::string_view key; ///< Key, for keyed pools.
    const std::vector<region_id> &regions; ///< Regions that its route named when it arrived.
};

/** Targets that may serve a request. Refers to the view. */
struct eligible_targets
{
    bool poolKnown = false; ///< Whether the pool is in the tables.
    bool keyed = false; ///< Whether only the owner of the key may serve the request.
    allowed_regions allowed; ///< Regions that the route allows.
    std::optional<slot_number> slot; ///< Slot of the key, for keyed pools.
    std::optional<slot_owner> owner; ///< Its owner, if there is one.
    std::vector<const cell_member *> members; ///< Targets in scope, for pools without keys.
    std::span<const region_id> reserved; ///< Regions whose targets other requests need, which are restricted to them.
    target_scope scope = target_scope::open; ///< Why no target may serve the request, if that is the case.
};

/** How a target without a key is chosen. */
struct choice_rules
{
    balancer_location location; ///< Location of this daemon; its reserved regions are those of the targets.
    bool bySpeed = false; ///< Whether targets are compared by expected completion time instead of by load.
};

/** Refusal of a request for which no target was chosen. */
struct no_target_refusal
{
    const char *reason = ""; ///< Name of the reason.
    milliseconds retryAfter{0}; ///< Time after which the caller should retry.
};

/**
 * Finds the targets that may serve a request: the owner of its key, or the targets of its pool that are in scope.
 * @param view View.
 * @param query Request.
 * @param now Current time.
 * @return Targets; valid as long as the view.
 */
eligible_targets findEligible(const routing_view &view, const target_query &query, steady_time now);

/**
 * Chooses the target of the next attempt. Sets the scope if all targets of the allowed regions are leaving.
 * @param targets Result of findEligible(); changed.
 * @param state Load balancing state.
 * @param rules How a target is chosen in pools without keys.
 * @param tried Targets already tried for this request, in pools without keys.
 * @param random Random number generator.
 * @param now Current time.
 * @return The target, or null if there is none.
 */
const cell_member *chooseEligible(eligible_targets &targets, const balance_state &state, choice_rules rules,
                                  const std::set<instance_id> &tried, std::mt19937_64 &random, steady_time now);

/**
 * Determines why an attempt without a target is refused.
 * @param targets Targets, after chooseEligible().
 * @return Reason and time of the next retry.
 */
no_target_refusal refusalWithoutTarget(const eligible_targets &targets);

} // namespace quetzalspool

#endif // ELIGIBLE_TARGETS_FUNC_H
