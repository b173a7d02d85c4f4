/** @file placement.cpp Capacity-weighted slot placement with few moves. */
#include "placement_func.h"

#include "drained_domains_func.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace quetzalspool {

namespace {

/** Number of slots of one member and its fair share. */
struct member_share
{
    instance_id id; ///< Member.
    double fair = 0; ///< Number of slots that it should own, by capacity; 0 if it must own none.
    std::size_t owned = 0; ///< Number of slots that it owns.
};

/** Shares of all members in one pool. */
struct member_shares
{
    std::vector<member_share> rows; ///< Shares in order of instance, so that every daemon makes the same choice.
    std::unordered_map<instance_id, std::size_t> rowOf; ///< Index into rows by instance.
};

/** Deficit of a member relative to its fair share; negative for members that must own no slots. */
double deficitOf(const member_share &row)
{
    return row.fair <= 0 ? -1.0 : 1.0 - static_cast<double>(row.owned) / row.fair;
}

member_shares countShares(const std::vector<cell_member> &members, const pool_id &pool,
                          const std::vector<slot_assignment> &slots, const drained_domains &drained)
{
    member_shares table;
    double weight = 0;
    for (const auto &member : members) {
        // A member that cannot receive slots must own none, but keeps those it has until it releases them.
        const double own = canReceiveSlots(member, pool, drained) ? std::max<std::uint32_t>(member.target.slots, 1) : 0;
        weight += own;
        table.rows.push_back({member.id, own, 0});
    }
    std::sort(table.rows.begin(), table.rows.end(), [](const auto &a, const auto &b) { return a.id < b.id; });
    for (std::size_t row = 0; row < table.rows.size(); ++row) {
        auto &entry = table.rows[row];
        entry.fair = weight > 0 ? entry.fair * static_cast<double>(slots.size()) / weight : 0;
        table.rowOf[entry.id] = row;
    }
    for (const auto &slot : slots) {
        const auto found = table.rowOf.find(slot.owner);
        if (found != table.rowOf.end()) {
            ++table.rows[found->second].owned;
        }
    }
    return table;
}

/** Finds the member with the largest relative deficit after one more slot; null if no member can own slots. */
member_share *largestDeficit(member_shares &table)
{
    member_share *best = nullptr;
    for (auto &row : table.rows) {
        if (row.fair > 0
            && (best == nullptr
                || static_cast<double>(row.owned + 1) / row.fair < static_cast<double>(best->owned + 1) / best->fair)) {
            best = &row;
        }
    }
    return best;
}

/** Number of slots above the fair share from which slots are moved away from a live owner. */
double thresholdOf(const placement_rules &rules, double fair)
{
    return rules.goal == placement_goal::churn ? std::max(2.0, fair * 0.25) : std::max(1.0, fair * 0.05);
}

} // namespace

bool canReceiveSlots(const cell_member &member, const pool_id &pool, const drained_domains &drained)
{
    return member.target.pool == pool && !member.leaving && !isDrained(drained, member.domain);
}

std::vector<slot_move> assignUnowned(const std::vector<cell_member> &members, const pool_id &pool,
                                     const std::vector<slot_assignment> &slots, const drained_domains &drained)
{
    auto table = countShares(members, pool, slots, drained);
    std::vector<slot_move> moves;
    for (const auto &slot : slots) {
        if (table.rowOf.contains(slot.owner)) {
            continue;
        }
        auto *recipient = largestDeficit(table);
        if (recipient == nullptr) {
            return {};
        }
        ++recipient->owned;
        moves.push_back({slot.slot, slot.owner, recipient->id});
    }
    return moves;
}

std::vector<slot_move> planRebalance(const std::vector<cell_member> &members, const pool_id &pool,
                                     const std::vector<slot_assignment> &slots, const placement_rules &rules,
                                     const drained_domains &drained)
{
    auto table = countShares(members, pool, slots, drained);
    std::vector<slot_move> moves;
    std::size_t voluntary = 0;
    for (const auto &slot : slots) {
        const auto found = table.rowOf.find(slot.owner);
        if (found == table.rowOf.end()) {
            continue;
        }
        auto &owner = table.rows[found->second];
        const bool leaving = owner.fair <= 0;
        const bool over = static_cast<double>(owner.owned) - owner.fair >= thresholdOf(rules, owner.fair);
        auto *recipient = largestDeficit(table);
        if (recipient == nullptr || recipient == &owner || (!leaving && (!over || voluntary >= rules.movesAtOnce))) {
            continue;
        }
        if (!leaving && deficitOf(*recipient) <= 0) {
            continue;
        }
        voluntary += leaving ? 0 : 1;
        --owner.owned;
        ++recipient->owned;
        moves.push_back({slot.slot, owner.id, recipient->id});
    }
    return moves;
}

std::vector<std::size_t> divideSlots(std::uint32_t slots, const std::vector<std::pair<cell_id, std::uint32_t>> &weights)
{
    std::uint64_t total = 0;
    for (const auto &entry : weights) {
        total += entry.second;
    }
    std::vector<std::size_t> cells;
    if (total == 0) {
        return cells;
    }
    std::uint64_t before = 0;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        before += weights[index].second;
        cells.resize(static_cast<std::size_t>(slots * before / total), index);
    }
    return cells;
}

double imbalanceOf(const std::vector<cell_member> &members, const pool_id &pool,
                   const std::vector<slot_assignment> &slots, const drained_domains &drained)
{
    double worst = 0;
    for (const auto &row : countShares(members, pool, slots, drained).rows) {
        if (row.fair > 0) {
            worst = std::max(worst, static_cast<double>(row.owned) / row.fair - 1.0);
        }
    }
    return worst;
}

} // namespace quetzalspool
