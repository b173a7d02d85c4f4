/**
 * @file call_priority_func.h Priority of calls, requests that targets make within others.
 *
 * Load: a service is called by targets of another one and gets fresh requests of callers too, together more than it can
 * serve. A refused call wastes the work of the request around it, a refused fresh request wastes nothing. Calls
 * therefore go before fresh requests of the same rank, and have the rank of the request around them.
 */
#ifndef CALL_PRIORITY_FUNC_H
#define CALL_PRIORITY_FUNC_H

#include "call_priority_base.h"

#include <optional>

namespace quetzalspool {

/**
 * Records that a request is handed over to the local target.
 * @param requests Requests in progress; updated.
 * @param id Id with which the target gets it.
 * @param rank Its rank.
 */
void beginRequest(requests_in_progress &requests, const std::string &id, std::uint32_t rank);

/**
 * Records the end of a request at the local target.
 * @param requests Requests in progress; updated.
 * @param id Its id.
 */
void endRequest(requests_in_progress &requests, const std::string &id);

/**
 * Returns the rank of a call of the local target. The id of a call is that of the request to which it belongs, a dot,
 * and a part of its own. A call has the rank of that request.
 * @param requests Requests in progress.
 * @param id Id of a request.
 * @return The rank, or nothing if the request is no call of the local target.
 */
std::optional<std::uint32_t> rankOfCall(const requests_in_progress &requests, const std::string &id);

/**
 * Records that a call was refused for lack of capacity.
 * @param hold Hold; updated.
 * @param urgency Urgency of the call.
 * @param service Expected service time of the target.
 * @param now Present time.
 */
void holdFreshRequests(call_hold &hold, const request_urgency &urgency, milliseconds service, steady_time now);

/**
 * Returns for how long fresh requests are refused because a call of the same or a smaller rank was refused.
 * @param hold Hold.
 * @param urgency Urgency of the fresh request.
 * @param now Present time.
 * @return Time left; 0 if it may be admitted.
 */
milliseconds holdLeft(const call_hold &hold, const request_urgency &urgency, steady_time now);

/**
 * Updates the number and average of calls in flight when a call begins or ends.
 * @param calls Calls; updated.
 * @param urgent Whether the call is urgent.
 * @param change 1 if it begins, -1 if it ends.
 * @param now Present time.
 */
void countCall(call_estimate &calls, bool urgent, int change, steady_time now);

/**
 * Returns the concurrency that calls take from fresh requests.
 * @param calls Calls.
 * @param urgent Whether the fresh request is urgent, so that only urgent calls go before it.
 * @param now Present time.
 * @return Mean number of calls in flight that go before it.
 */
double slotsOfCalls(const call_estimate &calls, bool urgent, steady_time now);

} // namespace quetzalspool

#endif // CALL_PRIORITY_FUNC_H
