/** @file retry_cmd.cpp When to try a request again. */
#include "retry_type.h"

#include <algorithm>

namespace quetzalspool {

namespace {

/** Reasons that pass by themselves as ownership moves, at no load for the target. */
bool isOwnershipTransient(const retry_context &context)
{
    if (!context.keyed) {
        return false;
    }
    return context.reason == refusal::not_owner || context.reason == refusal::moving
        || context.reason == refusal::no_lease || context.reason == refusal::leaving
        || context.reason == refusal::no_target || !context.reachedOwner;
}

} // namespace

void depositBudget(retry_budget &budget, const retry_limits &limits)
{
    budget.tokens = std::min(budget.tokens + limits.budgetPerRequest, limits.budgetCap);
}

retry_decision decideRetry(const retry_context &context, retry_budget &budget, const retry_limits &limits,
                           steady_time now)
{
    const bool mayRepeat =
        context.result == attempt_result::not_run || (context.result == attempt_result::unknown && context.idempotent);
    if (!mayRepeat || context.attempts >= limits.maxAttempts * (isOwnershipTransient(context) ? 4 : 1)
        || now >= context.deadline || context.reason == refusal::deadline_passed
        || context.reason == refusal::cancelled) {
        return {};
    }
    if (context.handOvers >= context.maxHandOvers) {
        return {};
    }
    // A repeat of what a target has already got is paid for, whoever refused it.
    const bool free = context.handOvers == 0;
    if (isOwnershipTransient(context) && context.result == attempt_result::not_run && (free || budget.tokens >= 1)) {
        budget.tokens -= free ? 0 : 1;
        const auto limit = context.reachedOwner ? limits.waitLimit : limits.unreachableWaitLimit;
        const bool patient = context.waited + limits.movingWait <= limit && now + limits.movingWait < context.deadline;
        return {patient, limits.movingWait};
    }
    // The only target of a key that is overloaded or stalled gains nothing from more of the same.
    if (context.keyed && context.result == attempt_result::not_run && context.reachedOwner) {
        return {};
    }
    if (context.reason == refusal::leaving && free) {
        return {true, milliseconds(0)}; // The next choice goes elsewhere.
    }
    if (budget.tokens < 1) {
        return {};
    }
    budget.tokens -= 1;
    return {true, milliseconds(0)};
}

} // namespace quetzalspool
