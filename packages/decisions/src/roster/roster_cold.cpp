/** @file roster_cold.cpp Cold targets in the planning of owners. */
#include "roster_cold_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr double assumedSpeed = 5; ///< Requests per second and concurrency slot of targets whose speed is unknown: the
                                   ///< 200 ms of service time that admission assumes until one is measured.
constexpr double coldTolerance = 1.01; ///< Rounding of the speeds in load messages.

} // namespace

void noteOwnColdness(roster_state &state, const target_report &report)
{
    if (state.self.targetIncarnation != report.incarnation) {
        const bool limited = state.coldRates.contains(report.announcement.pool);
        state.self.targetColdFor = limited ? std::max(report.coldFor, milliseconds(0)) : milliseconds(0);
    }
}

void noteEntryColdness(roster_state &state, const std::optional<roster_node> &before, const roster_node &entry,
                       steady_time now)
{
    if (before && before->targetIncarnation == entry.targetIncarnation) {
        return;
    }
    const auto &pool = entry.member.target.pool;
    if (entry.targetColdFor > milliseconds(0)) {
        state.loads[pool].coldUntil[entry.member.id] = now + entry.targetColdFor;
    } else if (const auto known = state.loads.find(pool); known != state.loads.end()) {
        known->second.coldUntil.erase(entry.member.id);
    }
}

void refreshColdness(roster_state &state, const pool_id &pool, steady_time now)
{
    const auto load = state.loads.find(pool);
    if (load == state.loads.end()) {
        return;
    }
    const auto rate = state.coldRates.find(pool);
    load->second.coldPerSecond = rate == state.coldRates.end() ? 0 : rate->second;
    std::erase_if(load->second.coldUntil, [&](const auto &entry) { return now >= entry.second; });
}

double coldCapacity(double capacity, const instance_id &id, const pool_load *load)
{
    if (load == nullptr || load->coldPerSecond <= 0 || !load->coldUntil.contains(id)) {
        return capacity;
    }
    const double unit = load->speed.empty() ? assumedSpeed : 1;
    return std::min(capacity, load->coldPerSecond / unit);
}

void shareLoad(std::vector<candidate_load> &loads, double total, const pool_load *load)
{
    const double cold = load == nullptr ? 0 : load->coldPerSecond;
    const double unit = load == nullptr || load->speed.empty() ? assumedSpeed : 1;
    double all = 0;
    double limited = 0; // Load of the cold candidates that carry as much as they can.
    double others = 0;
    for (const auto &entry : loads) {
        all += entry.fairShare;
    }
    for (auto &entry : loads) {
        const auto capacity = entry.fairShare * unit;
        const bool isLimited = cold > 0 && capacity <= cold * coldTolerance;
        entry.limit = isLimited ? std::optional(capacity) : std::nullopt;
        const bool isFull = isLimited && total * entry.fairShare / all > capacity;
        limited += isFull ? capacity : 0;
        others += isFull ? 0 : entry.fairShare;
    }
    const bool distribute = others > 0 && limited > 0;
    for (auto &entry : loads) {
        const auto share = total * entry.fairShare / all;
        const bool isFull = entry.limit && share > *entry.limit;
        entry.fairShare = !distribute ? share : isFull ? *entry.limit : (total - limited) * entry.fairShare / others;
    }
}

} // namespace quetzalspool
