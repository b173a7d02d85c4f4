/** @file cold_control.cpp Whether the local target is cold: its reports, the rate from the tables, log lines, gauges.
 */
#include "cold_control.h"

#include "cold_limit_func.h"
#include "elapsed_clock.h"
#include "log_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr milliseconds warmReportTime{5000}; ///< The speed is reported for this long after the target became warm, ten
                                             ///< times, since datagrams may be lost.

double coldRate(const roster_control &control, const pool_id &pool)
{
    if (!control.tables) {
        return 0;
    }
    const auto &pools = control.tables->rows.pools;
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const auto &row) { return row.name == pool; });
    return found == pools.end() ? 0 : found->coldPerSecond;
}

void setRate(roster_control &control, cold_limit &limit, steady_time now)
{
    const auto rate = coldRate(control, control.state.self.member.target.pool);
    setColdRate(limit, rate, control.port.coldBound, control.state.startedAt, now);
}

} // namespace

void applyColdness(roster_control &control, const target_report &report, bool restarted, steady_time now)
{
    auto &admissionControl = control.shared->admissionControl;
    const std::lock_guard lock(admissionControl.mutex);
    auto &limit = admissionControl.admission.cold;
    setRate(control, limit, now);
    const bool accepted = control.state.target.lastReportAt == now;
    if (accepted) {
        applyColdReport(limit, report.coldFor, restarted, now);
    } else if (report.coldFor > milliseconds(0)) {
        noteMayBeCold(limit, now); // Late, or of a restart that can't be told from the run before.
    }
}

bool reportsColdSpeed(const roster_control &control)
{
    return control.coldSeenAt != steady_time{} && elapsed_clock::now() - control.coldSeenAt < warmReportTime;
}

void updateColdLimit(roster_control &control, steady_time now)
{
    cold_limit limit;
    {
        auto &admissionControl = control.shared->admissionControl;
        const std::lock_guard lock(admissionControl.mutex);
        setRate(control, admissionControl.admission.cold, now);
        limit = admissionControl.admission.cold;
    }
    const bool cold = isCold(limit, now);
    // A restart that is only suspected changes no plan: its sign may be false, and the next report follows within a
    // second.
    control.coldSeenAt = cold && !limit.uncertain ? now : control.coldSeenAt;
    const bool changed = cold != control.targetCold;
    control.targetCold = cold;
    if (changed && consumeTokens(control.coldLogBudget, now)) {
        const auto left = std::chrono::duration_cast<milliseconds>(std::max(limit.coldUntil, now) - now);
        logEvent(log_level::info, cold ? "target-cold" : "target-warm",
                 {{"left_ms", std::to_string(left.count())},
                  {"uncertain", limit.uncertain ? "1" : "0"},
                  {"limit", std::to_string(limit.perSecond)},
                  {"refused", std::to_string(limit.refusals)}});
    }
    setGauge(*control.shared->metricsRegistry, "target_cold", cold ? 1 : 0);
    setGauge(*control.shared->metricsRegistry, "cold_refusals_total", static_cast<double>(limit.refusals));
}

} // namespace quetzalspool
