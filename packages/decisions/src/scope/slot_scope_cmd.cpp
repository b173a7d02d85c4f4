/** @file slot_scope_cmd.cpp Where the slots of a keyed pool may be placed, by region and by drained failure domain. */
#include "slot_scope_func.h"

#include "allowed_regions_func.h"
#include "drained_domains_func.h"
#include "roster_load_func.h"
#include "roster_window_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr double returnedRatio = 0.3; ///< Up to this ratio of load to fair share, a receiver gets slots in blocks.
constexpr double refilledRatio = 0.9; ///< Ratio up to which it gets them; rebalancing does the rest.

bool acceptsSlots(const roster_state &state, const known_node &seen, const pool_id &pool)
{
    const bool self = seen.node && seen.node->member.id == state.self.member.id;
    const auto &node = self ? state.self : *seen.node;
    return !node.targetIncarnation.id.empty() && node.member.target.pool == pool && !node.member.leaving;
}

/** Location of an owner; null if it is unknown. */
const cell_member *findMember(const roster_state &state, const instance_id &id)
{
    if (id == state.self.member.id) {
        return &state.self.member;
    }
    const auto seen = state.nodes.find(id);
    return seen == state.nodes.end() || !seen->second.node ? nullptr : &seen->second.node->member;
}

/** Receiver whose load is furthest below its fair share. */
candidate_load &largestDeficit(std::vector<candidate_load> &loads)
{
    return *std::max_element(loads.begin(), loads.end(),
                             [](const auto &a, const auto &b) { return a.fairShare - a.load < b.fairShare - b.load; });
}

/** Last slot of a range's part that lies in the same block as its first slot. */
std::uint32_t lastInBlock(const slot_range &range, std::uint32_t first)
{
    return std::min(range.last, first / slotsPerBlock * slotsPerBlock + slotsPerBlock - 1);
}

/** First block of a range without slots that are held; nothing if all of them are. */
std::optional<slot_window> findBlock(const slot_range &range, const held_slots &held)
{
    auto first = range.first;
    while (first <= range.last && isHeld(held, first)) {
        ++first;
    }
    if (first > range.last) {
        return std::nullopt;
    }
    auto last = first;
    while (last < lastInBlock(range, first) && !isHeld(held, last + 1)) {
        ++last;
    }
    return slot_window{first, last};
}

/** Marks a block of one owner's slots to be moved. Returns the block, or nothing if the owner has none. */
std::optional<slot_window> markBlock(ownership_record &record, const instance_id &owner, const instance_id &next,
                                     const held_slots &held)
{
    for (const auto &range : record.ranges) {
        const bool movable = range.owner == owner && range.nextOwner.value.empty();
        if (const auto block = movable ? findBlock(range, held) : std::nullopt) {
            markForMove(record, *block, next);
            return block;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<const roster_node *> acceptingNodes(const roster_state &state, const pool_id &pool)
{
    std::vector<const roster_node *> nodes;
    for (const auto &[id, seen] : state.nodes) {
        if (seen.present && seen.node && acceptsSlots(state, seen, pool)) {
            nodes.push_back(id == state.self.member.id ? &state.self : &*seen.node);
        }
    }
    return nodes;
}

std::vector<const roster_node *> receivingNodes(const roster_state &state, const pool_id &pool,
                                                const std::vector<const roster_node *> &accepting)
{
    auto receivers = accepting;
    const auto regions = state.regions.find(pool);
    std::erase_if(receivers, [&](const auto *node) {
        return isDrained(state.drained, node->member.domain)
            || (regions != state.regions.end() && !allowsRegion(regions->second, node->member.region));
    });
    return receivers;
}

bool mustLeaveDomain(const roster_state &state)
{
    const auto &self = state.self.member;
    return isDrained(state.drained, self.domain)
        && !receivingNodes(state, self.target.pool, acceptingNodes(state, self.target.pool)).empty();
}

bool planRegionMoves(const roster_state &state, ownership_record &record,
                     const std::vector<const roster_node *> &receivers)
{
    const auto regions = state.regions.find(record.pool);
    if (regions == state.regions.end() || receivers.empty()) {
        return false;
    }
    const auto observed = state.loads.find(record.pool);
    const auto *load = observed == state.loads.end() ? nullptr : &observed->second;
    auto loads = candidateLoads(record, receivers, load);
    std::vector<slot_range> planned;
    bool changed = false;
    for (const auto &range : record.ranges) {
        const auto *owner = findMember(state, range.owner);
        const bool outside = owner != nullptr && !allowsRegion(regions->second, owner->region);
        if (!outside || !range.nextOwner.value.empty() || isDrained(state.drained, owner->domain)) {
            planned.push_back(range);
            continue;
        }
        // Small parts, as for slots without owner: busy keys are close to each other.
        for (auto first = range.first; first <= range.last; first = planned.back().last + 1) {
            auto &receiver = largestDeficit(loads);
            auto part = range;
            part.first = first;
            part.last = lastInBlock(range, first);
            part.nextOwner = receiver.node->member.id;
            receiver.load += loadBetween(load, part.first, part.last);
            planned.push_back(part);
        }
        changed = true;
    }
    record.ranges = std::move(planned);
    return changed;
}

bool planReturnMoves(const roster_state &state, ownership_record &record,
                     const std::vector<const roster_node *> &receivers, const held_slots &held)
{
    if (state.drained.keyedLimit == milliseconds(0) || receivers.size() < 2) {
        return false;
    }
    const auto observed = state.loads.find(record.pool);
    const auto *load = observed == state.loads.end() ? nullptr : &observed->second;
    auto loads = candidateLoads(record, receivers, load);
    bool changed = false;
    for (auto &returned : loads) {
        if (returned.load > returned.fairShare * returnedRatio) {
            continue;
        }
        while (returned.load < returned.fairShare * refilledRatio) {
            auto &fullest = *std::max_element(loads.begin(), loads.end(), [](const auto &a, const auto &b) {
                return a.load - a.fairShare < b.load - b.fairShare;
            });
            const auto block = fullest.load > fullest.fairShare
                ? markBlock(record, fullest.node->member.id, returned.node->member.id, held)
                : std::nullopt;
            if (!block) {
                break;
            }
            const auto moved = loadBetween(load, block->first, block->last);
            fullest.load -= moved;
            returned.load += moved;
            changed = true;
        }
    }
    return changed;
}

} // namespace quetzalspool
