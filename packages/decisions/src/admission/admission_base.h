/** @file admission_base.h State of admission control for the local target: concurrency, queue, key slots, observed
 * health. */
#ifndef ADMISSION_BASE_H
#define ADMISSION_BASE_H

#include "call_priority_base.h"
#include "cell_base.h"
#include "cold_limit_base.h"
#include "crash_suspect_base.h"
#include "rate_limit_base.h"
#include "row_type.h"
#include "speed_estimate_base.h"

#include <map>
#include <optional>
#include <set>

namespace quetzalspool {

/** Limits of admission control. */
struct admission_limits
{
    std::uint32_t concurrency = 1; ///< Requests that the target processes at once.
    std::uint32_t queue = 16; ///< Requests that may be queued.
    milliseconds warmUp{5000}; ///< Time after its announcement until a target gets its full concurrency.
    std::optional<milliseconds> leaveLimit; ///< Time after which a leaving target gets no new requests at all; if
                                            ///< unset, it still gets those for keys that were not reassigned yet.
    milliseconds stallLimit{2000}; ///< A busy target that finishes no request for this long counts as stalled.
};

/** Properties of a request that admission depends on. */
struct admission_request
{
    std::uint64_t id = 0; ///< Unique within this daemon.
    std::optional<fenced_slot> slot; ///< Slot and fence for keyed pools.
    request_class kind = request_class::lookup; ///< Orders go before lookups.
    steady_time deadline{}; ///< Time after which the caller no longer waits.
    std::uint32_t rank = 2; ///< Priority within the class; a smaller rank goes first.
    steady_time goal = steady_time::max(); ///< Time by which the response should be there; a later one is worth less.
    pool_id pool; ///< Pool the request is for; empty if not checked.
    bool transferring = false; ///< Whether the target has produced the response, which is being transferred.
    milliseconds serviceTime{0}; ///< Time the target took to produce the response; set with `transferring`.
    std::uint32_t transfersAhead = 0; ///< Normal responses being transferred when its own was produced.
    std::optional<request_fingerprint> suspect; ///< Set if a target crashed while it ran this request: one such request
                                                ///< runs at a time.
    bool failed = false; ///< Whether the target refused it or failed: the time for that tells nothing of its speed.
    bool cut = false; ///< Whether its response did not arrive whole: the time for that tells nothing of transfers.
    bool call = false; ///< Whether a target makes it within another request.
    std::string route; ///< Name of its route; empty if it is not known.
};

/** Why a request was refused. Each of these guarantees that it did not run. */
enum class refusal
{
    none, ///< Not refused.
    not_owner, ///< This daemon does not own the slot under that fence.
    moving, ///< The slot is being released, or its takeover grace isn't over.
    no_lease, ///< The instance lease has expired.
    no_target, ///< No target has announced itself, or it belongs to another pool.
    overloaded, ///< The queue is full, or the response would probably be too late.
    stalled, ///< The target finishes no request.
    leaving, ///< The target is leaving.
    deadline_passed, ///< The deadline passed, or can't be met any more.
    cancelled, ///< The caller cancelled before the hand-over.
    quarantined, ///< Targets crashed one after another while they ran this request.
    throttled, ///< Requests of its route fail at the target because their calls are refused.
};

/** Result of an admission decision. */
struct admission_result
{
    bool admitted = false; ///< Whether it may be handed over now.
    bool queued = false; ///< Whether it was queued.
    refusal refused = refusal::none; ///< Why it was refused.
    milliseconds retryAfter{0}; ///< Time after which the caller should retry, if it was refused.
};

/** Admission state of a key slot that this daemon serves or is releasing. */
struct slot_admission
{
    fence_number fence; ///< Fence of the assignment.
    std::uint32_t inFlight = 0; ///< Requests admitted and not finished.
    bool draining = false; ///< Whether new requests are refused because the slot is being released.
    steady_time opensAt{}; ///< No request is admitted before this time (takeover grace).
};

/** Key slots assigned to this daemon. */
struct served_slots
{
    std::vector<fenced_slot> open; ///< Slots that accept requests.
    std::vector<fenced_slot> draining; ///< Slots being released; admitted requests still run.

    bool operator==(const served_slots &) const = default;
};

/** A queued request. */
struct queued_request
{
    admission_request request; ///< Request.
    steady_time queuedAt{}; ///< When it was queued.
};

/**
 * Linear regression of the transfer time of a response over the number of transfers in progress when it was produced.
 * The time rises with that number if the responses share a link, and doesn't if each caller has a slow link of its own.
 */
struct transfer_estimate
{
    double meanAhead = 0; ///< Mean number of transfers in progress.
    double meanMs = 0; ///< Mean transfer time in milliseconds.
    double aheadVariance = 0; ///< Variance of the number of transfers.
    double covariance = 0; ///< Covariance of number and transfer time.
    bool known = false; ///< Whether any transfer was recorded.
};

/** Admission control for the local target. */
struct admission_state
{
    admission_limits limits; ///< Limits.
    pool_id pool; ///< Pool of the target; empty if not checked. A restarted target may belong to another pool.
    bool hasTarget = false; ///< Whether a target has announced itself.
    rate_limit rate; ///< Rate limit that the target names in its responses.
    cold_limit cold; ///< Limit while the target is cold.
    bool heard = true; ///< Whether the target has responded to this run of the daemon, so that its limit is known.
    bool saysLeaving = false; ///< Whether a response of the target said that it is leaving, to this run of the daemon
                              ///< or, as other daemons remember, to the run before.
    bool leaving = false; ///< Whether the target is leaving.
    steady_time leavingSince{}; ///< When it began to leave.
    std::optional<steady_time> drainedSince; ///< Since when the failure domain of the target may be drained; unset
                                             ///< while it is in service.
    milliseconds drainLimit{0}; ///< Time since then in which requests for keys are served that were not reassigned yet.
    std::optional<steady_time> drainEndedAt; ///< When the latest drain ended. The target may be cold from then on.
    steady_time leaseUntil{}; ///< End of the instance lease.
    std::optional<steady_time> targetLeaseUntil; ///< Lease end known to the target; unset if it checks no grants.
    steady_time announcedAt{}; ///< When the target first announced itself since it started.
    std::map<std::pair<pool_id, slot_number>, slot_admission> slots; ///< Served and draining slots by pool and number.
    std::uint32_t inFlight = 0; ///< Requests admitted and not finished.
    std::set<std::uint64_t> suspectsInFlight; ///< Ids of those among them that are suspected of crashing targets.
    std::uint32_t transferring = 0; ///< Requests in flight whose response is being transferred.
    std::uint32_t normalTransfers = 0; ///< Normal (not urgent) requests among those.
    std::vector<queued_request> queue; ///< Queued requests, ordered by class, rank and deadline.
    std::map<std::pair<pool_id, slot_number>, fence_number>
        assigned; ///< Slots that the target owns or will own with its next grant; requests for those that it does not
                  ///< serve yet are kept.
    std::vector<queued_request> kept; ///< Requests kept until the grant of their slot is in force, oldest first.
    std::vector<queued_request> displaced; ///< Displaced from the full queue by more urgent ones, to be refused.
    steady_time lastUrgentAt{}; ///< Arrival of the latest request with a rank below `normalRank`.
    std::uint32_t urgentInFlight = 0; ///< Urgent requests in flight.
    double meanUrgentInFlight = 0; ///< Smoothed `urgentInFlight`: concurrency not available to normal requests.
    steady_time meanUrgentUpdatedAt{}; ///< When the average was last updated.
    steady_time lastProgress{}; ///< When a response was last produced or the target last became busy.
    bool probing = false; ///< Whether only one request at a time is admitted, after a stall.
    call_estimate calls; ///< Calls in flight and their service time.
    call_hold hold; ///< Fresh requests refused because calls were refused.
    bool enforceGoals = false; ///< Whether requests that would miss their goal are refused at once.
    double serviceMs = 5.0; ///< Exponential average of the service time of all requests, in milliseconds.
    double urgentServiceMs = 0; ///< The same for urgent requests; 0 if there were none.
    double normalServiceMs = 0; ///< The same for normal requests; 0 if there were none.
    speed_estimate speed; ///< Learned speed of the target, where speeds are learned.
    transfer_estimate transfer; ///< Transfer time of normal responses.
    std::map<slot_number, std::uint64_t> demand; ///< Requests for each slot since the counts were last collected.
    std::map<refusal, std::uint64_t> refusals; ///< Number of refusals by reason, for metrics.
};

} // namespace quetzalspool

#endif // ADMISSION_BASE_H
