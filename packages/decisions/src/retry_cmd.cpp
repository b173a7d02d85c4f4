/** @file retry_cmd.cpp When to try a request again. */
#include "retry_type.h"

#include <algorithm>

namespace quetzalspool {

namespace {

/** Reasons that pass by themselves as ownership moves, at no load for the target. */
bool isMoving(const retry_question &question)
{
    if (!question.keyed) {
        return false;
    }
    return question.reason == refusal::not_owner || question.reason == refusal::moving
        || question.reason == refusal::no_lease || question.reason == refusal::leaving
        || question.reason == refusal::no_target || !question.reachedOwner;
}

} // namespace

void earnBudget(retry_budget &budget, const retry_limits &limits)
{
    budget.tokens = std::min(budget.tokens + limits.budgetShare, limits.budgetCap);
}

retry_answer decideRetry(const retry_question &question, retry_budget &budget, const retry_limits &limits,
                         steady_time now)
{
    const bool mayRepeat = question.result == attempt_result::not_run
        || (question.result == attempt_result::unknown && question.idempotent);
    if (!mayRepeat || question.attempts >= limits.attempts * (isMoving(question) ? 4 : 1) || now >= question.deadline
        || question.reason == refusal::too_late || question.reason == refusal::cancelled) {
        return {};
    }
    if (question.handOvers >= question.handOversAllowed) {
        return {};
    }
    // A repeat of what a target has already got is paid for, whoever refused it.
    const bool free = question.handOvers == 0;
    if (isMoving(question) && question.result == attempt_result::not_run && (free || budget.tokens >= 1)) {
        budget.tokens -= free ? 0 : 1;
        const auto limit = question.reachedOwner ? limits.waitLimit : limits.unreachableWaitLimit;
        const bool patient =
            question.waited + limits.movingWait <= limit && now + limits.movingWait < question.deadline;
        return {patient, limits.movingWait};
    }
    // The only target of a key that is overloaded or stalled gains nothing from more of the same.
    if (question.keyed && question.result == attempt_result::not_run && question.reachedOwner) {
        return {};
    }
    if (question.reason == refusal::leaving && free) {
        return {true, milliseconds(0)}; // The next choice goes elsewhere.
    }
    if (budget.tokens < 1) {
        return {};
    }
    budget.tokens -= 1;
    return {true, milliseconds(0)};
}

} // namespace quetzalspool
