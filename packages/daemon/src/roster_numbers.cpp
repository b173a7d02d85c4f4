/** @file roster_numbers.cpp Metrics of the roster, and lines about what a daemon rests on. */
#include "roster_numbers.h"

#include "log_func.h"
#include "roster_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr milliseconds gaugeInterval{1000}; ///< Between two looks at the gauges.
constexpr milliseconds silentAfter{
    3000}; ///< A target without a report for this long, three usual intervals, is silent.

std::size_t slotsIn(const std::vector<std::pair<pool_id, slot_range>> &runs)
{
    std::size_t count = 0;
    for (const auto &[pool, run] : runs) {
        count += run.last - run.first + 1;
    }
    return count;
}

/** Slots that nobody owns, or whose owner is not usable, as far as this daemon knows. */
std::size_t slotsWithoutOwner(const roster_control &control, steady_time now)
{
    std::size_t count = 0;
    for (const auto &[pool, stored] : control.state.records) {
        for (const auto &run : stored.record.ranges) {
            const auto seen = control.state.nodes.find(run.owner);
            const bool served = seen != control.state.nodes.end() && isUsable(control.state, seen->second, now);
            count += served ? 0 : run.last - run.first + 1;
        }
    }
    return count;
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
    setGauge(numbers, "slots_granted", static_cast<double>(slotsIn(control.granted)));
    setGauge(numbers, "slots_without_owner", static_cast<double>(slotsWithoutOwner(control, now)));
    setGauge(numbers, "right_seconds_left", std::max(left, 0.0));
    setGauge(numbers, "nodes_known", static_cast<double>(control.state.nodes.size()));
    setGauge(numbers, "store_heard", control.storeHeard ? 1 : 0);
    setGauge(numbers, "tables_version", control.tables ? static_cast<double>(control.tables->rows.version) : 0);
    setGauge(numbers, "link_body_bytes", static_cast<double>(control.shared->crossRegionBytes.load()));
}

void noteDependencies(roster_control &control, steady_time now)
{
    const auto &target = control.state.target;
    const bool heard = !target.incarnation.id.empty() && !target.left && now - target.lastReportAt < silentAfter;
    if (heard != control.targetHeard) {
        control.targetHeard = heard;
        logEvent(log_level::info, heard ? "target-heard" : "target-silent",
                 {{"target", target.incarnation.id}, {"ended", target.left ? "1" : "0"}});
    }
    const bool right = control.state.lease.validUntil > now;
    if (right != control.rightHeld) {
        control.rightHeld = right;
        logEvent(right ? log_level::info : log_level::warn, right ? "right-regained" : "right-lost",
                 {{"entered", control.state.lease.entryPresent ? "1" : "0"},
                  {"store_heard", control.storeHeard ? "1" : "0"},
                  {"runs", std::to_string(control.granted.size())}});
    }
}

} // namespace quetzalspool
