/** @file admission_estimate_func.h Estimates for admission: concurrency, service time, queueing and transfer time. */
#ifndef ADMISSION_ESTIMATE_FUNC_H
#define ADMISSION_ESTIMATE_FUNC_H

#include "admission_base.h"

namespace quetzalspool {

constexpr std::uint32_t normalRank = 2; ///< Requests with a smaller rank are urgent.

/**
 * Returns whether a request goes before normal lookups.
 * @param request Request.
 * @return True for orders and for ranks below normalRank.
 */
bool isUrgent(const admission_request &request);

/**
 * Returns the kind of work of a request, for learned speeds.
 * @param request Request.
 * @return Its urgency and route.
 */
work_kind workKind(const admission_request &request);

/**
 * Returns the expected service time of a request: with learned speeds or enforced goals that of its urgency if known,
 * else that of all.
 * @param state Admission.
 * @param urgent Whether the request is urgent.
 * @param call Whether it is a call; these have an average of their own.
 * @return Service time in milliseconds.
 */
double expectedServiceMs(const admission_state &state, bool urgent, bool call = false);

/**
 * Updates the averages of the service time.
 * @param state Admission.
 * @param request Request.
 * @param service Its service time.
 * @param now Present time.
 */
void recordServiceTime(admission_state &state, const admission_request &request, milliseconds service, steady_time now);

/**
 * Updates the estimate of the transfer time. Responses of a target are transferred in the order in which they were
 * produced.
 * @param state Admission.
 * @param request Request.
 * @param took Time since the request was admitted.
 */
void recordTransfer(admission_state &state, const admission_request &request, milliseconds took);

/**
 * Predicts the time from when the response to a request is produced until it has been transferred. This limits
 * admission if the target produces large responses faster than the link carries them: the responses in flight are
 * transferred first, some of them while the target processes the request.
 * @param state Admission.
 * @param before Requests that go before it.
 * @param request Request.
 * @return Transfer time; 0 if responses don't wait for each other, the request is urgent, or goals aren't enforced.
 */
milliseconds predictedTransfer(const admission_state &state, std::size_t before, const admission_request &request);

/**
 * Updates the number and average of urgent requests in flight when a request begins or ends.
 * @param state Admission.
 * @param request Request.
 * @param change 1 if it begins, -1 if it ends.
 * @param now Present time.
 */
void countUrgent(admission_state &state, const admission_request &request, int change, steady_time now);

/**
 * Predicts the time that a request waits in the queue. Urgent requests that arrive later overtake a normal one, so with
 * enforced goals only the concurrency that urgent requests leave unused counts for it, and the result is twice the
 * mean. With a rate limit, or if the target is cold, the request also waits for its token. A refusal uses the predicted
 * wait as the time to retry after: under sustained overload, a caller that retries after the mean wait finds the queue
 * full again.
 * @param state Admission.
 * @param before Requests that go before it.
 * @param urgent Whether it is urgent.
 * @param now Present time.
 * @param call Whether it is a call. Calls that arrive later overtake a fresh request too.
 * @return Time until it is admitted.
 */
milliseconds predictedWait(const admission_state &state, std::size_t before, bool urgent, steady_time now,
                           bool call = false);

/**
 * Returns the limit of requests in flight for a request. With enforced goals, unkeyed normal requests leave a reserve
 * for 2 s after each urgent one: urgent requests are short and often part of a request that occupies a worker of
 * another target.
 * @param state Admission.
 * @param request Request.
 * @param now Present time.
 * @return Limit; the request may start while fewer requests are in flight.
 */
std::uint32_t concurrencyFor(const admission_state &state, const admission_request &request, steady_time now);

} // namespace quetzalspool

#endif // ADMISSION_ESTIMATE_FUNC_H
