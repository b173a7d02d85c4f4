/** @file rate_limit_func.h The rate limit that the local target names in its responses. */
#ifndef RATE_LIMIT_FUNC_H
#define RATE_LIMIT_FUNC_H

#include "rate_limit_base.h"
#include "target_notice.h"

namespace quetzalspool {

/**
 * Applies what a response says about the limit. A limit ends with a successful response that names none and answers a
 * request handed over after the limit was last named: an earlier one may have been written before the limit began.
 * @param limit Limit.
 * @param notice What the response says.
 * @param handedOverAt When its request was handed over.
 * @param now Present time.
 * @return What changed.
 */
limit_change applyLimitNotice(rate_limit &limit, const target_notice &notice, steady_time handedOverAt,
                              steady_time now);

/**
 * Returns whether a request may be handed over now.
 * @param limit Limit.
 * @param now Present time.
 * @return True if there is a token, or no limit.
 */
bool hasToken(const rate_limit &limit, steady_time now);

/**
 * Takes the token of a request that is handed over. Does nothing without a limit.
 * @param limit Limit.
 * @param urgent Whether the request goes before normal lookups.
 * @param now Present time.
 */
void takeToken(rate_limit &limit, bool urgent, steady_time now);

/**
 * Predicts how long a request waits for its token. Urgent requests that arrive later overtake a normal one, so only the
 * tokens that they leave count for it.
 * @param limit Limit.
 * @param before Requests that take a token before it.
 * @param urgent Whether the request goes before normal lookups.
 * @param now Present time.
 * @return Time in milliseconds; 0 without a limit.
 */
milliseconds predictedTokenWait(const rate_limit &limit, std::size_t before, bool urgent, steady_time now);

/**
 * Plans when a refused caller returns. The limit admits callers one by one, so callers that are refused together are
 * told different times. Times that a caller can't use, because its deadline is before them, are not reserved.
 * @param limit Limit.
 * @param wait Predicted wait of a request that arrives now.
 * @param urgent Whether the request goes before normal lookups.
 * @param deadline Deadline of the caller.
 * @param now Present time.
 * @return Time after which the caller should retry; `wait` without a limit.
 */
milliseconds planReturn(rate_limit &limit, milliseconds wait, bool urgent, steady_time deadline, steady_time now);

/**
 * Returns the concurrency that the limit sustains (Little's law).
 * @param limit Limit.
 * @param service Mean service time.
 * @param slots Concurrency of the target without a limit.
 * @return Concurrency, at most `slots`.
 */
double sustainedConcurrency(const rate_limit &limit, std::chrono::duration<double, std::milli> service, double slots);

/**
 * Returns the name of a change, as used in log lines.
 * @param change Change.
 * @return Its name.
 */
const char *nameOf(limit_change change);

} // namespace quetzalspool

#endif // RATE_LIMIT_FUNC_H
