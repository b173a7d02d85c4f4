/** @file placement.cpp Capacity-weighted placement with few moves. */
#include "placement_func.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace quetzalspool {

namespace {

/** One member's count of slots against its fair share. */
struct member_share
{
    instance_id id; ///< Member.
    double fair = 0; ///< Slots it should own; 0 if it must own none.
    std::size_t owned = 0; ///< Slots it owns.
};

/** Shares of all members of a pool, found by owner. */
struct member_shares
{
    std::vector<member_share> rows; ///< Members of the pool, by id, so that every daemon chooses alike.
    std::unordered_map<instance_id, std::size_t> rowOf; ///< Index by owner.
};

/** Lack of a member relative to its fair share; members that must own nothing lack nothing. */
double deficitOf(const member_share &row)
{
    return row.fair <= 0 ? -1.0 : 1.0 - static_cast<double>(row.owned) / row.fair;
}

member_shares countShares(const std::vector<cell_member> &members, const pool_id &pool,
                          const std::vector<slot_assignment> &slots)
{
    member_shares table;
    double weight = 0;
    for (const auto &member : members) {
        // A member without a target of the pool must own nothing, but what it owns is its own until it gives it back.
        const bool eligible = member.target.pool == pool && !member.leaving;
        const double own = eligible ? std::max<std::uint32_t>(member.target.slots, 1) : 0;
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

/** The member with the greatest relative lack after taking one more slot, or null if none can own slots. */
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

/** Slots above the fair share at which a living owner gives one up. */
double thresholdOf(const placement_rules &rules, double fair)
{
    return rules.aim == placement_aim::churn ? std::max(2.0, fair * 0.25) : std::max(1.0, fair * 0.05);
}

} // namespace

std::vector<slot_move> assignUnowned(const std::vector<cell_member> &members, const pool_id &pool,
                                     const std::vector<slot_assignment> &slots)
{
    auto table = countShares(members, pool, slots);
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
                                     const std::vector<slot_assignment> &slots, const placement_rules &rules)
{
    auto table = countShares(members, pool, slots);
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
                   const std::vector<slot_assignment> &slots)
{
    double worst = 0;
    for (const auto &row : countShares(members, pool, slots).rows) {
        if (row.fair > 0) {
            worst = std::max(worst, static_cast<double>(row.owned) / row.fair - 1.0);
        }
    }
    return worst;
}

} // namespace quetzalspool
