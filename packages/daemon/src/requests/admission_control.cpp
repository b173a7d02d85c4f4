/** @file admission_control.cpp Decisions on queued requests. */
#include "admission_control.h"

#include "admission_func.h"

namespace quetzalspool {

void decideQueued(admission_control &control, steady_time now)
{
    std::vector<std::pair<std::function<void(const admission_result &)>, admission_result>> notifications;
    {
        const std::lock_guard lock(control.mutex);
        for (const auto &decision : advanceQueue(control.admission, now)) {
            const auto waiter = control.waiters.find(decision.id);
            if (waiter != control.waiters.end()) {
                notifications.emplace_back(std::move(waiter->second), decision.result);
                control.waiters.erase(waiter);
            }
        }
    }
    for (auto &[notify, result] : notifications) {
        notify(result);
    }
}

std::optional<leaving_target> currentLeavingTarget(admission_control &control)
{
    const std::lock_guard lock(control.mutex);
    if (!control.admission.leaving || control.targetIncarnation.id.empty()) {
        return std::nullopt;
    }
    return leaving_target{control.targetIncarnation, control.admission.leavingSince};
}

bool applyLeavingReminder(admission_control &control, const leaving_target &target, steady_time now)
{
    const std::lock_guard lock(control.mutex);
    return control.targetIncarnation == target.incarnation
        && applyLeavingReminder(control.admission, target.since, now);
}

} // namespace quetzalspool
