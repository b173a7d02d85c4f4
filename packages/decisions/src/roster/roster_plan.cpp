/** @file roster_plan.cpp Plans the next owners of a pool. Each step checks its conditions, then changes a draft. */
#include "hot_slot_func.h"
#include "roster_cold_func.h"
#include "roster_era_func.h"
#include "roster_func.h"
#include "roster_load_func.h"
#include "slot_scope_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace quetzalspool {

namespace {

constexpr milliseconds balanceInterval{500}; ///< Between two checks for a rebalance.

/** Draft of the next owners of a pool. */
struct ownership_draft
{
    ownership_record record; ///< Copy of the owners, to be changed.
    fence_number fence; ///< Fencing token of every assignment in this write.
    std::vector<slot_range> transferred; ///< Ranges that the local target loses by this write.
    std::vector<absent_node> absent; ///< Nodes that lose their ranges because they are absent.
    bool changed = false; ///< Whether the copy differs from the current owners.
};

const roster_node *findCandidate(const std::vector<const roster_node *> &candidates, const instance_id &id)
{
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const auto *candidate) { return candidate->member.id == id; });
    return found == candidates.end() ? nullptr : *found;
}

/** Handover token that the target provided when it released the slots. */
std::string handoverToken(const target_state &target, const slot_range &range)
{
    std::string token;
    for (const auto &released : target.releasedRanges) {
        if (released.first <= range.first && range.last <= released.last) {
            token = released.handover; // The latest release takes precedence.
        }
    }
    return token;
}

/** Whether the target has certainly stopped serving a range that is no longer granted. */
bool isReleased(const roster_state &state, const pool_id &pool, const slot_range &range, steady_time now)
{
    const auto &target = state.target;
    if (now >= target.grantsEndAt) {
        return true;
    }
    const auto revocation = target.revokedAt.find({pool, range.first});
    if (revocation == target.revokedAt.end() || target.sequence <= revocation->second) {
        return false;
    }
    return std::none_of(target.heldRanges.begin(), target.heldRanges.end(),
                        [&](const auto &held) { return held.first <= range.last && range.first <= held.last; });
}

void reassign(ownership_draft &draft, slot_range &range, const roster_node *node, std::string handover)
{
    range.owner = node == nullptr ? instance_id{} : node->member.id;
    range.incarnation = node == nullptr ? target_incarnation{} : node->targetIncarnation;
    range.fence = draft.fence;
    range.handover = std::move(handover);
    range.nextOwner = {};
    draft.changed = true;
}

/** Nodes that a plan may use. */
struct plan_nodes
{
    std::vector<const roster_node *> accepting; ///< Nodes whose target belongs to the pool and accepts slots.
    std::vector<const roster_node *> receivers; ///< Those of them that may receive slots.
};

/** Node that a new incarnation of the local target gets its slots as; null if other targets must receive them. */
const roster_node *findSuccessor(const roster_state &state, const plan_nodes &nodes)
{
    return findCandidate(nodes.receivers.empty() ? nodes.accepting : nodes.receivers, state.self.member.id);
}

/** Plans the ranges of the local target: a new incarnation takes over, or a released range goes to its next owner. */
void planOwnRanges(const roster_state &state, ownership_draft &draft, const plan_nodes &nodes, steady_time now)
{
    const auto &target = state.target;
    // Slots that no other target may receive stay: they are served as soon as one of these domains is in service again.
    const bool stays = nodes.receivers.empty() && !nodes.accepting.empty();
    const bool leavesDomain = mustLeaveDomain(state);
    const auto &pool = draft.record.pool;
    for (auto &range : draft.record.ranges) {
        if (range.owner != state.self.member.id || !isEntitled(state, pool, range)) {
            continue;
        }
        const bool otherIncarnation = !target.incarnation.id.empty() && range.incarnation != target.incarnation;
        if (otherIncarnation && range.incarnation.startedUnixMs < target.incarnation.startedUnixMs) {
            // The owning incarnation has ended, since a newer one has started at its address.
            reassign(draft, range, findSuccessor(state, nodes), "");
            continue;
        }
        // Other nodes must know that this target is leaving before they see it without slots, or they would assign it
        // some.
        const bool targetLeaving = (target.leaving || target.left) && state.lease.writtenEntry.member.leaving;
        if (stays && !targetLeaving) {
            draft.changed = draft.changed || !range.nextOwner.value.empty();
            range.nextOwner = {};
            continue;
        }
        const auto *next = range.nextOwner.value.empty() ? nullptr : findCandidate(nodes.receivers, range.nextOwner);
        const bool unresponsive = now - std::max(target.lastReportAt, state.startedAt) >= state.timing.holdPeriod;
        const bool mustRelease = !range.nextOwner.value.empty() || targetLeaving || leavesDomain;
        if ((unresponsive || mustRelease) && isReleased(state, pool, range, now)) {
            draft.transferred.push_back(range);
            reassign(draft, range, next, handoverToken(target, range));
        }
    }
}

/** Reclaims the ranges of nodes that have been absent for so long that all their grants must have ended. */
void reclaimAbsent(const roster_state &state, ownership_draft &draft, steady_time now)
{
    const auto grantsOverAfter = state.timing.withDrift(state.timing.leasePeriod);
    for (auto &range : draft.record.ranges) {
        if (range.owner.value.empty() || range.owner == state.self.member.id) {
            continue;
        }
        const auto seen = state.nodes.find(range.owner);
        if (seen == state.nodes.end() || seen->second.present || seen->second.absentSince == steady_time{}
            || now - seen->second.absentSince < grantsOverAfter || eraOf(seen->second.marker) != state.era) {
            continue;
        }
        const absent_node absent{range.owner, seen->second.marker};
        const bool listed = std::any_of(draft.absent.begin(), draft.absent.end(),
                                        [&](const auto &known) { return known.node == absent.node; });
        if (!listed && draft.absent.size() >= maxAbsentPerWrite) {
            continue; // The next write reclaims these.
        }
        if (!listed) {
            draft.absent.push_back(absent);
        }
        reassign(draft, range, nullptr, "");
    }
}

/** Adds the ranges that a write transfers to those that are not granted until its outcome is known. */
void withhold(std::vector<slot_range> &withheld, const std::vector<slot_range> &transferred)
{
    for (const auto &range : transferred) {
        if (std::find(withheld.begin(), withheld.end(), range) == withheld.end()) {
            withheld.push_back(range);
        }
    }
}

candidate_load *largestDeficit(std::vector<candidate_load> &loads)
{
    return &*std::max_element(loads.begin(), loads.end(),
                              [](const auto &a, const auto &b) { return a.fairShare - a.load < b.fairShare - b.load; });
}

/** Last slot of the shortest prefix of a range whose load covers a deficit; the whole range if none does. */
std::uint32_t lastSlotForLoad(const slot_range &range, const pool_load *load, double deficit)
{
    double sum = 0;
    for (auto slot = range.first; slot < range.last; ++slot) {
        sum += loadBetween(load, slot, slot);
        if (sum >= deficit) {
            return slot;
        }
    }
    return range.last;
}

/** Last slot of the block that contains a slot. */
std::uint32_t blockEnd(std::uint32_t slot)
{
    return (slot / slotsPerBlock + 1) * slotsPerBlock - 1;
}

/** Whether the first owners of a pool may be chosen: the set of nodes has not changed for the settle time. */
bool isSettled(const roster_state &state, steady_time now)
{
    return now - state.nodesChanged >= state.timing.settleTime;
}

/** Fencing token of the assignments in the next write; higher than all of lost eras. */
fence_number nextFence(const roster_state &state, const stored_ownership &stored)
{
    const auto base = std::max(stored.revision, revisionInEra(state.era, 0));
    return {static_cast<std::uint64_t>(base.value) + 1};
}

/** Whether the known owners assign any range to this daemon that it is not entitled to, or that the store has not. */
bool lacksOwnRanges(const roster_state &state, const ownership_record &record)
{
    return std::any_of(record.ranges.begin(), record.ranges.end(), [&](const auto &range) {
        return range.owner == state.self.member.id && !isEntitled(state, record.pool, range);
    });
}

/**
 * Plans the owners of a pool that are not confirmed in the era of the store. Until the grants of the lost era have
 * ended, they change only where this daemon hands over its own ranges, and by what it knows of the lost era.
 */
void planUnconfirmed(const roster_state &state, ownership_draft &draft, const plan_nodes &nodes, steady_time now)
{
    const auto &pool = draft.record.pool;
    const auto lost = state.lostOwners.find(pool);
    const bool isBehind = requiredRevision(state, state.records.at(pool)) == revision_number{}
        || (lost != state.lostOwners.end() && !lost->second.unwritten.empty());
    const bool isConcerned = isPlanner(state) || lacksOwnRanges(state, draft.record);
    planOwnRanges(state, draft, nodes, now);
    if (now >= state.lostGrantsEnd && isConcerned) {
        draft.record.era = state.era;
        draft.changed = true;
    }
    draft.changed = draft.changed || (isBehind && isConcerned);
}

} // namespace

void mergeRanges(ownership_record &record)
{
    std::vector<slot_range> merged;
    for (auto &range : record.ranges) {
        if (!merged.empty()) {
            auto &last = merged.back();
            auto same = range;
            same.first = last.first;
            same.last = last.last;
            if (same == last) {
                last.last = range.last;
                continue;
            }
        }
        merged.push_back(std::move(range));
    }
    record.ranges = std::move(merged);
}

const slot_range *findRange(const ownership_record &record, std::uint32_t slot)
{
    const auto after = std::upper_bound(record.ranges.begin(), record.ranges.end(), slot,
                                        [](std::uint32_t value, const auto &range) { return value < range.first; });
    return after == record.ranges.begin() ? nullptr : &*std::prev(after);
}

bool assignUnowned(ownership_record &record, const std::vector<const roster_node *> &candidates, const pool_load *load,
                   fence_number fence)
{
    if (candidates.empty()) {
        return false;
    }
    auto loads = candidateLoads(record, candidates, load);
    std::vector<slot_range> assigned;
    bool changed = false;
    for (auto range : record.ranges) {
        while (range.owner.value.empty()) {
            auto *recipient = largestDeficit(loads);
            auto part = range;
            part.last =
                std::min(lastSlotForLoad(range, load, recipient->fairShare - recipient->load), blockEnd(range.first));
            part.owner = recipient->node->member.id;
            part.incarnation = recipient->node->targetIncarnation;
            part.fence = fence;
            recipient->load += loadBetween(load, part.first, part.last);
            assigned.push_back(part);
            changed = true;
            if (part.last == range.last) {
                break;
            }
            range.first = part.last + 1;
        }
        if (!range.owner.value.empty()) {
            assigned.push_back(range);
        }
    }
    record.ranges = std::move(assigned);
    return changed;
}

namespace {

/** Plans the owners of a pool that are confirmed, or the first ones. Returns false if these can't be chosen yet. */
bool planConfirmed(roster_state &state, ownership_draft &draft, const plan_nodes &nodes, steady_time now)
{
    const bool isPlanning = isPlanner(state);
    draft.record.era = state.era;
    if (draft.record.ranges.empty()) {
        if (!isPlanning || nodes.receivers.empty() || !isSettled(state, now)) {
            return false;
        }
        draft.record.ranges.push_back({0, numericSlots - 1, {}, {}, {}, "", {}});
    }
    if (isPlanning) {
        recordMoves(state.recentMoves[draft.record.pool], draft.record, now);
    }
    refreshColdness(state, draft.record.pool, now);
    const auto observedLoad = state.loads.find(draft.record.pool);
    const auto *load = observedLoad == state.loads.end() ? nullptr : &observedLoad->second;
    planOwnRanges(state, draft, nodes, now);
    if (isPlanning) {
        reclaimAbsent(state, draft, now);
    }
    if (isPlanning || draft.changed) {
        draft.changed = assignUnowned(draft.record, nodes.receivers, load, draft.fence) || draft.changed;
    }
    if (isPlanning) {
        draft.changed = planRegionMoves(state, draft.record, nodes.receivers) || draft.changed;
    }
    const bool moving = std::any_of(draft.record.ranges.begin(), draft.record.ranges.end(),
                                    [](const auto &range) { return !range.nextOwner.value.empty(); });
    if (isPlanning && !draft.changed && !moving && now >= state.nextBalance) {
        state.nextBalance = now + balanceInterval;
        const auto plan = state.placesBySpeed ? planBySpeed : planRebalance;
        const auto held = findHeldSlots(state.recentMoves[draft.record.pool], now);
        draft.changed = planReturnMoves(state, draft.record, nodes.receivers, held)
            || plan(draft.record, nodes.receivers, load, held);
    }
    return true;
}

} // namespace

std::optional<write_owners_action> planOwnership(roster_state &state, const pool_id &pool, steady_time now)
{
    if (state.unreadableOwners.contains(pool)) {
        return std::nullopt;
    }
    const auto &stored = state.records[pool];
    auto accepting = acceptingNodes(state, pool);
    auto receivers = receivingNodes(state, pool, accepting);
    const plan_nodes nodes{std::move(accepting), std::move(receivers)};
    const bool isFirst = stored.record.ranges.empty();
    if (isFirst && state.lostEra && now < state.lostGrantsEnd) {
        return std::nullopt; // Owners of a lost era may hold keys.
    }
    ownership_draft draft{stored.record, nextFence(state, stored), {}, {}, false};
    draft.record.pool = pool;
    if (!isFirst && !isConfirmed(state, stored)) {
        planUnconfirmed(state, draft, nodes, now);
    } else if (!planConfirmed(state, draft, nodes, now)) {
        return std::nullopt;
    }
    // If an earlier write got no answer, write again even without changes: only one write on the condition of this
    // revision can succeed, so its result settles the earlier one too.
    if (!draft.changed && !state.unclearWrites.contains(pool)) {
        return std::nullopt;
    }
    mergeRanges(draft.record);
    withhold(state.withheld[pool], draft.transferred);
    return write_owners_action{std::move(draft.record), requiredRevision(state, stored), ownMarker(state),
                               std::move(draft.absent)};
}

} // namespace quetzalspool
