/**
 * @file caller_retry_func.h Recognizes retries of callers and estimates the time since their first attempt.
 *
 * Under overload, refused callers retry, and a retry takes the place of another caller's first attempt: all responses
 * are then late, though as many could be in time. A retry is recognized by its deadline, the rest of the caller's first
 * one and so clearly shorter than those of first attempts, and by the number of callers that got no response here:
 * there can't be more retries than these.
 */
#ifndef CALLER_RETRY_FUNC_H
#define CALLER_RETRY_FUNC_H

#include "caller_retry_base.h"

namespace quetzalspool {

/**
 * Records the deadline of a request, and estimates the time since the caller's first attempt.
 * @param retries Statistics; updated.
 * @param route Name of the route.
 * @param deadline Deadline given in the request, as a duration.
 * @param now Present time.
 * @return For a presumed retry the difference to the average deadline of first attempts; 0 for a first attempt.
 */
milliseconds estimateRetryAge(caller_retries &retries, const std::string &route, milliseconds deadline,
                              steady_time now);

/**
 * Counts a caller that got no response from a target and may retry.
 * @param retries Statistics; updated.
 * @param route Name of the route.
 * @param now Present time.
 */
void expectRetry(caller_retries &retries, const std::string &route, steady_time now);

} // namespace quetzalspool

#endif // CALLER_RETRY_FUNC_H
