/** @file completion_choice_cmd.cpp Choice of the target with the least expected completion time. */
#include "completion_choice_func.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr std::size_t candidatesDrawn = 5; ///< Candidates of this region that are compared.
constexpr std::size_t distantDrawn = 2; ///< Candidates of other regions that are compared with them.
constexpr std::size_t maxDraws = 32; ///< Bound on the draws, also if most targets are distant or unusable.
constexpr double poolSmoothing = 0.05; ///< Weight of a report in the means of its pool.
constexpr std::chrono::duration<double> speedMemory{
    1.5}; ///< Time constant with which an old speed tends to the mean.
          ///< It bounds how often each daemon tries a slow target again.
constexpr std::chrono::duration<double> loadMemory{1}; ///< The same for an old load.
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

/** Service time of a target relative to the mean of its pool. */
double slownessOf(const target_stats &stats, const pool_pace &pool, steady_time now)
{
    const auto mean = stats.pace.urgent ? pool.urgentMs : pool.normalMs;
    if (stats.pace.serviceMs <= 0 || mean <= 0) {
        return 1;
    }
    return 1 + (stats.pace.serviceMs / mean - 1) * remaining(stats.pace.reportedAt, speedMemory, now);
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
    const auto score = expectedCompletion(state, member, now) * (1 + distancePenalty(member, location));
    if (best.member == nullptr || score < best.score) {
        best = {&member, score};
    }
}

/** Whether a target may be a candidate. */
bool isUsable(const balance_state &state, const cell_member &member, const std::set<instance_id> &tried,
              steady_time now)
{
    if (member.leaving || tried.contains(member.id)) {
        return false;
    }
    const auto *stats = findStats(state, member.id);
    return stats == nullptr || now >= stats->ejectedUntil;
}

} // namespace

double expectedCompletion(const balance_state &state, const cell_member &member, steady_time now)
{
    const auto &pool = paceOf(state, member.target.pool);
    const auto *stats = findStats(state, member.id);
    const double slots = std::max<std::uint32_t>(member.target.slots, 1);
    double slowness = 1;
    double load = pool.loadPerSlot;
    if (stats != nullptr) {
        const auto known = remaining(stats->loadReportedAt, loadMemory, now);
        const auto sent = stats->pace.sentSinceReport / slots;
        load = std::max(load + (stats->loadPerSlot - load) * known + sent, stats->inFlight / slots);
        slowness = slownessOf(*stats, pool, now);
    }
    load += 1 / slots;
    const auto occupied = std::min(load, 1.0);
    return slowness * (1 + occupancyWeight * occupied * occupied + std::max(load - 1, 0.0));
}

const cell_member *chooseByCompletion(const balance_state &state, const std::vector<const cell_member *> &members,
                                      const std::set<instance_id> &tried, const balancer_location &location,
                                      std::mt19937_64 &random, steady_time now)
{
    best_candidate best;
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
        consider(best, state, *member, location, now);
    }
    const auto own =
        std::find_if(members.begin(), members.end(), [&](const auto *entry) { return entry->id == location.instance; });
    if (own != members.end() && isUsable(state, **own, tried, now)) {
        consider(best, state, **own, location, now);
    }
    // Few usable targets are left: all are compared by load.
    return best.member != nullptr ? best.member : chooseTarget(state, members, tried, location, random, now);
}

void recordSpeed(balance_state &state, const pool_id &pool, const instance_id &target, const speed_report &report,
                 steady_time now)
{
    recordLoad(state, target, report.loadPerSlot, now);
    auto &means = state.pools[pool];
    updateMean(means.loadPerSlot, report.loadPerSlot);
    auto &pace = state.targets[target].pace;
    pace.sentSinceReport = 0;
    if (report.serviceMs > 0) {
        pace = {report.serviceMs, report.urgent, now, 0};
        updateMean(report.urgent ? means.urgentMs : means.normalMs, report.serviceMs);
    }
}

} // namespace quetzalspool
