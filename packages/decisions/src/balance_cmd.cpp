/** @file balance_cmd.cpp Choosing among targets of a pool that is not divided by key. */
#include "balance_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double linkPenalty = 0.2; ///< Load by which the own target may exceed another one of its domain.
constexpr double domainPenalty = 0.35; ///< Load by which it may exceed one of another domain.
constexpr double farPenalty = 1.2; ///< The same for another region: near targets are full at a load of 1.
constexpr double ejectedPenalty = 100; ///< An ejected target is tried as a last resort.
constexpr std::uint64_t jitterSteps = 1024; ///< Steps of the random part of a score.
constexpr double mostJitter = 0.05; ///< Random part of a score, so that daemons don't all choose the same target.
constexpr milliseconds busyAge{1500}; ///< After this long a target's word about its load counts for nothing.
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

/** What distance adds to the load of a target. The slow link is worth it only if the near targets are overloaded. */
double distanceOf(const cell_member &member, const balance_place &place)
{
    if (member.region != place.region) {
        return farPenalty;
    }
    if (member.id == place.instance) {
        return 0;
    }
    return member.domain == place.domain ? linkPenalty : domainPenalty;
}

/** Requests per slot: what its daemon said, unless that is old, and at least what went there from here. */
double loadOf(const balance_state &state, const cell_member &member, steady_time now)
{
    const auto &evidence = evidenceOf(state, member.id);
    const auto own = static_cast<double>(evidence.inFlight) / std::max<std::uint32_t>(member.target.slots, 1);
    return now - evidence.busyAt < busyAge ? std::max(own, evidence.busy) : own;
}

} // namespace

const cell_member *chooseTarget(const balance_state &state, const std::vector<const cell_member *> &members,
                                const std::set<instance_id> &tried, const balance_place &place, std::mt19937_64 &random,
                                steady_time now)
{
    const cell_member *best = nullptr;
    double bestScore = 0;
    for (const auto *member : members) {
        if (member->leaving || tried.contains(member->id)) {
            continue;
        }
        const bool ejected = now < evidenceOf(state, member->id).ejectedUntil;
        const auto jitter = static_cast<double>(random() % jitterSteps) / jitterSteps * mostJitter;
        const auto score =
            loadOf(state, *member, now) + distanceOf(*member, place) + (ejected ? ejectedPenalty : 0) + jitter;
        if (best == nullptr || score < bestScore) {
            best = member;
            bestScore = score;
        }
    }
    return best;
}

void noteBusy(balance_state &state, const instance_id &target, double busy, steady_time now)
{
    auto &evidence = state.targets[target];
    evidence.busy = busy;
    evidence.busyAt = now;
}

milliseconds patienceWith(const balance_state &state, const instance_id &target)
{
    const auto latency = evidenceOf(state, target).latencyMs;
    if (latency <= 0) {
        return mostPatience; // Nothing is known yet.
    }
    const milliseconds usual(std::llround(latency * patienceFactor));
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
