/** @file roster_load.cpp Loads of the owners of a pool, and their shares by capacity. */
#include "roster_load_func.h"

#include "roster_cold_func.h"
#include "roster_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr double minSpeed = 0.02; ///< Minimum assumed speed of a target, in requests per second and concurrency slot.
constexpr double baselineLoad =
    2.0 / numericSlots; ///< Assumed load of a slot without requests: 2 per second for all slots.
constexpr milliseconds decayInterval{1000}; ///< Between two decay steps.
constexpr double speedSmoothing = 0.05; ///< Weight of a report in a learned speed; one arrives each 500 ms.
constexpr double speedJump = 2; ///< A report that differs by this factor is a lasting change and applies at once.
constexpr double usualSmoothing = 0.1; ///< Weight of a report in a usual speed that falls: follows within 5 s.
constexpr double overloadedSmoothing = 0.025; ///< The same while the target has too much load: follows within 20 s, so
                                              ///< that a lasting fall is not ignored for good.
constexpr double overloadedUtilization = 0.6; ///< From this share of the usual capacity, the load may slow a target.
constexpr double maxOverloadSlowdown = 2; ///< Part of a fall of the speed that load may cause; a larger one is lasting.
constexpr double decayFactor = 0.7; ///< Remaining fraction of a load after one step: a time constant of about 3 s.

/**
 * Speed for the placement of slots. Targets slow down for tenths of a second again and again: slots that followed each
 * of these changes would move all the time.
 */
double steadySpeed(double known, double reported)
{
    const bool jumped = reported > known * speedJump || reported * speedJump < known;
    return jumped ? reported : known + speedSmoothing * (reported - known);
}

/** Load of the ranges that a node owns. */
double ownedLoad(const roster_state &state, const pool_id &pool, const instance_id &owner, const pool_load &load)
{
    double sum = 0;
    const auto stored = state.records.find(pool);
    if (stored != state.records.end()) {
        for (const auto &range : stored->second.record.ranges) {
            sum += range.owner == owner ? loadBetween(&load, range.first, range.last) : 0;
        }
    }
    return sum;
}

/** Updates the usual speed of a target after a report of its speed. */
void updateUsualSpeed(const roster_state &state, const load_message &message, pool_load &load)
{
    const auto speed = load.speed.at(message.sender);
    auto &usual = load.usualSpeed[message.sender];
    if (speed >= usual) {
        usual = speed;
        return;
    }
    const auto seen = state.nodes.find(message.sender);
    const auto slots = seen == state.nodes.end() || !seen->second.node ? 1 : seen->second.node->member.target.slots;
    const auto usualCapacity = std::max<std::uint32_t>(slots, 1) * usual;
    const bool overloaded =
        ownedLoad(state, message.pool, message.sender, load) >= usualCapacity * overloadedUtilization;
    usual += (overloaded ? overloadedSmoothing : usualSmoothing) * (speed - usual);
}

double warmCapacity(const roster_node &node, const pool_load *load)
{
    const double slots = std::max<std::uint32_t>(node.member.target.slots, 1);
    if (load == nullptr || load->speed.empty()) {
        return slots;
    }
    const auto known = load->speed.find(node.member.id);
    if (known != load->speed.end()) {
        return slots * std::max(known->second, minSpeed);
    }
    double sum = 0;
    for (const auto &entry : load->speed) {
        sum += entry.second;
    }
    return slots * std::max(sum / static_cast<double>(load->speed.size()), minSpeed);
}

} // namespace

double capacityOf(const roster_node &node, const pool_load *load)
{
    return coldCapacity(warmCapacity(node, load), node.member.id, load);
}

double usualCapacityOf(const roster_node &node, const pool_load *load)
{
    const auto capacity = capacityOf(node, load);
    if (load == nullptr) {
        return capacity;
    }
    const auto speed = load->speed.find(node.member.id);
    const auto usual = load->usualSpeed.find(node.member.id);
    if (speed == load->speed.end() || usual == load->usualSpeed.end()) {
        return capacity;
    }
    return capacity * std::clamp(usual->second / std::max(speed->second, minSpeed), 1.0, maxOverloadSlowdown);
}

double loadBetween(const pool_load *load, std::uint32_t first, std::uint32_t last)
{
    double sum = (last - first + 1) * baselineLoad;
    if (load == nullptr || load->slots.empty()) {
        return sum;
    }
    double observed = 0;
    for (auto slot = first; slot <= last; ++slot) {
        observed += load->slots[slot];
    }
    return sum + observed / std::max(load->weight, 1 - decayFactor);
}

std::vector<candidate_load> candidateLoads(const ownership_record &record,
                                           const std::vector<const roster_node *> &candidates, const pool_load *load)
{
    std::vector<candidate_load> loads;
    loads.reserve(candidates.size());
    for (const auto *node : candidates) {
        loads.push_back({node, 0, capacityOf(*node, load), {}});
    }
    double total = 0;
    for (const auto &range : record.ranges) {
        const auto rangeLoad = loadBetween(load, range.first, range.last);
        total += rangeLoad;
        const auto &holder = range.nextOwner.value.empty() ? range.owner : range.nextOwner;
        for (auto &entry : loads) {
            entry.load += entry.node->member.id == holder ? rangeLoad : 0;
        }
    }
    shareLoad(loads, total, load);
    return loads;
}

double utilizationOf(const candidate_load &entry, const pool_load *load)
{
    if (load == nullptr || load->speed.empty()) {
        return 1;
    }
    return entry.load / capacityOf(*entry.node, load);
}

void applyLoad(roster_state &state, const load_message &message, steady_time now)
{
    auto &load = state.loads[message.pool];
    if (load.slots.empty()) {
        load.slots.assign(numericSlots, 0);
        load.decayedAt = now;
    }
    // Counts are added with the weight that a step removes, so the load of a slot is a rate per second.
    while (now - load.decayedAt >= decayInterval) {
        load.decayedAt += decayInterval;
        for (auto &slot : load.slots) {
            slot *= decayFactor;
        }
        load.weight = load.weight * decayFactor + 1 - decayFactor;
    }
    for (const auto &[slot, count] : message.slots) {
        if (slot < numericSlots) {
            load.slots[slot] += (1 - decayFactor) * static_cast<double>(count);
        }
    }
    if (message.speed > 0) {
        const auto reported = static_cast<double>(message.speed) / speedUnitSeconds;
        auto &speed = load.speed[message.sender];
        speed = state.placesBySpeed ? steadySpeed(speed, reported) : reported;
        if (state.placesBySpeed) {
            updateUsualSpeed(state, message, load);
        }
        load.coldUntil.erase(message.sender);
    }
}

} // namespace quetzalspool
