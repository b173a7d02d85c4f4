/** @file call_admission_func.h Order of calls and fresh requests in admission for the local target. */
#ifndef CALL_ADMISSION_FUNC_H
#define CALL_ADMISSION_FUNC_H

#include "admission_base.h"

namespace quetzalspool {

/**
 * Returns the priority of a request by class and rank.
 * @param request Request.
 * @return Urgency; smaller goes first.
 */
request_urgency urgencyOf(const admission_request &request);

/**
 * Returns whether a request may displace another one from a full queue. An earlier deadline alone doesn't count.
 * @param a Request.
 * @param b Queued request.
 * @return True if its class or rank is more urgent, or if they are equal and only it is a call.
 */
bool isMoreUrgent(const admission_request &a, const admission_request &b);

/**
 * Returns whether a request is queued before another one.
 * @param a Request.
 * @param b Other request.
 * @return True if it is more urgent, or if its deadline is earlier.
 */
bool precedes(const admission_request &a, const admission_request &b);

/**
 * Holds fresh requests after a call was refused for lack of capacity: of those that are not more urgent, queued ones
 * are displaced and new ones refused for a while. Does nothing for a fresh request.
 * @param state Admission.
 * @param refused Refused request.
 * @param now Present time.
 */
void preferCalls(admission_state &state, const admission_request &refused, steady_time now);

/**
 * Returns for how long a new request is refused because calls were refused.
 * @param state Admission.
 * @param request New request.
 * @param now Present time.
 * @return Time; 0 if it may be admitted.
 */
milliseconds heldFor(const admission_state &state, const admission_request &request, steady_time now);

} // namespace quetzalspool

#endif // CALL_ADMISSION_FUNC_H
