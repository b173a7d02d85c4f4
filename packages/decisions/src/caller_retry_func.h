/**
 * @file caller_retry_func.h Decisions about how long callers have been asking.
 *
 * The load: more than the targets can do. Callers that were refused come back, and their second attempt takes the place
 * of somebody's first one; all of them are then answered late, though as many could be answered in time. A caller that
 * comes back names what is left of its deadline, clearly less than first attempts do, and there are no more of them
 * than were turned away here.
 */
#ifndef CALLER_RETRY_FUNC_H
#define CALLER_RETRY_FUNC_H

#include "caller_retry_base.h"

namespace quetzalspool {

/**
 * Notes the deadline that a caller names, and tells how long ago it probably asked first.
 * @param retries Callers seen so far.
 * @param route Name of the route.
 * @param deadline Deadline that the caller names.
 * @param now Present time.
 * @return What is missing to the usual deadline of first attempts, if this seems to be none; else 0.
 */
milliseconds estimateRetryAge(caller_retries &retries, const std::string &route, milliseconds deadline,
                              steady_time now);

/**
 * Notes that a caller got no answer from a target, so that it may come back.
 * @param retries Callers seen so far.
 * @param route Name of the route.
 * @param now Present time.
 */
void expectRetry(caller_retries &retries, const std::string &route, steady_time now);

} // namespace quetzalspool

#endif // CALLER_RETRY_FUNC_H
