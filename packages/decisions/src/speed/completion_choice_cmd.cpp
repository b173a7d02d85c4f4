/** @file completion_choice_cmd.cpp Choice of the target with the least expected completion time. */
#include "completion_choice_func.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr std::size_t candidatesDrawn = 5; ///< Candidates of this region that are compared.
constexpr std::size_t distantDrawn = 2; ///< Candidates of other regions that are compared with the best of them.
constexpr std::size_t maxDraws = 32; ///< Bound on the draws, also if most targets are distant or unusable.
constexpr double poolSmoothing = 0.05; ///< Weight of a report in the means of its pool.
constexpr std::chrono::duration<double> speedMemory{
    1.5}; ///< Time constant with which an old speed tends to the mean.
          ///< It bounds how often each daemon tries a slow target again.
constexpr std::chrono::duration<double> loadMemory{1}; ///< The same for an old load.
constexpr std::chrono::duration<double> regionMemory{1.5}; ///< Time constant with which an old mean load of a region
                                                           ///< tends to 0, so that the region is tried again.
constexpr double reservedDistance = 0.3; ///< Share of the service time by which a target outside a reserved region has
                                         ///< to be better.
constexpr double fullLoad = 1; ///< Expected load from which other regions are considered.
constexpr double fullReservedLoad = 0.5; ///< The same in a reserved region.
constexpr std::size_t maxKinds = 64; ///< Bound on the kinds of requests whose mean is kept.
constexpr double occupancyWeight = 0.6; ///< Expected delay at a target that is just full, as a share of its service
                                        ///< time: reports are old, so others may have sent requests since.

const target_stats *findStats(const balance_state &state, const instance_id &id)
{
    const auto found = state.targets.find(id);
    return found == state.targets.end() ? nullptr : &found->second;
}

const pool_pace &paceOf(const balance_state &state, const pool_id &pool)
{
    static const pool_pace unknown;
    const auto found = state.pools.find(pool);
    return found == state.pools.end() ? unknown : found->second;
}

double remaining(steady_time since, std::chrono::duration<double> memory, steady_time now)
{
    return std::exp(-std::chrono::duration<double>(now - since) / memory);
}

/** Mean load of the targets of a pool in a region. */
double meanLoad(const pool_pace &pool, const region_id &region, steady_time now)
{
    const auto found = pool.loads.find(region);
    return found == pool.loads.end()
        ? 0
        : found->second.loadPerSlot * remaining(found->second.reportedAt, regionMemory, now);
}

void updateMean(double &mean, double value)
{
    mean = mean == 0 ? value : mean + poolSmoothing * (value - mean);
}

/** The best candidate so far. */
struct best_candidate
{
    const cell_member *member = nullptr; ///< Candidate; null before the first.
    double score = 0; ///< Its score.
};

/** Compares a candidate with the best one. */
void consider(best_candidate &best, const balance_state &state, const cell_member &member,
              const balancer_location &location, steady_time now)
{
    const auto score = completionScore(state, member, location, now);
    if (best.member == nullptr || score < best.score) {
        best = {&member, score};
    }
}

/** Expected load of the best target of this region from which other regions are considered. */
double loadToLeaveRegion(const balancer_location &location)
{
    return isReserved(location, location.region) ? fullReservedLoad : fullLoad;
}

/** Whether a target may be a candidate. */
bool isUsable(const balance_state &state, const cell_member &member, const std::set<instance_id> &tried,
              steady_time now)
{
    if (member.leaving || tried.contains(member.id)) {
        return false;
    }
    return !isEjected(state, member.id, now);
}

} // namespace

double expectedLoad(const balance_state &state, const cell_member &member, steady_time now)
{
    const double slots = std::max<std::uint32_t>(member.target.slots, 1);
    auto load = meanLoad(paceOf(state, member.target.pool), member.region, now);
    if (const auto *stats = findStats(state, member.id); stats != nullptr) {
        const auto known = remaining(stats->loadReportedAt, loadMemory, now);
        const auto sent = stats->pace.sentSinceReport / slots;
        load = std::max(load + (stats->loadPerSlot - load) * known + sent, stats->inFlight / slots);
    }
    return load + 1 / slots;
}

double learnedSlowness(const balance_state &state, const instance_id &target, steady_time now)
{
    const auto *stats = findStats(state, target);
    return stats == nullptr ? 1 : 1 + (stats->pace.slowness - 1) * remaining(stats->pace.reportedAt, speedMemory, now);
}

double expectedCompletion(const balance_state &state, const cell_member &member, steady_time now)
{
    const auto slowness = learnedSlowness(state, member.id, now);
    const auto load = expectedLoad(state, member, now);
    const auto occupied = std::min(load, 1.0);
    return slowness * (1 + occupancyWeight * occupied * occupied + std::max(load - 1, 0.0));
}

double completionScore(const balance_state &state, const cell_member &member, const balancer_location &location,
                       steady_time now)
{
    const auto distance = yieldsTo(location, member.region) ? reservedDistance : distancePenalty(member, location);
    return expectedCompletion(state, member, now) * (1 + distance);
}

bool considersOtherRegions(const balance_state &state, const cell_member &best, const balancer_location &location,
                           steady_time now)
{
    return expectedLoad(state, best, now) >= loadToLeaveRegion(location);
}

const cell_member *chooseByCompletion(const balance_state &state, const std::vector<const cell_member *> &members,
                                      const std::set<instance_id> &tried, const balancer_location &location,
                                      std::mt19937_64 &random, steady_time now)
{
    best_candidate best;
    best_candidate bestDistant;
    std::array<const cell_member *, candidatesDrawn + distantDrawn> drawn{};
    std::size_t near = 0;
    std::size_t distant = 0;
    for (std::size_t draw = 0; draw < maxDraws && near < candidatesDrawn && !members.empty(); ++draw) {
        const auto *member = members[random() % members.size()];
        const bool isNear = member->region == location.region;
        const bool isDrawn = std::find(drawn.begin(), drawn.end(), member) != drawn.end();
        if (isDrawn || (!isNear && distant == distantDrawn) || !isUsable(state, *member, tried, now)) {
            continue;
        }
        drawn.at(near + distant) = member;
        ++(isNear ? near : distant);
        consider(isNear ? best : bestDistant, state, *member, location, now);
    }
    const auto own =
        std::find_if(members.begin(), members.end(), [&](const auto *entry) { return entry->id == location.instance; });
    if (own != members.end() && isUsable(state, **own, tried, now)) {
        consider(best, state, **own, location, now);
    }
    const bool nearIsFull = best.member != nullptr && considersOtherRegions(state, *best.member, location, now);
    if (nearIsFull && bestDistant.member != nullptr && bestDistant.score < best.score) {
        return bestDistant.member;
    }
    // No usable target of this region was drawn: all are compared by load.
    return best.member != nullptr ? best.member : chooseTarget(state, members, tried, location, random, now);
}

void recordSpeed(balance_state &state, const cell_member &target, const speed_report &report, steady_time now)
{
    recordLoad(state, target.id, report.loadPerSlot, now);
    auto &means = state.pools[target.target.pool];
    auto &load = means.loads[target.region];
    updateMean(load.loadPerSlot, report.loadPerSlot);
    load.reportedAt = now;
    auto &pace = state.targets[target.id].pace;
    pace.sentSinceReport = 0;
    if (report.serviceMs > 0 && (means.serviceMs.size() < maxKinds || means.serviceMs.contains(report.kind))) {
        auto &mean = means.serviceMs[report.kind];
        updateMean(mean, report.serviceMs);
        pace = {report.serviceMs / mean, now, 0};
    }
}

} // namespace quetzalspool
