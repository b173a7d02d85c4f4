/** @file admission_control.cpp Telling waiting requests what was decided. */
#include "admission_control.h"

#include "admission_func.h"

namespace quetzalspool {

void advanceGate(gate &at, steady_time now)
{
    std::vector<std::pair<std::function<void(const admission_result &)>, admission_result>> calls;
    {
        const std::lock_guard lock(at.mutex);
        for (const auto &decided : advanceQueue(at.admission, now)) {
            const auto waiter = at.waiters.find(decided.id);
            if (waiter != at.waiters.end()) {
                calls.emplace_back(std::move(waiter->second), decided.result);
                at.waiters.erase(waiter);
            }
        }
    }
    for (auto &[call, verdict] : calls) {
        call(verdict);
    }
}

} // namespace quetzalspool
