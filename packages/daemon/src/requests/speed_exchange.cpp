/** @file speed_exchange.cpp Exchange of the speeds and loads of targets between daemons. */
#include "speed_exchange.h"

#include "admission_estimate_func.h"
#include "admission_func.h"
#include "completion_choice_func.h"
#include "elapsed_clock.h"
#include "speed_estimate_func.h"

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

work_kind kindOf(const routed_request &request)
{
    return {request.kind == request_class::order || request.rank < normalRank, request.route};
}

} // namespace

local_speed currentSpeed(daemon_shared &shared, const routed_request &request)
{
    const std::lock_guard lock(shared.admissionControl.mutex);
    const auto now = clock::now();
    auto &admission = shared.admissionControl.admission;
    local_speed speed{loadPerSlot(admission, now), std::nullopt};
    if (admission.speed.enabled) {
        updateOverrun(admission.speed, now);
        const auto expected = learnedServiceMs(admission.speed, kindOf(request));
        speed.serviceMs = expected > 0 ? std::optional(expected) : std::nullopt;
    }
    return speed;
}

choice_rules choiceRules(const daemon_settings &settings)
{
    return {{settings.instance, settings.region, settings.domain}, settings.learnSpeeds};
}

void recordReport(traffic_thread &thread, const cell_member &member, const routed_request &request,
                  const request_outcome &outcome, steady_time now)
{
    const auto &settings = thread.shared->settings;
    if (!settings.learnSpeeds) {
        if (outcome.loadPerSlot) {
            recordLoad(thread.balance, member.id, *outcome.loadPerSlot, now);
        }
        return;
    }
    local_speed speed{outcome.loadPerSlot.value_or(0), outcome.serviceMs};
    const bool isLocal = member.id == settings.instance;
    if (isLocal) {
        speed = currentSpeed(*thread.shared, request);
    }
    if (isLocal || outcome.loadPerSlot) {
        const speed_report report{speed.serviceMs.value_or(0), speed.loadPerSlot, kindOf(request)};
        recordSpeed(thread.balance, member, report, now);
    }
}

} // namespace quetzalspool
