/** @file admission_cmd.cpp Admission control for the local target. */
#include "admission_func.h"

#include "admission_cold_func.h"
#include "admission_estimate_func.h"
#include "call_admission_func.h"
#include "call_priority_func.h"
#include "drain_admission_func.h"
#include "speed_estimate_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double minServiceShare = 0.5; ///< Share of the mean service time that a request is assumed to take at least.
constexpr milliseconds movingRetryAfter{50}; ///< Time to retry after, for a slot that is moving.
constexpr milliseconds ownerRetryAfter{200}; ///< Time to retry after, if another owner must be found.
constexpr milliseconds minRetryAfter{20}; ///< Shortest time to retry after.
constexpr double minSpeedServiceMs = 1; ///< Lower bound of the service time from which a speed is derived.
constexpr double minSustainedConcurrency = 0.1; ///< Lower bound, so that loads of targets with low limits compare.
constexpr milliseconds maxRetryAfter{5000}; ///< Longest time to retry after.

milliseconds clampRetryAfter(milliseconds wait)
{
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

admission_result refuse(admission_state &state, refusal reason, milliseconds retryAfter)
{
    ++state.refusals[reason];
    return {false, false, reason, retryAfter};
}

/** Whether the slot of a request is assigned to the target, and the grant that lets it be served is not in force yet.
 */
bool awaitsGrant(const admission_state &state, const admission_request &request, steady_time now)
{
    if (!request.slot || state.leaving) {
        return false;
    }
    const std::pair key(request.slot->pool, request.slot->slot);
    const auto assigned = state.assigned.find(key);
    if (assigned == state.assigned.end() || assigned->second != request.slot->fence) {
        return false;
    }
    const auto served = state.slots.find(key);
    return served == state.slots.end() || served->second.fence != request.slot->fence
        || (!served->second.draining && now < served->second.opensAt);
}

refusal checkSlot(const admission_state &state, const admission_request &request, steady_time now)
{
    if (!request.slot || awaitsGrant(state, request, now)) {
        return refusal::none;
    }
    const auto found = state.slots.find({request.slot->pool, request.slot->slot});
    if (found == state.slots.end() || found->second.fence != request.slot->fence) {
        return refusal::not_owner;
    }
    if (found->second.draining || now < found->second.opensAt) {
        return refusal::moving;
    }
    return now < grantUntil(state) ? refusal::none : refusal::no_lease;
}

/** Whether the target works on any request. A response that is being transferred may wait for its caller instead. */
bool isBusy(const admission_state &state)
{
    return state.inFlight > state.transferring;
}

/** Whether a busy target has finished no request for too long. */
bool isStalled(const admission_state &state, steady_time now)
{
    return isBusy(state) && now - state.lastProgress > state.limits.stallLimit;
}

/** Whether the request is for the pool of the target, as far as both are known. */
bool matchesPool(const admission_state &state, const admission_request &request)
{
    return state.pool.value.empty() || request.pool.value.empty() || state.pool == request.pool;
}

/** Whether the target is leaving and the time in which its keys should have been reassigned is over. */
bool leaveLimitPassed(const admission_state &state, steady_time now)
{
    return state.leaving && state.limits.leaveLimit && now - state.leavingSince >= *state.limits.leaveLimit;
}

refusal checkRequest(const admission_state &state, const admission_request &request, steady_time now)
{
    if (!state.hasTarget || !matchesPool(state, request)) {
        return refusal::no_target;
    }
    if (const auto reason = checkSlot(state, request, now); reason != refusal::none) {
        return reason;
    }
    if (now >= request.deadline) {
        return refusal::deadline_passed;
    }
    // Keyed requests are refused slot by slot as slots are released; others as soon as the target is leaving.
    if ((state.leaving && !request.slot) || leaveLimitPassed(state, now) || isRefusedByDrain(state, request, now)) {
        return refusal::leaving;
    }
    return isStalled(state, now) ? refusal::stalled : refusal::none;
}

milliseconds retryAfterFor(const admission_state &state, refusal reason)
{
    switch (reason) {
    case refusal::moving:
        return movingRetryAfter;
    case refusal::not_owner:
    case refusal::no_lease:
    case refusal::leaving:
        return ownerRetryAfter;
    case refusal::stalled:
        return state.limits.stallLimit;
    default:
        return clampRetryAfter(milliseconds(std::llround(state.serviceMs)));
    }
}

void startRequest(admission_state &state, const admission_request &request, steady_time now)
{
    if (!isBusy(state)) {
        state.lastProgress = now;
    }
    takeToken(state.rate, isUrgent(request), now);
    takeColdToken(state.cold, now);
    countUrgent(state, request, 1, now);
    ++state.inFlight;
    beginWork(state.speed, request.id, workKind(request), now);
    if (request.suspect) {
        state.suspectsInFlight.insert(request.id);
    }
    if (request.slot) {
        ++state.slots[{request.slot->pool, request.slot->slot}].inFlight;
    }
}

/**
 * Latest time at which the response to a request should be there. Under sustained overload, a queue bounded by the
 * deadlines makes all requests miss their goals; a queue bounded by the goals serves as many, and in time. Requests of
 * a small rank, such as calls that a target makes within other requests, get half of the time between goal and deadline
 * in addition: refusing them wastes more work.
 */
steady_time latestResponse(const admission_state &state, const admission_request &request)
{
    if (!state.enforceGoals || request.goal >= request.deadline) {
        return request.deadline;
    }
    return request.rank < normalRank || request.call ? request.goal + (request.deadline - request.goal) / 2
                                                     : request.goal;
}

/** Whether a request that starts now can still end before its deadline. */
bool canMeetDeadline(const admission_state &state, const admission_request &request, steady_time now)
{
    const auto least =
        state.enforceGoals ? expectedServiceMs(state, isUrgent(request), request.call) * minServiceShare : 0;
    return now + milliseconds(std::llround(least)) < request.deadline;
}

/**
 * Whether the response to a request that starts now will be transferred in time, after the transfers in progress. A
 * request that has already missed its goal must not delay others: it is admitted only if twice its service and
 * transfer time fits before the deadline.
 */
bool transferMeetsGoal(const admission_state &state, const admission_request &request, steady_time now)
{
    const auto transfer = predictedTransfer(state, 0, request);
    if (transfer == milliseconds(0)) {
        return true;
    }
    const milliseconds service(std::llround(expectedServiceMs(state, isUrgent(request), request.call)));
    if (now >= request.goal) {
        return now + (service + transfer) * 2 <= request.deadline;
    }
    return now + service + transfer <= latestResponse(state, request);
}

/** Whether a request has to wait because the target runs another one that may crash it. */
bool waitsForSuspect(const admission_state &state, const admission_request &request)
{
    return request.suspect && !state.suspectsInFlight.empty();
}

/** Whether the target can get a request now: it has a free slot, and its limits allow one. */
bool hasRoom(const admission_state &state, const admission_request &request, steady_time now)
{
    return !waitsForSuspect(state, request) && state.inFlight < concurrencyFor(state, request, now)
        && hasToken(state.rate, now) && hasColdToken(state.cold, now);
}

/**
 * Whether a queued request can no longer be served in time: even without later arrivals, those before it take the
 * tokens until it is too late.
 */
bool isTooLate(const admission_state &state, const admission_request &request, std::size_t before, steady_time now)
{
    return !canMeetDeadline(state, request, now + predictedTokenWait(state.rate, before, true, now));
}

/** Queued requests before a position that don't wait for a suspect. */
std::size_t countReady(const admission_state &state, std::vector<queued_request>::const_iterator end)
{
    return static_cast<std::size_t>(std::count_if(
        state.queue.begin(), end, [&](const auto &waiting) { return !waitsForSuspect(state, waiting.request); }));
}

admission_result enqueue(admission_state &state, const admission_request &request, steady_time now)
{
    const auto at = std::find_if(state.queue.begin(), state.queue.end(),
                                 [&](const auto &other) { return precedes(request, other.request); });
    const auto before = countReady(state, at);
    const bool urgent = isUrgent(request);
    const auto wait = predictedWait(state, before, urgent, now, request.call);
    const milliseconds service(std::llround(expectedServiceMs(state, urgent, request.call)));
    const auto transfer = predictedTransfer(state, before, request);
    const auto latest = latestWhileCold(state, request, latestResponse(state, request), now);
    const bool fits = now + wait + service + transfer <= latest;
    const auto queued = request.suspect ? state.queue.size() : countReady(state, state.queue.end());
    const bool full = queued >= state.limits.queue;
    const bool displaces = full && fits && !state.queue.empty() && isMoreUrgent(request, state.queue.back().request);
    if ((full && !displaces) || !fits) {
        countColdRefusal(state, now);
        const auto allWait = predictedWait(state, state.queue.size(), urgent, now);
        preferCalls(state, request, now);
        const auto returnAfter = planReturn(state.rate, std::max(allWait, transfer), urgent, request.deadline, now);
        return refuse(state, refusal::overloaded, clampRetryAfter(returnAfter));
    }
    state.queue.insert(at, {request, now});
    if (displaces) {
        state.displaced.push_back(state.queue.back());
        state.queue.pop_back();
    }
    return {false, true};
}

/** Whether a request whose slot is not granted yet can still meet its goal if the grant comes now. */
bool canWaitForGrant(const admission_state &state, const admission_request &request, steady_time now)
{
    const milliseconds least(std::llround(expectedServiceMs(state, isUrgent(request), request.call) * minServiceShare));
    return now + least <= latestResponse(state, request);
}

/** Keeps a request until the grant of its slot is in force. */
admission_result keep(admission_state &state, const admission_request &request, steady_time now)
{
    if (state.kept.size() >= state.limits.queue || !canWaitForGrant(state, request, now)) {
        return refuse(state, refusal::not_owner, ownerRetryAfter);
    }
    state.kept.push_back({request, now});
    return {false, true};
}

/** First queued request that does not wait for a suspect. */
std::vector<queued_request>::iterator nextToStart(admission_state &state)
{
    return std::find_if(state.queue.begin(), state.queue.end(),
                        [&](const auto &waiting) { return !waitsForSuspect(state, waiting.request); });
}

/** Starts, queues or refuses a request that the target may serve. */
admission_result admitChecked(admission_state &state, const admission_request &request, steady_time now)
{
    updateOverrun(state.speed, now);
    state.lastUrgentAt = request.rank < normalRank ? now : state.lastUrgentAt;
    if (const auto held = heldFor(state, request, now); held > milliseconds(0)) {
        return refuse(state, refusal::overloaded, clampRetryAfter(held));
    }
    const auto next = nextToStart(state);
    const bool first = next == state.queue.end() || precedes(request, next->request);
    if (first && hasRoom(state, request, now) && transferMeetsGoal(state, request, now)) {
        startRequest(state, request, now);
        return {true};
    }
    return enqueue(state, request, now);
}

/** Decides on the requests kept for a grant: those whose slot is served now are admitted like new ones. */
void advanceKept(admission_state &state, std::vector<decided_request> &decided, steady_time now)
{
    std::erase_if(state.kept, [&](const queued_request &waiting) {
        const auto &request = waiting.request;
        auto reason = checkRequest(state, request, now);
        if (reason == refusal::none && awaitsGrant(state, request, now)) {
            if (canWaitForGrant(state, request, now)) {
                return false;
            }
            reason = refusal::not_owner;
        }
        const auto result = reason == refusal::none ? admitChecked(state, request, now)
                                                    : refuse(state, reason, retryAfterFor(state, reason));
        if (!result.queued) {
            decided.push_back({request.id, result});
        }
        return true;
    });
}

} // namespace

admission_result admit(admission_state &state, const admission_request &request, steady_time now)
{
    if (const auto reason = checkRequest(state, request, now); reason != refusal::none) {
        return refuse(state, reason, retryAfterFor(state, reason));
    }
    if (request.slot) {
        ++state.demand[request.slot->slot];
    }
    return awaitsGrant(state, request, now) ? keep(state, request, now) : admitChecked(state, request, now);
}

bool removeWaiting(admission_state &state, std::uint64_t id)
{
    const auto isWanted = [id](const queued_request &waiting) { return waiting.request.id == id; };
    return std::erase_if(state.queue, isWanted) + std::erase_if(state.kept, isWanted) > 0;
}

refusal checkHandOver(const admission_state &state, const admission_request &request, steady_time now)
{
    if (now >= request.deadline) {
        return refusal::deadline_passed;
    }
    if (!matchesPool(state, request)) {
        return refusal::no_target;
    }
    if (leaveLimitPassed(state, now) || isRefusedByDrain(state, request, now)) {
        return refusal::leaving;
    }
    if (!request.slot) {
        return refusal::none;
    }
    const auto found = state.slots.find({request.slot->pool, request.slot->slot});
    // Draining is no reason to refuse: the slot waits for the requests admitted before.
    if (found == state.slots.end() || found->second.fence != request.slot->fence) {
        return refusal::not_owner;
    }
    return now < grantUntil(state) ? refusal::none : refusal::no_lease;
}

void beginTransfer(admission_state &state, admission_request &request, milliseconds serviceTime, steady_time now)
{
    assert(!request.transferring);
    request.transferring = true;
    endWork(state.speed, request.id);
    request.serviceTime = serviceTime;
    request.transfersAhead = state.normalTransfers;
    ++state.transferring;
    state.normalTransfers += isUrgent(request) ? 0 : 1;
    state.lastProgress = now;
    state.probing = false;
}

void finishRequest(admission_state &state, const admission_request &request, bool progress, milliseconds took,
                   steady_time now)
{
    assert(state.inFlight > 0);
    --state.inFlight;
    state.suspectsInFlight.erase(request.id);
    endWork(state.speed, request.id);
    if (request.transferring) {
        --state.transferring;
        state.normalTransfers -= isUrgent(request) ? 0 : 1;
    }
    countUrgent(state, request, -1, now);
    if (request.slot) {
        const auto found = state.slots.find({request.slot->pool, request.slot->slot});
        if (found != state.slots.end() && found->second.inFlight > 0) {
            --found->second.inFlight;
        }
    }
    if (progress) {
        recordServiceTime(state, request, request.transferring ? request.serviceTime : took, now);
        if (!request.cut) {
            recordTransfer(state, request, took);
        }
        state.lastProgress = now;
        state.probing = false;
    } else if (now - state.lastProgress > state.limits.stallLimit) {
        state.probing = true;
    }
}

std::vector<decided_request> advanceQueue(admission_state &state, steady_time now)
{
    std::vector<decided_request> decided;
    for (const auto &waiting : state.displaced) {
        const auto wait = clampRetryAfter(predictedWait(state, state.queue.size(), false, now));
        decided.push_back({waiting.request.id, refuse(state, refusal::overloaded, wait)});
    }
    state.displaced.clear();
    updateOverrun(state.speed, now);
    advanceKept(state, decided, now);
    std::size_t before = 0;
    std::erase_if(state.queue, [&](const queued_request &waiting) {
        auto reason = checkRequest(state, waiting.request, now);
        if (reason == refusal::none && isTooLate(state, waiting.request, before, now)) {
            reason = refusal::deadline_passed;
        } else if (reason == refusal::none
                   && missesGoalWhileCold(state, waiting.request, before, latestResponse(state, waiting.request),
                                          now)) {
            reason = refusal::overloaded;
            countColdRefusal(state, now);
        }
        before += reason == refusal::none && !waitsForSuspect(state, waiting.request) ? 1 : 0;
        if (reason != refusal::none) {
            decided.push_back({waiting.request.id, refuse(state, reason, retryAfterFor(state, reason))});
        }
        return reason != refusal::none;
    });
    for (auto next = nextToStart(state); next != state.queue.end() && hasRoom(state, next->request, now);
         next = nextToStart(state)) {
        startRequest(state, next->request, now);
        decided.push_back({next->request.id, {true}});
        state.queue.erase(next);
    }
    return decided;
}

steady_time grantUntil(const admission_state &state)
{
    return std::min(state.leaseUntil, state.targetLeaseUntil.value_or(state.leaseUntil));
}

void setServed(admission_state &state, const served_slots &served, steady_time leaseUntil, milliseconds grace,
               steady_time now)
{
    state.leaseUntil = leaseUntil;
    std::map<std::pair<pool_id, slot_number>, slot_admission> next;
    for (const auto &slot : served.open) {
        const auto known = state.slots.find({slot.pool, slot.slot});
        const bool same = known != state.slots.end() && known->second.fence == slot.fence;
        next[{slot.pool, slot.slot}] = same ? known->second : slot_admission{slot.fence, 0, false, now + grace};
    }
    // A slot being released is kept until its requests have finished.
    for (const auto &slot : served.draining) {
        const auto known = state.slots.find({slot.pool, slot.slot});
        if (known != state.slots.end() && known->second.draining && known->second.fence == slot.fence) {
            next.insert(*known);
        }
    }
    state.slots = std::move(next);
}

void setAssigned(admission_state &state, const std::vector<fenced_slot> &slots)
{
    state.assigned.clear();
    for (const auto &slot : slots) {
        state.assigned[{slot.pool, slot.slot}] = slot.fence;
    }
}

void beginTarget(admission_state &state, steady_time now)
{
    // The first target of this run may have named a limit to the previous run of this daemon.
    state.heard = state.hasTarget;
    state.hasTarget = true;
    state.announcedAt = now;
    state.rate = {};
    state.saysLeaving = false;
}

notice_effect applyNotice(admission_state &state, const target_notice &notice, steady_time handedOverAt,
                          steady_time now)
{
    if (handedOverAt < state.announcedAt) {
        return {};
    }
    const bool beganLeaving = notice.leaving && !state.saysLeaving;
    if (beganLeaving) {
        state.saysLeaving = true;
        setLeaving(state, true, now);
        // Before the first response, the previous run of this daemon may have passed on others that said so long ago.
        state.leavingSince = state.heard ? state.leavingSince : steady_time{};
    }
    state.heard = true;
    applyColdNotice(state.cold, notice.coldFor, now);
    if (notice.load) {
        applyStatedLoad(state.speed, *notice.load, now);
    }
    return {applyLimitNotice(state.rate, notice, handedOverAt, now), beganLeaving};
}

bool applyLeavingReminder(admission_state &state, steady_time since, steady_time now)
{
    const bool isNews = !state.saysLeaving;
    state.saysLeaving = true;
    setLeaving(state, true, now);
    state.leavingSince = std::min(state.leavingSince, since);
    return isNews;
}

void setLeaving(admission_state &state, bool leaving, steady_time now)
{
    state.leavingSince = leaving && !state.leaving ? now : state.leavingSince;
    state.leaving = leaving;
}

double loadPerSlot(const admission_state &state, steady_time now)
{
    const double slots = std::max<std::uint32_t>(state.limits.concurrency, 1);
    const std::chrono::duration<double, std::milli> service(state.serviceMs);
    const auto limited =
        std::min(sustainedConcurrency(state.rate, service, slots), coldConcurrency(state.cold, service, slots, now));
    const auto own =
        static_cast<double>(state.inFlight + state.queue.size()) / std::max(limited, minSustainedConcurrency);
    const auto load = std::max(own, statedLoadPerSlot(state.speed, now));
    return hasToken(state.rate, now) && hasColdToken(state.cold, now) ? load : std::max(load, 1.0);
}

double speedPerSlot(const admission_state &state, steady_time now)
{
    const auto learned = learnedMeanServiceMs(state.speed);
    const std::chrono::duration<double, std::milli> service(
        std::max(learned > 0 ? learned : state.serviceMs, minSpeedServiceMs));
    const double slots = std::max<std::uint32_t>(state.limits.concurrency, 1);
    const auto busy =
        std::min(sustainedConcurrency(state.rate, service, slots), coldConcurrency(state.cold, service, slots, now));
    return busy / slots / std::chrono::duration<double>(service).count();
}

void releaseSuspect(admission_state &state, const admission_request &request)
{
    state.suspectsInFlight.erase(request.id);
}

void clearQueuedSuspects(admission_state &state, const request_fingerprint &fingerprint)
{
    for (auto *requests : {&state.queue, &state.kept}) {
        for (auto &waiting : *requests) {
            if (waiting.request.suspect == fingerprint) {
                waiting.request.suspect.reset();
            }
        }
    }
}

void drainSlot(admission_state &state, const fenced_slot &slot)
{
    const auto found = state.slots.find({slot.pool, slot.slot});
    if (found != state.slots.end() && found->second.fence == slot.fence) {
        found->second.draining = true;
    }
}

bool isDrained(const admission_state &state, const fenced_slot &slot)
{
    const auto found = state.slots.find({slot.pool, slot.slot});
    return found == state.slots.end() || found->second.fence != slot.fence || found->second.inFlight == 0;
}

const char *nameOf(refusal reason)
{
    switch (reason) {
    case refusal::none:
        return "none";
    case refusal::not_owner:
        return "not-owner";
    case refusal::moving:
        return "moving";
    case refusal::no_lease:
        return "no-lease";
    case refusal::no_target:
        return "no-target";
    case refusal::overloaded:
        return "overloaded";
    case refusal::stalled:
        return "target-stalled";
    case refusal::leaving:
        return "leaving";
    case refusal::deadline_passed:
        return "deadline-passed";
    case refusal::cancelled:
        return "cancelled";
    case refusal::quarantined:
        return "quarantined";
    case refusal::throttled:
        return "throttled";
    }
    return "unknown";
}

} // namespace quetzalspool
