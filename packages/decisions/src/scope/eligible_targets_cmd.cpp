/** @file eligible_targets_cmd.cpp Targets that may serve a request, and the choice of one of them. */
#include "eligible_targets_func.h"

#include "allowed_regions_func.h"
#include "completion_choice_func.h"

namespace quetzalspool {

namespace {

constexpr milliseconds noOwnerRetryAfter{1000}; ///< Suggested retry time if no owner is known.
constexpr milliseconds outOfScopeRetryAfter{1000}; ///< Suggested retry time if no target may serve the request.

} // namespace

eligible_targets findEligible(const routing_view &view, const target_query &query, steady_time now)
{
    eligible_targets found;
    const auto pool = view.pools.find(query.pool);
    found.poolKnown = pool != view.pools.end();
    if (!found.poolKnown) {
        return found;
    }
    found.allowed = findAllowedRegions(view, query.host, query.path, query.regions);
    found.keyed = pool->second.row.keyed;
    if (found.keyed) {
        found.slot = findSlot(query.key, pool->second.row);
        found.owner = found.slot ? findOwner(view, query.pool, *found.slot) : std::nullopt;
        found.scope = found.owner ? scopeOfOwner(view, *found.owner->member, found.allowed, now)
                                  : scopeOfUnowned(view, query.pool, found.allowed);
        return found;
    }
    found.members = membersOf(view, query.pool);
    found.scope = keepInScope(view, found.allowed, found.members);
    const auto reserved = view.reserved.find(query.pool);
    if (!found.allowed.restricted && reserved != view.reserved.end()) {
        found.reserved = reserved->second;
    }
    return found;
}

const cell_member *chooseEligible(eligible_targets &targets, const balance_state &state, choice_rules rules,
                                  const std::set<instance_id> &tried, std::mt19937_64 &random, steady_time now)
{
    if (!targets.poolKnown) {
        return nullptr;
    }
    if (targets.keyed) {
        return targets.owner && targets.scope == target_scope::open ? targets.owner->member : nullptr;
    }
    rules.location.reserved = targets.reserved;
    const auto choose = rules.bySpeed ? chooseByCompletion : chooseTarget;
    const auto *chosen = choose(state, targets.members, tried, rules.location, random, now);
    if (chosen == nullptr && targets.scope == target_scope::open && targets.allowed.restricted) {
        targets.scope = target_scope::not_allowed; // All targets of the allowed regions are leaving or were tried.
    }
    return chosen;
}

no_target_refusal refusalWithoutTarget(const eligible_targets &targets)
{
    if (targets.scope != target_scope::open) {
        return {nameOf(targets.scope), outOfScopeRetryAfter};
    }
    return {targets.poolKnown ? "no-owner" : "no-pool", noOwnerRetryAfter};
}

} // namespace quetzalspool
