/** @file admission_base.h Admission beside one target: concurrency, queue, open slots, evidence about its health. */
#ifndef ADMISSION_BASE_H
#define ADMISSION_BASE_H

#include "cell_base.h"
#include "row_type.h"

#include <map>
#include <optional>

namespace quetzalspool {

/** Limits of admission. */
struct admission_limits
{
    std::uint32_t concurrency = 1; ///< Requests the target works on at once.
    std::uint32_t queue = 16; ///< Requests that may wait.
    milliseconds warmUp{5000}; ///< A target that just announced itself gets its full share after this long.
    std::optional<milliseconds> leaveLimit; ///< A target that leaves gets nothing new after this long, not even of keys
                                            ///< that could not be given to others yet; without one these still run.
    milliseconds stallLimit{2000}; ///< A busy target that finishes nothing for this long is taken as frozen.
};

/** What admission must know about one request. */
struct admission_request
{
    std::uint64_t id = 0; ///< Unique within this daemon.
    std::optional<fenced_slot> slot; ///< Slot and fence for keyed pools.
    request_class kind = request_class::lookup; ///< Orders go first.
    steady_time deadline{}; ///< When the caller no longer waits.
    std::uint32_t rank = 2; ///< Within a class, smaller goes first.
    steady_time goal = steady_time::max(); ///< An answer is worth less after this moment.
    pool_id pool; ///< Pool that is meant; empty if it is not checked.
    bool transferring = false; ///< Whether the target has made the answer, which is still passed on.
    milliseconds serviceTime{0}; ///< How long the target worked on it, once its answer is made.
    std::uint32_t transfersAhead = 0; ///< Usual answers that were being passed on when its own was made.
};

/** Why a request was refused. All of these prove that it did not run. */
enum class refusal
{
    none, ///< It was not refused.
    not_owner, ///< This daemon does not own the slot under that fence.
    moving, ///< The slot is being given back.
    no_lease, ///< The instance lease has run out.
    no_target, ///< No target has announced itself.
    overloaded, ///< The queue is full, or the predicted wait passes the deadline.
    stalled, ///< The target finishes nothing.
    leaving, ///< The target is being drained.
    deadline_passed, ///< The deadline passed in the queue.
    cancelled, ///< The caller gave up before hand-over.
};

/** What became of a request at admission. */
struct admission_result
{
    bool admitted = false; ///< It may be handed over now.
    bool queued = false; ///< It waits.
    refusal refused = refusal::none; ///< Why it was refused.
    milliseconds retryAfter{0}; ///< When to come back, if it was refused.
};

/** A slot that this daemon serves or is giving back. */
struct slot_admission
{
    fence_number fence; ///< Fence of the assignment.
    std::uint32_t inFlight = 0; ///< Requests admitted and not finished.
    bool draining = false; ///< Whether new requests are refused.
    steady_time opensAt{}; ///< No request before this moment, for a takeover grace.
};

/** Slots under the present assignments of this daemon. */
struct served_slots
{
    std::vector<fenced_slot> open; ///< Slots that it serves.
    std::vector<fenced_slot> draining; ///< Slots that it is giving back; what was admitted still runs.

    bool operator==(const served_slots &) const = default;
};

/** A request that waits. */
struct waiting_request
{
    admission_request request; ///< Request.
    steady_time since{}; ///< When it came.
};

/**
 * How long answers are passed on, as a line over the number of those that were being passed on when they were made: on
 * a link that carries one after the other it rises with that number, to callers on slow links of their own it does not.
 */
struct transfer_estimate
{
    double meanAhead = 0; ///< Mean number ahead.
    double meanMs = 0; ///< Mean time in milliseconds.
    double aheadVariance = 0; ///< Variance of the number.
    double covariance = 0; ///< Of number and time.
    bool known = false; ///< Whether any was seen.
};

/** Admission beside one target. */
struct admission_state
{
    admission_limits limits; ///< Limits.
    pool_id pool; ///< Pool of the target; empty if it is not checked. A new target may belong to another one.
    bool hasTarget = false; ///< Whether a target has announced itself.
    bool leaving = false; ///< Whether the target is being drained.
    steady_time leavingSince{}; ///< When that was first known.
    steady_time leaseUntil{}; ///< End of the instance lease.
    std::optional<steady_time>
        targetLeaseUntil; ///< End of the lease that the target has heard of, if it asks and checks.
    steady_time announcedAt{}; ///< When the target first announced itself in this run.
    std::map<std::pair<pool_id, slot_number>, slot_admission> slots; ///< Slots served, by pool and number.
    std::uint32_t inFlight = 0; ///< Requests admitted and not finished.
    std::uint32_t transferring = 0; ///< Those of them whose answer the target has made, and which are still passed on.
    std::uint32_t normalTransfers = 0; ///< Usual ones among those.
    std::vector<waiting_request> queue; ///< Requests that wait, in order of class and deadline.
    std::vector<waiting_request> displaced; ///< Requests that lost their place to more urgent ones.
    steady_time lastUrgentAt{}; ///< Last time an urgent request came.
    std::uint32_t urgentInFlight = 0; ///< Requests in flight that go before usual lookups.
    double meanUrgentInFlight = 0; ///< Their number, smoothed over time: slots that usual lookups can't count on.
    steady_time meanUrgentUpdatedAt{}; ///< When it was last brought up to date.
    steady_time lastProgress{}; ///< Last time a request finished, or the target became busy.
    bool probing = false; ///< Whether only one request at a time is tried, after a stall.
    bool enforceGoals = false; ///< Whether requests that will surely miss their goal are refused at once.
    double serviceMs = 5.0; ///< Smoothed service time in milliseconds, of all requests.
    double urgentServiceMs = 0; ///< The same of urgent requests; 0 while none was seen.
    double normalServiceMs = 0; ///< The same of usual lookups; 0 while none was seen.
    transfer_estimate transfer; ///< How long usual answers are passed on.
    std::map<slot_number, std::uint64_t> demand; ///< Requests for each slot since it was last taken.
    std::map<refusal, std::uint64_t> refusals; ///< Refusals by reason, for metrics.
};

} // namespace quetzalspool

#endif // ADMISSION_BASE_H
