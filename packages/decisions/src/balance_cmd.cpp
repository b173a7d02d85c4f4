/** @file balance_cmd.cpp Choosing among targets of a pool that is not divided by key. */
#include "balance_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr int farthest = 3; ///< Distance of an ejected target, tried as a last resort.
constexpr double patienceFactor = 20; ///< Times the usual latency.
constexpr milliseconds leastPatience{250}; ///< Shortest patience with one target.
constexpr milliseconds mostPatience{5000}; ///< Longest patience with one target.
constexpr double latencySmoothing = 0.2; ///< Weight of the newest latency.

const target_evidence &evidenceOf(const balance_state &state, const instance_id &id)
{
    static const target_evidence unknown;
    const auto found = state.targets.find(id);
    return found == state.targets.end() ? unknown : found->second;
}

/** 0 in the same failure domain, 1 in the same region, 2 in another, 3 if ejected. */
int distanceOf(const balance_state &state, const cell_member &member, const balance_place &place, steady_time now)
{
    if (now < evidenceOf(state, member.id).ejectedUntil) {
        return farthest;
    }
    if (member.region != place.region) {
        return 2;
    }
    return member.domain == place.domain ? 0 : 1;
}

/** Requests under way per slot, with latency as the tie-breaker. */
double loadOf(const balance_state &state, const cell_member &member)
{
    const auto &evidence = evidenceOf(state, member.id);
    return (evidence.inFlight + 1.0) * (1.0 + evidence.latencyMs) / std::max<std::uint32_t>(member.target.slots, 1);
}

} // namespace

const cell_member *chooseTarget(const balance_state &state, const std::vector<const cell_member *> &members,
                                const std::set<instance_id> &tried, const balance_place &place, std::mt19937_64 &random,
                                steady_time now)
{
    std::vector<const cell_member *> nearest;
    int best = farthest + 1;
    for (const auto *member : members) {
        if (member->leaving || tried.contains(member->id)) {
            continue;
        }
        const auto distance = distanceOf(state, *member, place, now);
        if (distance < best) {
            best = distance;
            nearest.clear();
        }
        if (distance == best) {
            nearest.push_back(member);
        }
    }
    if (nearest.empty()) {
        return nullptr;
    }
    const auto *first = nearest[random() % nearest.size()];
    const auto *second = nearest[random() % nearest.size()];
    return loadOf(state, *first) <= loadOf(state, *second) ? first : second;
}

milliseconds patienceWith(const balance_state &state, const instance_id &target)
{
    const milliseconds usual(std::llround(evidenceOf(state, target).latencyMs * patienceFactor));
    return std::clamp(usual, leastPatience, mostPatience);
}

void noteStart(balance_state &state, const instance_id &target)
{
    ++state.targets[target].inFlight;
}

void noteEnd(balance_state &state, const instance_id &target, bool good, milliseconds took, steady_time now)
{
    auto &evidence = state.targets[target];
    evidence.inFlight -= evidence.inFlight > 0 ? 1 : 0;
    if (good) {
        evidence.failures = 0;
        evidence.ejection = milliseconds(0);
        evidence.latencyMs += latencySmoothing * (static_cast<double>(took.count()) - evidence.latencyMs);
        return;
    }
    ++evidence.failures;
    if (evidence.failures >= state.limits.failuresToEject) {
        evidence.ejection = evidence.ejection == milliseconds(0)
            ? state.limits.firstEjection
            : std::min(evidence.ejection * 2, state.limits.mostEjection);
        evidence.ejectedUntil = now + evidence.ejection;
        evidence.failures = state.limits.failuresToEject - 1; // One failure after its return ejects it again.
    }
}

} // namespace quetzalspool
