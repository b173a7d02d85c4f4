/** @file admission_func.h Decisions of admission. */
#ifndef ADMISSION_FUNC_H
#define ADMISSION_FUNC_H

#include "admission_base.h"

namespace quetzalspool {

/**
 * Decides about a new request.
 * @param state Admission.
 * @param request Request.
 * @param now Present time.
 * @return Admitted, queued, or refused with when to come back.
 */
admission_result admit(admission_state &state, const admission_request &request, steady_time now);

/**
 * Checks once more right before hand-over: a paused process may have lost its lease since admission.
 * @param state Admission.
 * @param request Admitted request.
 * @param now Present time.
 * @return Why it must not be handed over, or refusal::none.
 */
refusal checkHandOver(const admission_state &state, const admission_request &request, steady_time now);

/**
 * Notes that an admitted request is over.
 * @param state Admission.
 * @param request Request.
 * @param progress Whether the target answered.
 * @param took Time since its start, that of passing its answer on included.
 * @param now Present time.
 */
void finishRequest(admission_state &state, const admission_request &request, bool progress, milliseconds took,
                   steady_time now);

/** A waiting request that is decided. */
struct decided_request
{
    std::uint64_t id = 0; ///< Request.
    admission_result result; ///< Admitted or refused.
};

/**
 * Decides about waiting requests: those that can be admitted, and those that must be given up.
 * @param state Admission.
 * @param now Present time.
 * @return Decided requests; they no longer wait.
 */
std::vector<decided_request> advanceQueue(admission_state &state, steady_time now);

/**
 * Until when keyed work may be handed over: to the end of the lease, and of what the target has heard of it. A target
 * that checks grants refuses the rest, and each such refusal counts as a repeat.
 * @param state Admission.
 * @return That moment.
 */
steady_time grantUntil(const admission_state &state);

/**
 * Notes that the target has made its answer, so that it works on another request while this one's is passed on. Under a
 * load of large answers the slots that so become free go to urgent requests, and to usual ones whose own answers will
 * still pass in time.
 * @param state Admission.
 * @param request Request, admitted; marked.
 * @param serviceTime How long the target worked on it.
 * @param now Present time.
 */
void beginTransfer(admission_state &state, admission_request &request, milliseconds serviceTime, steady_time now);

/**
 * Takes the slots that the cell's record and this daemon's releases allow. A closed slot that is not being given back
 * any more has another owner by now: what still waits for its hand-over is refused.
 * @param state Admission.
 * @param served Slots to be open, and those being given back.
 * @param leaseUntil End of the instance lease.
 * @param grace Wait before the first request of a slot that was taken over from another owner.
 * @param now Present time.
 */
void setServed(admission_state &state, const served_slots &served, steady_time leaseUntil, milliseconds grace,
               steady_time now);

/**
 * Notes whether the target is being drained.
 * @param state Admission.
 * @param leaving Whether it is.
 * @param now Present time.
 */
void setLeaving(admission_state &state, bool leaving, steady_time now);

/**
 * Tells how busy the target is.
 * @param state Admission.
 * @return Requests admitted and waiting per slot of the target.
 */
double loadPerSlot(const admission_state &state);

/**
 * Closes a slot for new requests.
 * @param state Admission.
 * @param slot Slot.
 */
void drainSlot(admission_state &state, const fenced_slot &slot);

/**
 * Tells whether a closed slot has no request in flight.
 * @param state Admission.
 * @param slot Slot.
 * @return Whether it is drained.
 */
bool isDrained(const admission_state &state, const fenced_slot &slot);

/**
 * Names a reason, as it stands in answers and metrics.
 * @param reason Reason.
 * @return Its name.
 */
const char *nameOf(refusal reason);

} // namespace quetzalspool

#endif // ADMISSION_FUNC_H
