/** @file roster_metrics.cpp Metrics of the roster, and log lines about the dependencies of a daemon. */
#include "roster_metrics.h"

#include "log_func.h"
#include "roster_func.h"
#include "speed_estimate_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr double unlimited = -1; ///< Value of the gauge while the target names no rate limit.
constexpr double loggedSpeedFactor = 1.5; ///< A change of the target's speed by more than this factor is logged.
constexpr milliseconds gaugeInterval{1000}; ///< Interval between updates of the gauges.
constexpr milliseconds unresponsiveAfter{
    3000}; ///< A target without a report for this time, three normal report intervals, is unresponsive.

std::size_t countSlots(const std::vector<std::pair<pool_id, slot_range>> &ranges)
{
    std::size_t count = 0;
    for (const auto &[pool, range] : ranges) {
        count += range.last - range.first + 1;
    }
    return count;
}

/** Counts slots without an owner or whose owner is not usable, as far as this daemon knows. */
std::size_t countUnservedSlots(const roster_control &control, steady_time now)
{
    std::size_t count = 0;
    for (const auto &[pool, stored] : control.state.records) {
        for (const auto &range : stored.record.ranges) {
            const auto known = control.state.nodes.find(range.owner);
            const bool served = known != control.state.nodes.end() && isUsable(control.state, known->second, now);
            count += served ? 0 : range.last - range.first + 1;
        }
    }
    return count;
}

std::optional<double> targetLimit(roster_control &control)
{
    const std::lock_guard lock(control.shared->admissionControl.mutex);
    return control.shared->admissionControl.admission.rate.perSecond;
}

/** Shows the learned speed of the target, and logs it when it has changed by more than the factor. */
void showSpeed(roster_control &control, metrics &numbers)
{
    double speed = 0;
    double serviceMs = 0;
    {
        const std::lock_guard lock(control.shared->admissionControl.mutex);
        const auto &estimate = control.shared->admissionControl.admission.speed;
        speed = learnedSpeed(estimate);
        serviceMs = learnedMeanServiceMs(estimate);
    }
    setGauge(numbers, "target_speed", speed);
    if (speed > control.loggedSpeed * loggedSpeedFactor || speed * loggedSpeedFactor < control.loggedSpeed) {
        logEvent(log_level::info, "target-speed",
                 {{"from", std::to_string(control.loggedSpeed)},
                  {"to", std::to_string(speed)},
                  {"service_ms", std::to_string(serviceMs)}});
        control.loggedSpeed = speed;
    }
}

} // namespace

void countCall(metrics &numbers, const store_call &call)
{
    const std::string kind(call.kind);
    countMetric(numbers,
                "store_calls_total{kind=\"" + kind + "\",result=\"" + nameOf(call.result) + "\",way=\""
                    + (call.relayed ? "relayed" : "direct") + "\"}");
    observeDuration(numbers, "store_seconds{kind=\"" + kind + "\"}", call.took);
}

void setControlGauges(roster_control &control, steady_time now)
{
    auto &numbers = *control.shared->metricsRegistry;
    if (now < control.nextGauges) {
        return;
    }
    control.nextGauges = now + gaugeInterval;
    const auto left = std::chrono::duration<double>(control.state.lease.validUntil - now).count();
    setGauge(numbers, "target_limit_per_second", targetLimit(control).value_or(unlimited));
    if (control.shared->settings.learnSpeeds) {
        showSpeed(control, numbers);
    }
    setGauge(numbers, "slots_granted", static_cast<double>(countSlots(control.publishedRanges)));
    setGauge(numbers, "slots_without_owner", static_cast<double>(countUnservedSlots(control, now)));
    setGauge(numbers, "right_seconds_left", std::max(left, 0.0));
    setGauge(numbers, "nodes_known", static_cast<double>(control.state.nodes.size()));
    setGauge(numbers, "store_heard", control.storeReachable ? 1 : 0);
    setGauge(numbers, "drained_domains", static_cast<double>(control.state.drained.since.size()));
    setGauge(numbers, "memory_used_bytes", static_cast<double>(control.shared->memory->used));
    setGauge(numbers, "memory_limit_bytes", static_cast<double>(control.shared->memory->limit));
    setGauge(numbers, "store_era", static_cast<double>(control.state.era.value));
    setGauge(numbers, "tables_version", control.tables ? static_cast<double>(control.tables->rows.version) : 0);
    setGauge(numbers, "crash_suspects", static_cast<double>(countSuspects(control.shared->crashRegistry)));
    setGauge(numbers, "target_crashes", static_cast<double>(countCrashes(control.shared->crashRegistry)));
    setGauge(numbers, "link_body_bytes", static_cast<double>(control.shared->crossRegionBytes.load()));
}

void logDependencyChanges(roster_control &control, steady_time now)
{
    const auto &target = control.state.target;
    const bool responsive =
        !target.incarnation.id.empty() && !target.left && now - target.lastReportAt < unresponsiveAfter;
    if (responsive != control.targetResponsive) {
        control.targetResponsive = responsive;
        logEvent(log_level::info, responsive ? "target-heard" : "target-silent",
                 {{"target", target.incarnation.id}, {"ended", target.left ? "1" : "0"}});
    }
    const bool valid = control.state.lease.validUntil > now;
    if (valid != control.leaseValid) {
        control.leaseValid = valid;
        logEvent(valid ? log_level::info : log_level::warn, valid ? "right-regained" : "right-lost",
                 {{"entered", control.state.lease.entryPresent ? "1" : "0"},
                  {"store_heard", control.storeReachable ? "1" : "0"},
                  {"runs", std::to_string(control.publishedRanges.size())}});
    }
}

} // namespace quetzalspool
