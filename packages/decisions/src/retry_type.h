/** @file retry_type.h When to try a request again. */
#ifndef RETRY_TYPE_H
#define RETRY_TYPE_H

#include "admission_base.h"

namespace quetzalspool {

/** How one attempt at a request ended. */
enum class attempt_result
{
    answered, ///< The target's answer is there.
    not_run, ///< Proved not run.
    unknown, ///< It may have run.
};

/** Limits of retries. */
struct retry_limits
{
    std::uint32_t maxAttempts = 6; ///< Attempts at one request at most.
    milliseconds movingWait{25}; ///< Wait before trying a slot again that moves or has no owner.
    milliseconds waitLimit{400}; ///< All such waits of one request together.
    milliseconds unreachableWaitLimit{400}; ///< The same while the owner can't be reached or nobody owns the slot.
    bool failoverWhenUnresponsive =
        true; ///< Whether a lookup leaves a target that is silent after the hand-over for another one.
    double budgetPerRequest = 0.1; ///< Retries earned by each first attempt.
    double budgetCap = 50; ///< Retries that can be saved up.
};

/** Tokens that retries after failures cost, so that retries never multiply the load. */
struct retry_budget
{
    double tokens = 10; ///< Retries that may be made now.
};

/** What is known when an attempt has ended. */
struct retry_context
{
    attempt_result result = attempt_result::not_run; ///< How it ended.
    refusal reason = refusal::none; ///< Why it was not run, if the owner refused it.
    bool reachedOwner = true; ///< Whether the other daemon could be reached at all.
    bool idempotent = false; ///< Whether it may run more than once.
    bool keyed = false; ///< Whether only one target can serve it.
    std::uint32_t attempts = 1; ///< Attempts made.
    std::uint32_t handOvers = 0; ///< Targets that it was handed to, also those that refused it.
    std::uint32_t maxHandOvers = 6; ///< Targets that it may be handed to.
    milliseconds waited{0}; ///< Waits made between attempts.
    steady_time deadline{}; ///< When the caller no longer waits.
};

/** What to do next. */
struct retry_decision
{
    bool retry = false; ///< Whether to try again.
    milliseconds wait{0}; ///< Wait before that.
};

/**
 * Earns budget for a first attempt.
 * @param budget Budget.
 * @param limits Limits.
 */
void depositBudget(retry_budget &budget, const retry_limits &limits);

/**
 * Decides whether to try again.
 * @param context What is known.
 * @param budget Budget; spent if the retry adds load to a failing target.
 * @param limits Limits.
 * @param now Present time.
 * @return What to do.
 */
retry_decision decideRetry(const retry_context &context, retry_budget &budget, const retry_limits &limits,
                           steady_time now);

} // namespace quetzalspool

#endif // RETRY_TYPE_H
