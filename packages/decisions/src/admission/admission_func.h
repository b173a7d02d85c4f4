/** @file admission_func.h Admission control for the local target. */
#ifndef ADMISSION_FUNC_H
#define ADMISSION_FUNC_H

#include "admission_base.h"
#include "cold_limit_func.h"
#include "rate_limit_func.h"

namespace quetzalspool {

/**
 * Admits, queues or refuses a new request.
 * @param state Admission.
 * @param request Request.
 * @param now Present time.
 * @return Result; a refusal comes with the time after which to retry.
 */
admission_result admit(admission_state &state, const admission_request &request, steady_time now);

/**
 * Checks an admitted request again right before its hand-over: the process may have been paused since admission, so
 * that its lease has expired meanwhile.
 * @param state Admission.
 * @param request Admitted request.
 * @param now Present time.
 * @return Reason why it must not be handed over, or refusal::none.
 */
refusal checkHandOver(const admission_state &state, const admission_request &request, steady_time now);

/**
 * Ends an admitted request and updates the statistics.
 * @param state Admission.
 * @param request Request.
 * @param progress Whether the target responded.
 * @param took Time since the request was admitted, including the transfer of the response.
 * @param now Present time.
 */
void finishRequest(admission_state &state, const admission_request &request, bool progress, milliseconds took,
                   steady_time now);

/**
 * Removes a queued request, or one that is kept until the grant of its slot is in force.
 * @param state Admission.
 * @param id Id of the request.
 * @return Whether it was still waiting.
 */
bool removeWaiting(admission_state &state, std::uint64_t id);

/** A request that has left the queue. */
struct decided_request
{
    std::uint64_t id = 0; ///< Id of the request.
    admission_result result; ///< Admitted or refused.
};

/**
 * Admits queued requests that can start now, and refuses those that were displaced or can't run in time. Requests kept
 * for a grant are queued or admitted once it is in force, and refused once they can't meet their goal or the slot is no
 * longer assigned to the target.
 * @param state Admission.
 * @param now Present time.
 * @return Requests removed from the queue, with their results.
 */
std::vector<decided_request> advanceQueue(admission_state &state, steady_time now);

/**
 * Returns the time until which keyed requests may be handed over: the end of the lease, or of the lease as the target
 * knows it if that is earlier. A target that checks grants refuses later requests, and each such refusal costs a retry.
 * @param state Admission.
 * @return End of the period in which keyed requests may be handed over.
 */
steady_time grantUntil(const admission_state &state);

/**
 * Marks the response of a request as produced: the target can process another request while the response is being
 * transferred. Under a load of large responses this concurrency goes to urgent requests, and to normal ones whose
 * response will still be transferred in time.
 * @param state Admission.
 * @param request Admitted request; updated.
 * @param serviceTime Time the target took to produce the response.
 * @param now Present time.
 */
void beginTransfer(admission_state &state, admission_request &request, milliseconds serviceTime, steady_time now);

/**
 * Replaces the slots served. A draining slot that is in neither list any more has another owner by now: requests that
 * were admitted for it and not handed over are refused by checkHandOver().
 * @param state Admission.
 * @param served Slots that accept requests, and those being released.
 * @param leaseUntil End of the instance lease.
 * @param grace Time before requests of a newly assigned slot are admitted.
 * @param now Present time.
 */
void setServed(admission_state &state, const served_slots &served, steady_time leaseUntil, milliseconds grace,
               steady_time now);

/**
 * Replaces the slots assigned to the target. A slot that is assigned and not served yet is granted to the target within
 * a second: a request for it that is kept meanwhile costs no messages, while a refused one is sent again and again.
 * @param state Admission.
 * @param slots Slots, including those that are served; empty if no further grants are expected.
 */
void setAssigned(admission_state &state, const std::vector<fenced_slot> &slots);

/**
 * Forgets what the target before has said: another incarnation has announced itself.
 * @param state Admission.
 * @param now Present time.
 */
void beginTarget(admission_state &state, steady_time now);

/** What a response of the target changed in what is known about it. */
struct notice_effect
{
    limit_change limit = limit_change::none; ///< Change of the rate limit.
    bool beganLeaving = false; ///< Whether it is the first response that says that the target is leaving.
};

/**
 * Applies what a response says about the target. A response to a request that was handed over before this incarnation
 * announced itself says nothing.
 * @param state Admission.
 * @param notice What the response says.
 * @param handedOverAt When its request was handed over.
 * @param now Present time.
 * @return What changed.
 */
notice_effect applyNotice(admission_state &state, const target_notice &notice, steady_time handedOverAt,
                          steady_time now);

/**
 * Applies that another daemon remembers that the current incarnation of the target is leaving.
 * @param state Admission.
 * @param since When the target was first known to be leaving.
 * @param now Present time.
 * @return Whether no response had said so yet.
 */
bool applyLeavingReminder(admission_state &state, steady_time since, steady_time now);

/**
 * Sets whether the target is leaving.
 * @param state Admission.
 * @param leaving Whether it is.
 * @param now Present time.
 */
void setLeaving(admission_state &state, bool leaving, steady_time now);

/**
 * Returns the load of the target.
 * @param state Admission.
 * @param now Present time.
 * @return Requests in flight and queued, divided by the concurrency that the target or its rate limit sustains; can
 *         exceed 1. At least 1 while the rate limit, or that of a cold target, allows no request.
 */
double loadPerSlot(const admission_state &state, steady_time now);

/**
 * Returns the speed of the target, by which keys are placed.
 * @param state Admission.
 * @param now Present time.
 * @return Requests per second that one slot of its concurrency completes, as far as its rate limit and that of a cold
 *         target allow.
 */
double speedPerSlot(const admission_state &state, steady_time now);

/**
 * Lets the next suspect run: a response to this one has begun.
 * @param state Admission.
 * @param request Request.
 */
void releaseSuspect(admission_state &state, const admission_request &request);

/**
 * Lets queued requests run beside others again: a target has responded to the same request.
 * @param state Admission.
 * @param fingerprint The request.
 */
void clearQueuedSuspects(admission_state &state, const request_fingerprint &fingerprint);

/**
 * Refuses new requests of a slot from now on.
 * @param state Admission.
 * @param slot Slot.
 */
void drainSlot(admission_state &state, const fenced_slot &slot);

/**
 * Returns whether a slot has no request in flight.
 * @param state Admission.
 * @param slot Slot.
 * @return True if none is in flight under this fence.
 */
bool isDrained(const admission_state &state, const fenced_slot &slot);

/**
 * Returns the name of a reason, as used in responses and metrics.
 * @param reason Reason.
 * @return Its name.
 */
const char *nameOf(refusal reason);

} // namespace quetzalspool

#endif // ADMISSION_FUNC_H
