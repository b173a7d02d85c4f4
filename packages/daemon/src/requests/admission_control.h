/** @file admission_control.h Admission control of the local target, shared by the traffic threads and the control
 * thread. */
#ifndef ADMISSION_CONTROL_H
#define ADMISSION_CONTROL_H

#include "admission_base.h"
#include "call_throttle_base.h"
#include "dedup_base.h"
#include "leaving_target_base.h"
#include "request_log.h"

#include <functional>
#include <map>
#include <mutex>

namespace quetzalspool {

/** Admission and deduplication state under one lock. No code blocks or suspends while it holds the lock. */
struct admission_control
{
    std::mutex mutex; ///< Guards all members.
    admission_state admission; ///< Limits, queue and open slots.
    dedup_state dedup; ///< Attempts at requests that must not run twice.
    std::map<std::uint64_t, std::function<void(const admission_result &)>>
        waiters; ///< Callbacks of queued requests by id, called once the request is admitted or refused.
    std::uint64_t nextId = 1; ///< Id of the next request.
    requests_in_progress inProgress; ///< Requests that the target works on, while calls are followed.
    endpoint target; ///< Address of the target.
    target_incarnation targetIncarnation; ///< Incarnation of the target; its id is empty in deployments without ids.
    request_log_budget logBudget; ///< Budget of log lines about attempts at the local target.
    log_budget noticeLogBudget{1, 5, 5}; ///< Budget of log lines about what the target says about itself.
    call_throttle throttle; ///< Throttle of routes whose requests fail because of calls of the target.
    log_budget throttleLogBudget{1, 5, 5}; ///< Budget of log lines about throttled requests.
    bool targetChecksFences = false; ///< Whether the target itself refuses requests with an older fence.
};

/**
 * Admits or refuses queued requests and calls their waiters, without the lock.
 * @param control Admission control.
 * @param now Current time.
 */
void decideQueued(admission_control &control, steady_time now);

/**
 * Returns the target if it is leaving.
 * @param control Admission control.
 * @return The target, or nothing if it is not leaving or has no id.
 */
std::optional<leaving_target> currentLeavingTarget(admission_control &control);

/**
 * Applies that another daemon remembers a target as leaving. Does nothing if it is another incarnation than the present
 * target.
 * @param control Admission control.
 * @param target Leaving target.
 * @param now Present time.
 * @return Whether this daemon had not heard it in this run.
 */
bool applyLeavingReminder(admission_control &control, const leaving_target &target, steady_time now);

} // namespace quetzalspool

#endif // ADMISSION_CONTROL_H
