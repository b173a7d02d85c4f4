/** @file admission_estimate_func.h Slots that requests get beside one target, and how long they wait for one. */
#ifndef ADMISSION_ESTIMATE_FUNC_H
#define ADMISSION_ESTIMATE_FUNC_H

#include "admission_base.h"

namespace quetzalspool {

constexpr std::uint32_t normalRank = 2; ///< Requests of a smaller rank are urgent.

/**
 * Tells whether a request goes before usual lookups.
 * @param request Request.
 * @return Whether it is an order or of a smaller rank.
 */
bool isUrgent(const admission_request &request);

/**
 * Time of work of requests like one, as far as known.
 * @param state Admission.
 * @param urgent Whether it is urgent.
 * @return Milliseconds.
 */
double expectedServiceMs(const admission_state &state, bool urgent);

/**
 * Learns from a request that is over.
 * @param state Admission.
 * @param request Request.
 * @param service Time of its work.
 */
void recordServiceTime(admission_state &state, const admission_request &request, milliseconds service);

/**
 * Learns from an answer that was passed on. Answers of a target are passed on in the order in which they were made.
 * @param state Admission.
 * @param request Request.
 * @param took Time since its start.
 */
void recordTransfer(admission_state &state, const admission_request &request, milliseconds took);

/**
 * Time from when the answer to a request is made until it is passed on. Answers the load of large answers on a link
 * that carries less of them than the target makes: those in flight pass before it, and do so while the target works on
 * it.
 * @param state Admission.
 * @param before Requests that go before it.
 * @param request Request.
 * @return The time; 0 if answers don't wait for each other, or the request is urgent.
 */
milliseconds predictedTransfer(const admission_state &state, std::size_t before, const admission_request &request);

/**
 * Counts a request that begins or ends among the urgent ones, if it is urgent.
 * @param state Admission.
 * @param request Request.
 * @param change 1 if it begins, -1 if it ends.
 * @param now Present time.
 */
void countUrgent(admission_state &state, const admission_request &request, int change, steady_time now);

/**
 * Time that a request with so many before it is expected to wait. Urgent ones that come later go before a usual lookup
 * too, so it can count only on the slots that these are not seen to use, and its wait is taken twice. A refusal names
 * the same time: under a load that lasts, whoever comes back after the mean wait finds the queue full again.
 * @param state Admission.
 * @param before Requests that go before it.
 * @param urgent Whether it is urgent.
 * @param now Present time.
 * @return Time until it gets a slot.
 */
milliseconds predictedWait(const admission_state &state, std::size_t before, bool urgent, steady_time now);

/**
 * Slots that a request may use. While urgent ones come, the others leave some free: urgent ones are short and often
 * part of work that holds a slot elsewhere.
 * @param state Admission.
 * @param request Request.
 * @param now Present time.
 * @return Slots.
 */
std::uint32_t concurrencyFor(const admission_state &state, const admission_request &request, steady_time now);

} // namespace quetzalspool

#endif // ADMISSION_ESTIMATE_FUNC_H
