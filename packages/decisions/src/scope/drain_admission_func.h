/** @file drain_admission_func.h Admission beside a target whose failure domain is out of service. */
#ifndef DRAIN_ADMISSION_FUNC_H
#define DRAIN_ADMISSION_FUNC_H

#include "admission_base.h"

namespace quetzalspool {

/**
 * Sets whether the failure domain of the target is drained. When a drain ends, `drainEndedAt` becomes the current time:
 * the target may be cold from then on, since it got no requests.
 * @param state Admission.
 * @param since Since when the domain may be drained; unset while it is in service.
 * @param limit Time since then in which keyed requests are served.
 * @param now Current time.
 */
void setDrained(admission_state &state, std::optional<steady_time> since, milliseconds limit, steady_time now);

/**
 * Checks whether a request must not reach the target because its failure domain is drained.
 * @param state Admission.
 * @param request Request.
 * @param now Current time.
 * @return Whether it must not: at once without a key, and for keys that were not reassigned within the limit.
 */
bool isRefusedByDrain(const admission_state &state, const admission_request &request, steady_time now);

} // namespace quetzalspool

#endif // DRAIN_ADMISSION_FUNC_H
