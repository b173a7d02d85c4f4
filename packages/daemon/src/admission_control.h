/** @file admission_control.h Admission beside the target, shared by the traffic threads and the control thread. */
#ifndef ADMISSION_CONTROL_H
#define ADMISSION_CONTROL_H

#include "admission_base.h"
#include "dedup_base.h"
#include "request_log.h"

#include <functional>
#include <map>
#include <mutex>

namespace quetzalspool {

/** Admission and ledger under one lock. Nothing waits while it is held. */
struct admission_control
{
    std::mutex mutex; ///< Guards all members.
    admission_state admission; ///< Limits, queue, open slots.
    dedup_state dedup; ///< Requests that must not run twice.
    std::map<std::uint64_t, std::function<void(const admission_result &)>> waiters; ///< Called once decided.
    std::uint64_t nextId = 1; ///< Number of the next request.
    endpoint target; ///< Address of the target.
    std::string targetIncarnation; ///< Life of the target, for deployments that name lives; else empty.
    request_log_budget logBudget; ///< Lines about requests that came to the target beside this daemon.
    bool targetChecksFences = false; ///< Whether the target refuses older fences.
};

/**
 * Decides about waiting requests and tells them.
 * @param control Gate.
 * @param now Present time.
 */
void decideQueued(admission_control &control, steady_time now);

} // namespace quetzalspool

#endif // ADMISSION_CONTROL_H
