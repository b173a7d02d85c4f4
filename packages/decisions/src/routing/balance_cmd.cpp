/** @file balance_cmd.cpp Load balancing over the targets of a pool without keys. */
#include "balance_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double sameDomainPenalty = 0.2; ///< Load by which the local target may exceed others of its failure domain.
constexpr double otherDomainPenalty = 0.35; ///< Load by which it may exceed a target of another failure domain.
constexpr double otherRegionPenalty = 1.2; ///< Load by which it may exceed one of another region. The load of a full
                                           ///< target is 1, so the targets of this region are filled first.
constexpr double reservedRegionPenalty = 0.7; ///< The same from a region that is reserved to one that is not, which is
                                              ///< used once about half of the slots of this one are busy.
constexpr double ejectedPenalty = 100; ///< Ranks ejected targets after all others.
constexpr std::uint64_t jitterSteps = 1024; ///< Distinct values of the random part of a score.
constexpr double maxJitter = 0.05; ///< Upper limit of the random part of a score, which keeps daemons from all
                                   ///< choosing the same target.
constexpr milliseconds maxLoadReportAge{1500}; ///< Older load reports are ignored.
constexpr double timeoutLatencyFactor = 20; ///< Response timeout as a multiple of the average response time.
constexpr milliseconds minResponseTimeout{250}; ///< Lower limit of the response timeout.
constexpr milliseconds maxResponseTimeout{5000}; ///< Upper limit of the response timeout.
constexpr double latencySmoothing = 0.2; ///< Weight of the latest response time in the moving average.

const target_stats &statsOf(const balance_state &state, const instance_id &id)
{
    static const target_stats unknown;
    const auto found = state.targets.find(id);
    return found == state.targets.end() ? unknown : found->second;
}

} // namespace

bool isReserved(const balancer_location &location, const region_id &region)
{
    return std::find(location.reserved.begin(), location.reserved.end(), region) != location.reserved.end();
}

bool yieldsTo(const balancer_location &location, const region_id &region)
{
    return isReserved(location, location.region) && !isReserved(location, region);
}

double distancePenalty(const cell_member &member, const balancer_location &location)
{
    if (member.region != location.region) {
        return yieldsTo(location, member.region) ? reservedRegionPenalty : otherRegionPenalty;
    }
    if (member.id == location.instance) {
        return 0;
    }
    return member.domain == location.domain ? sameDomainPenalty : otherDomainPenalty;
}

double currentLoad(const balance_state &state, const cell_member &member, steady_time now)
{
    const auto &stats = statsOf(state, member.id);
    const auto own = static_cast<double>(stats.inFlight) / std::max<std::uint32_t>(member.target.slots, 1);
    return now - stats.loadReportedAt < maxLoadReportAge ? std::max(own, stats.loadPerSlot) : own;
}

bool isEjected(const balance_state &state, const instance_id &target, steady_time now)
{
    return now < statsOf(state, target).ejectedUntil;
}

double loadScore(const balance_state &state, const cell_member &member, const balancer_location &location,
                 steady_time now)
{
    return currentLoad(state, member, now) + distancePenalty(member, location)
        + (isEjected(state, member.id, now) ? ejectedPenalty : 0);
}

const cell_member *chooseTarget(const balance_state &state, const std::vector<const cell_member *> &members,
                                const std::set<instance_id> &tried, const balancer_location &location,
                                std::mt19937_64 &random, steady_time now)
{
    const cell_member *best = nullptr;
    double bestScore = 0;
    for (const auto *member : members) {
        if (member->leaving || tried.contains(member->id)) {
            continue;
        }
        const auto jitter = static_cast<double>(random() % jitterSteps) / jitterSteps * maxJitter;
        const auto score = loadScore(state, *member, location, now) + jitter;
        if (best == nullptr || score < bestScore) {
            best = member;
            bestScore = score;
        }
    }
    return best;
}

void recordLoad(balance_state &state, const instance_id &target, double loadPerSlot, steady_time now)
{
    auto &stats = state.targets[target];
    stats.loadPerSlot = loadPerSlot;
    stats.loadReportedAt = now;
}

milliseconds responseTimeout(const balance_state &state, const instance_id &target)
{
    const auto latency = statsOf(state, target).latencyMs;
    if (latency <= 0) {
        return maxResponseTimeout; // No response yet.
    }
    const milliseconds usual(std::llround(latency * timeoutLatencyFactor));
    return std::clamp(usual, minResponseTimeout, maxResponseTimeout);
}

void recordStart(balance_state &state, const instance_id &target)
{
    auto &stats = state.targets[target];
    ++stats.inFlight;
    ++stats.pace.sentSinceReport;
}

void recordResult(balance_state &state, const instance_id &target, bool succeeded, milliseconds duration,
                  steady_time now)
{
    auto &stats = state.targets[target];
    stats.inFlight -= stats.inFlight > 0 ? 1 : 0;
    if (succeeded) {
        stats.failures = 0;
        stats.ejectionTime = milliseconds(0);
        stats.latencyMs += latencySmoothing * (static_cast<double>(duration.count()) - stats.latencyMs);
        return;
    }
    ++stats.failures;
    if (stats.failures >= state.limits.failuresToEject) {
        stats.ejectionTime = stats.ejectionTime == milliseconds(0)
            ? state.limits.firstEjectionTime
            : std::min(stats.ejectionTime * 2, state.limits.maxEjectionTime);
        stats.ejectedUntil = now + stats.ejectionTime;
        stats.failures = state.limits.failuresToEject - 1; // The first failure after its return ejects it again.
    }
}

} // namespace quetzalspool
