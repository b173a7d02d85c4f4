/** @file routing_report_cmd.cpp Explains where a request would go, with the functions that route requests. */
#include "routing_report_func.h"

#include "allowed_regions_func.h"
#include "completion_choice_func.h"
#include "drained_domains_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr std::size_t maxCandidates = 50; ///< Candidates in a report; pools may have thousands of targets.

target_distance distanceOf(const cell_member &member, const balancer_location &location)
{
    if (member.id == location.instance) {
        return target_distance::local;
    }
    if (member.region != location.region) {
        return target_distance::other_region;
    }
    return member.domain == location.domain ? target_distance::same_domain : target_distance::same_region;
}

/** What the candidates of a request are compared by. */
struct comparison
{
    const routing_view &view; ///< View.
    const balance_state &state; ///< Load balancing state.
    const eligible_targets &targets; ///< Targets that may serve the request.
    const report_query &query; ///< Request.
    choice_rules rules; ///< How a target is chosen, with the reserved regions.
    steady_time now; ///< Current time.
};

/** Whether a target may be chosen at all. */
bool isChoosable(const comparison &compared, const cell_member &member)
{
    return allowsRegion(compared.targets.allowed, member.region) && !isDrained(compared.view.drained, member.domain)
        && !member.leaving && !compared.query.tried.contains(member.id);
}

/** Whether a target is compared by completion time with others of this region. */
bool isNearAndUsable(const comparison &compared, const cell_member &member)
{
    const auto &location = compared.rules.location;
    const bool near = member.region == location.region || member.id == location.instance;
    return near && isChoosable(compared, member) && !isEjected(compared.state, member.id, compared.now);
}

/** The target of this region with the least expected completion time; null if none is usable. */
const cell_member *findBestNear(const comparison &compared, const std::vector<const cell_member *> &members)
{
    const cell_member *best = nullptr;
    double bestScore = 0;
    for (const auto *member : members) {
        const auto score = completionScore(compared.state, *member, compared.rules.location, compared.now);
        if (isNearAndUsable(compared, *member) && (best == nullptr || score < bestScore)) {
            best = member;
            bestScore = score;
        }
    }
    return best;
}

/** Targets that are preferred to those of a later group at any score. */
enum class preference_group
{
    first, ///< Compared by score.
    other_region, ///< In another region, while this one has capacity.
    ejected, ///< Ejected. Where targets are compared by load, ejection is a part of the score instead.
    unusable, ///< Can't be chosen.
};

preference_group groupOf(const comparison &compared, const cell_member &member, bool regionsCompete)
{
    if (!isChoosable(compared, member)) {
        return preference_group::unusable;
    }
    if (!compared.rules.bySpeed) {
        return preference_group::first;
    }
    if (isEjected(compared.state, member.id, compared.now)) {
        return preference_group::ejected;
    }
    return regionsCompete || isNearAndUsable(compared, member) ? preference_group::first
                                                               : preference_group::other_region;
}

double scoreOf(const comparison &compared, const cell_member &member)
{
    const auto score = compared.rules.bySpeed ? completionScore : loadScore;
    return score(compared.state, member, compared.rules.location, compared.now);
}

/** A target with its place in the order of preference. */
struct ranked_target
{
    std::pair<preference_group, double> rank; ///< Group and score.
    const cell_member *member = nullptr; ///< Target.
};

/** Lists the targets of a pool without keys in order of preference. */
std::vector<const cell_member *> rankTargets(comparison &compared)
{
    auto members = membersOf(compared.view, compared.query.pool);
    const auto *bestNear = findBestNear(compared, members);
    // Without a usable target in this region, targets are compared by load.
    compared.rules.bySpeed = compared.rules.bySpeed && bestNear != nullptr;
    const bool regionsCompete = compared.rules.bySpeed
        && considersOtherRegions(compared.state, *bestNear, compared.rules.location, compared.now);
    std::vector<ranked_target> ranked;
    ranked.reserve(members.size());
    for (const auto *member : members) {
        ranked.push_back({{groupOf(compared, *member, regionsCompete), scoreOf(compared, *member)}, member});
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) { return a.rank < b.rank; });
    std::transform(ranked.begin(), ranked.end(), members.begin(), [](const auto &target) { return target.member; });
    return members;
}

candidate_report describeCandidate(const comparison &compared, const cell_member &member)
{
    const auto &state = compared.state;
    const auto now = compared.now;
    candidate_report candidate;
    candidate.member = member;
    candidate.distance = distanceOf(member, compared.rules.location);
    candidate.load = compared.rules.bySpeed ? expectedLoad(state, member, now) : currentLoad(state, member, now);
    candidate.score = scoreOf(compared, member);
    if (const auto stats = state.targets.find(member.id); stats != state.targets.end()) {
        if (stats->second.pace.reportedAt != steady_time()) {
            candidate.speed = 1 / learnedSlowness(state, member.id, now);
        }
        if (stats->second.loadReportedAt != steady_time()) {
            candidate.reportAge = std::chrono::duration_cast<milliseconds>(now - stats->second.loadReportedAt);
        }
    }
    candidate.allowed = allowsRegion(compared.targets.allowed, member.region);
    candidate.drained = isDrained(compared.view.drained, member.domain);
    candidate.ejected = isEjected(state, member.id, now);
    candidate.tried = compared.query.tried.contains(member.id);
    return candidate;
}

/** Describes the owner of a key, or the targets of a pool without keys. The chosen one is among them. */
void describeCandidates(routing_report &report, comparison compared, const cell_member *chosen)
{
    std::vector<const cell_member *> members;
    if (compared.targets.owner) {
        members.push_back(compared.targets.owner->member);
    } else if (!compared.targets.keyed) {
        members = rankTargets(compared);
    }
    if (members.size() > maxCandidates) {
        const auto at = std::find(members.begin(), members.end(), chosen);
        if (at != members.end() && at - members.begin() >= static_cast<std::ptrdiff_t>(maxCandidates)) {
            std::swap(*at, members[maxCandidates - 1]);
        }
        report.omittedCandidates = members.size() - maxCandidates;
        members.resize(maxCandidates);
    }
    for (const auto *member : members) {
        report.candidates.push_back(describeCandidate(compared, *member));
        report.candidates.back().chosen = member == chosen;
    }
}

} // namespace

routing_report explainRouting(const routing_view &view, const balance_state &state, const report_query &query,
                              std::mt19937_64 random, steady_time now)
{
    routing_report report;
    report.tables = tablesVersion(view);
    const auto *route = findRoute(view, query.host, query.path);
    if (route == nullptr) {
        const bool known = hasRoutes(view, query.completeTables);
        report.result = known ? report_result::no_route : report_result::no_tables;
        report.reason = known ? "no-route" : "no-tables-yet";
        return report;
    }
    report.route = route->name;
    report.host = route->host;
    report.prefix = route->prefix;
    report.pool = query.pool;
    auto targets = findEligible(view, {query.host, query.path, query.pool, query.key, route->regions}, now);
    report.keyed = targets.keyed;
    report.allowed = targets.allowed;
    report.slot = targets.slot;
    const auto *chosen = chooseEligible(targets, state, query.rules, query.tried, random, now);
    auto rules = query.rules;
    rules.location.reserved = targets.reserved;
    if (targets.owner) {
        report.hasOwner = true;
        report.fence = targets.owner->fence;
        report.ownersRevision = targets.owner->revision;
    }
    describeCandidates(report, {view, state, targets, query, rules, now}, chosen);
    if (chosen == nullptr) {
        const auto refused = refusalWithoutTarget(targets);
        report.reason = refused.reason;
        report.retryAfter = refused.retryAfter;
        return report;
    }
    report.result = report_result::chosen;
    if (query.rules.bySpeed && !targets.keyed) {
        report.expected = expectedCompletion(state, *chosen, now);
    }
    return report;
}

const char *nameOf(report_result result)
{
    switch (result) {
    case report_result::chosen:
        return "chosen";
    case report_result::no_route:
        return "no-route";
    case report_result::no_tables:
        return "no-tables-yet";
    default:
        return "refused";
    }
}

const char *nameOf(target_distance distance)
{
    switch (distance) {
    case target_distance::local:
        return "local";
    case target_distance::same_domain:
        return "domain";
    case target_distance::same_region:
        return "region";
    default:
        return "remote";
    }
}

} // namespace quetzalspool
