/** @file cold_signs.cpp Connections to the local target that show that it may have restarted and be cold. */
#include "cold_signs.h"

#include "cold_limit_func.h"
#include "elapsed_clock.h"

namespace quetzalspool {

void noteConnection(daemon_shared &shared, const target_exchange *exchange)
{
    if (exchange != nullptr && !showsRestart(*exchange)) {
        return;
    }
    const std::lock_guard lock(shared.admissionControl.mutex);
    noteMayBeCold(shared.admissionControl.admission.cold, elapsed_clock::now());
}

} // namespace quetzalspool
