/** @file admission_cold_func.h Requests that wait for a token of a cold target. */
#ifndef ADMISSION_COLD_FUNC_H
#define ADMISSION_COLD_FUNC_H

#include "admission_base.h"

namespace quetzalspool {

/**
 * Returns the latest time of the response to a request that would be queued: one that waits for a token of a cold
 * target must meet its goal.
 * @param state Admission.
 * @param request Request.
 * @param latest Latest time of its response without a cold target.
 * @param now Present time.
 * @return Latest time of its response.
 */
steady_time latestWhileCold(const admission_state &state, const admission_request &request, steady_time latest,
                            steady_time now);

/**
 * Returns whether a queued request would miss its goal while it waits for a token: the target has become cold since.
 * @param state Admission.
 * @param request Request.
 * @param before Requests that go before it.
 * @param latest Latest time of its response without a cold target.
 * @param now Present time.
 * @return True if it must be refused.
 */
bool missesGoalWhileCold(const admission_state &state, const admission_request &request, std::size_t before,
                         steady_time latest, steady_time now);

/**
 * Counts a refusal if the target is cold and there is no token.
 * @param state Admission.
 * @param now Present time.
 */
void countColdRefusal(admission_state &state, steady_time now);

} // namespace quetzalspool

#endif // ADMISSION_COLD_FUNC_H
