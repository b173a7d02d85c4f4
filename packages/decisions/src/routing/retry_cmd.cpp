/** @file retry_cmd.cpp Retry decisions and the retry budget. */
#include "retry_type.h"

#include <algorithm>

namespace quetzalspool {

namespace {

/** Whether the owner is unknown, changing or unreachable. Such a state is short, and a retry puts no load on a target.
 */
bool isOwnershipTransient(const retry_context &context)
{
    if (!context.keyed) {
        return false;
    }
    return context.reason == refusal::not_owner || context.reason == refusal::moving
        || context.reason == refusal::no_lease || context.reason == refusal::leaving
        || context.reason == refusal::no_target || !context.reachedOwner;
}

/** Wait before the next retry of a request whose slot is in transition: grows, within the total and the deadline. */
milliseconds nextWait(const retry_context &context, const retry_limits &limits, steady_time now)
{
    auto wait = limits.movingWait;
    for (std::uint32_t earlier = 0; earlier < context.waits && wait < limits.maxMovingWait; ++earlier) {
        wait = std::min(wait * 2, limits.maxMovingWait);
    }
    const auto total = context.reachedOwner ? limits.waitLimit : limits.unreachableWaitLimit;
    const auto left = std::max(total - context.waited, milliseconds(0));
    wait = now + wait < context.deadline ? wait : limits.movingWait;
    return now + wait < context.deadline ? std::min(wait, left) : milliseconds(0);
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
        || now >= context.deadline || context.reason == refusal::deadline_passed || context.reason == refusal::cancelled
        || context.reason == refusal::quarantined || context.reason == refusal::throttled) {
        return {};
    }
    if (context.handOvers >= context.maxHandOvers) {
        return {};
    }
    // A retry of a request that a target has already received costs a token, whoever refused it.
    const bool neverHandedOver = context.handOvers == 0;
    if (isOwnershipTransient(context) && context.result == attempt_result::not_run
        && (neverHandedOver || budget.tokens >= 1)) {
        budget.tokens -= neverHandedOver ? 0 : 1;
        const auto wait = nextWait(context, limits, now);
        return {wait > milliseconds(0), wait};
    }
    // Only one target can serve a key: if that is overloaded or stalled, retries only add to its load.
    if (context.keyed && context.result == attempt_result::not_run && context.reachedOwner) {
        return {};
    }
    if (context.reason == refusal::leaving && neverHandedOver) {
        return {true, milliseconds(0)}; // The next attempt chooses another target.
    }
    if (budget.tokens < 1) {
        return {};
    }
    budget.tokens -= 1;
    return {true, milliseconds(0)};
}

} // namespace quetzalspool
