/**
 * @file call_throttle_func.h Throttles fresh requests whose calls can't be served.
 *
 * Load: a target works on a request and calls another service, which is overloaded and refuses the call; the request
 * fails and its work is lost. The daemon beside the calling target sees both and admits only the share of fresh
 * requests whose calls are served: it follows the failures by additive increase and multiplicative decrease. Failures
 * without a refused call in their time don't count, so a target that fails for another reason is not throttled.
 */
#ifndef CALL_THROTTLE_FUNC_H
#define CALL_THROTTLE_FUNC_H

#include "call_throttle_base.h"

namespace quetzalspool {

/**
 * Records that a call of the local target was refused or got no response.
 * @param throttle Throttle; updated.
 * @param now Present time.
 */
void recordFailedCall(call_throttle &throttle, steady_time now);

/**
 * Records that the local target has ended a request.
 * @param throttle Throttle; updated.
 * @param route Name of its route.
 * @param failed Whether it failed (5xx, or no response).
 * @param startedAt When the target began it.
 * @param now Present time.
 */
void recordEnd(call_throttle &throttle, const std::string &route, bool failed, steady_time startedAt, steady_time now);

/**
 * Decides on a fresh request of a route. Of the admitted share, callers that came back go first: another refusal would
 * make them late, while a caller at its first attempt can still come back.
 * @param throttle Throttle; updated.
 * @param route Name of the route.
 * @param request What is known of the request.
 * @param now Present time.
 * @return Decision.
 */
throttle_decision throttleFresh(call_throttle &throttle, const std::string &route, const fresh_request &request,
                                steady_time now);

/**
 * Returns the share of fresh requests of a route that is admitted.
 * @param throttle Throttle.
 * @param route Name of the route.
 * @return Share; 1 if the route is not throttled.
 */
double admittedShare(const call_throttle &throttle, const std::string &route);

} // namespace quetzalspool

#endif // CALL_THROTTLE_FUNC_H
