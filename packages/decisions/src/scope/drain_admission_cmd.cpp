/** @file drain_admission_cmd.cpp Admission beside a target whose failure domain is out of service. */
#include "drain_admission_func.h"

#include "cold_limit_func.h"

namespace quetzalspool {

void setDrained(admission_state &state, std::optional<steady_time> since, milliseconds limit, steady_time now)
{
    if (state.drainedSince && !since) {
        state.drainEndedAt = now;
        noteMayBeCold(state.cold, now);
    }
    state.drainedSince = since;
    state.drainLimit = limit;
}

bool isRefusedByDrain(const admission_state &state, const admission_request &request, steady_time now)
{
    return state.drainedSince && (!request.slot || now - *state.drainedSince >= state.drainLimit);
}

} // namespace quetzalspool
