/** @file retry_type.h Retry decisions and the retry budget. */
#ifndef RETRY_TYPE_H
#define RETRY_TYPE_H

#include "admission_base.h"

namespace quetzalspool {

/** How one attempt at a request ended. */
enum class attempt_result
{
    answered, ///< The target responded.
    not_run, ///< It is certain that the request did not run.
    unknown, ///< The request may have run.
};

/** Limits of retries. */
struct retry_limits
{
    std::uint32_t maxAttempts = 6; ///< Maximum attempts per request; four times as many while the owner is unknown,
                                   ///< changing or unreachable.
    milliseconds movingWait{20}; ///< First wait before a retry while a slot is moving or has no owner. Each further one
                                 ///< is twice as long, since every retry costs messages.
    milliseconds maxMovingWait{160}; ///< Longest such wait.
    milliseconds waitLimit{400}; ///< Maximum of all such waits of one request together.
    milliseconds unreachableWaitLimit{400}; ///< The same while the owner can't be reached or the slot has no owner.
    bool failoverWhenUnresponsive = true; ///< Whether lookups handed to an unresponsive target are retried elsewhere.
    double budgetPerRequest = 0.1; ///< Tokens added to the budget by each first attempt.
    double budgetCap = 50; ///< Maximum tokens in the budget.
};

/** Token bucket that limits retries to a share of the requests, so that they don't multiply the load in a failure. */
struct retry_budget
{
    double tokens = 10; ///< Retries allowed now.
};

/** Input of a retry decision: the attempts so far. */
struct retry_context
{
    attempt_result result = attempt_result::not_run; ///< Result of the latest attempt.
    refusal reason = refusal::none; ///< Reason, if the owner refused it.
    bool reachedOwner = true; ///< Whether the owner's daemon could be reached.
    bool idempotent = false; ///< Whether the request may run more than once.
    bool keyed = false; ///< Whether only the owner of its key can serve it.
    std::uint32_t attempts = 1; ///< Attempts made.
    std::uint32_t handOvers = 0; ///< Targets it was handed to, including those that refused it.
    std::uint32_t maxHandOvers = 6; ///< Maximum number of such targets.
    milliseconds waited{0}; ///< Sum of the waits between attempts.
    std::uint32_t waits = 0; ///< Number of those waits.
    steady_time deadline{}; ///< Time after which the caller no longer waits.
};

/** Result of a retry decision. */
struct retry_decision
{
    bool retry = false; ///< Whether to retry.
    milliseconds wait{0}; ///< Wait before the retry; it may end earlier once another owner of the slot is known.
};

/**
 * Adds the share of a first attempt to the budget.
 * @param budget Budget.
 * @param limits Limits.
 */
void depositBudget(retry_budget &budget, const retry_limits &limits);

/**
 * Decides whether to retry a request.
 * @param context The attempts so far.
 * @param budget Budget; a retry costs a token, unless no target has received the request yet and its owner is unknown,
 * changing or unreachable, or its target is leaving.
 * @param limits Limits.
 * @param now Present time.
 * @return Whether to retry, and after which wait.
 */
retry_decision decideRetry(const retry_context &context, retry_budget &budget, const retry_limits &limits,
                           steady_time now);

} // namespace quetzalspool

#endif // RETRY_TYPE_H
