/**
 * @file roster_era.cpp Owners of keys after the store came back from an older copy.
 *
 * The copy may name owners that lost their keys in the era that the store forgot, while the grants of that era are
 * still valid. Until all of them must have ended, a target gets a grant only for ranges that it was entitled to hold
 * without a break, or that such an owner has released to it. Whoever knows newer owners than the store writes them
 * again. When the grants of the lost era have ended, the owners are confirmed, and hold as before.
 */
#include "roster_era_func.h"

#include "roster_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr milliseconds entryInterval{10}; ///< Between the entries that two daemons write in a new era.
constexpr milliseconds maxEntryDelay{2000}; ///< Longest wait for it; the rights of the lost era last longer.

/**
 * Time that this daemon waits before it writes its entry in a new era. All lose theirs at the same moment, and together
 * they would exceed the rate that the store allows.
 */
milliseconds entryDelay(const roster_state &state)
{
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(state.nodes.size(), 1));
    const auto rank = std::distance(state.nodes.begin(), state.nodes.lower_bound(state.self.member.id));
    return std::min(entryInterval * count, maxEntryDelay) * rank / count;
}

bool contains(const slot_range &outer, const slot_range &inner)
{
    return outer.first <= inner.first && inner.last <= outer.last;
}

bool overlaps(const slot_range &a, const slot_range &b)
{
    return a.first <= b.last && b.first <= a.last;
}

bool wasEntitled(const lost_ownership &lost, const slot_range &range)
{
    return std::any_of(lost.entitled.begin(), lost.entitled.end(), [&](const auto &entitled) {
        return entitled.fence == range.fence && contains(entitled, range);
    });
}

/** Ranges of a pool that the local target may hold when an era ends. */
std::vector<slot_range> entitledRanges(const roster_state &state, const pool_id &pool, steady_time now)
{
    std::vector<slot_range> entitled;
    if (mayGrant(state, now)) {
        for (const auto &[of, range] : grantableRanges(state)) {
            if (of == pool) {
                entitled.push_back(range);
            }
        }
        return entitled;
    }
    // The era before may have ended before it was clear what this daemon may grant in it.
    const auto lost = state.lostOwners.find(pool);
    return lost == state.lostOwners.end() || now >= state.lease.validUntil ? entitled : lost->second.entitled;
}

} // namespace

bool beginEra(roster_state &state, era_number era, steady_time now)
{
    if (era <= state.era) {
        return false;
    }
    std::map<pool_id, lost_ownership> lostOwners;
    for (const auto &[pool, stored] : state.records) {
        if (!stored.record.ranges.empty()) {
            lostOwners[pool] = {stored.record, entitledRanges(state, pool, now), {}};
        }
    }
    state.lostOwners = std::move(lostOwners);
    state.lostEra = state.lostEra || state.listed;
    state.lostGrantsEnd = now + state.timing.withDrift(state.timing.leasePeriod);
    state.era = era;
    for (auto &[id, seen] : state.nodes) {
        // It may have been present in what the store lost.
        const bool knownAbsent = !seen.present && seen.absentSince != steady_time{};
        seen.absentSince = knownAbsent ? now : seen.absentSince;
        seen.unreadableRevision = {};
    }
    expireEntry(state, now);
    state.lease.nextEntryWrite = now + entryDelay(state);
    state.dirty = true;
    return true;
}

bool isConfirmed(const roster_state &state, const stored_ownership &stored)
{
    return eraOf(stored.revision) == state.era && stored.record.era == state.era;
}

bool isEntitled(const roster_state &state, const pool_id &pool, const slot_range &range)
{
    const auto stored = state.records.find(pool);
    if (stored == state.records.end() || eraOf(stored->second.revision) != state.era) {
        return false;
    }
    if (isConfirmed(state, stored->second) || eraOf(range.fence) == state.era) {
        return true;
    }
    const auto lost = state.lostOwners.find(pool);
    if (lost == state.lostOwners.end() || !wasEntitled(lost->second, range)) {
        return false;
    }
    const auto &unwritten = lost->second.unwritten;
    return std::none_of(unwritten.begin(), unwritten.end(), [&](const auto &newer) { return overlaps(newer, range); });
}

bool mustWaitForOwners(const roster_state &state)
{
    bool ownsAny = false;
    bool mayHoldAny = false;
    for (const auto &[pool, stored] : state.records) {
        if (pool != state.self.member.target.pool || isConfirmed(state, stored)) {
            continue;
        }
        const auto lost = state.lostOwners.find(pool);
        for (const auto &range : stored.record.ranges) {
            if (range.owner != state.self.member.id) {
                continue;
            }
            const bool entitled = isEntitled(state, pool, range);
            if (!entitled && lost != state.lostOwners.end() && wasEntitled(lost->second, range)) {
                return true;
            }
            ownsAny = true;
            mayHoldAny = mayHoldAny || entitled;
        }
    }
    return ownsAny && !mayHoldAny;
}

revision_number ownMarker(const roster_state &state)
{
    const auto own = state.nodes.find(state.self.member.id);
    const bool known = own != state.nodes.end() && eraOf(own->second.marker) == state.era;
    return known ? own->second.marker : revision_number{};
}

revision_number requiredRevision(const roster_state &state, const stored_ownership &stored)
{
    return eraOf(stored.revision) == state.era ? stored.revision : revision_number{};
}

void restoreLostOwners(ownership_record &stored, lost_ownership &lost)
{
    std::vector<slot_range> merged;
    lost.unwritten.clear();
    auto older = stored.ranges.begin();
    auto newer = lost.record.ranges.begin();
    while (older != stored.ranges.end() && newer != lost.record.ranges.end()) {
        const bool isBehind = newer->fence > older->fence;
        auto part = isBehind ? *newer : *older;
        part.first = std::max(older->first, newer->first);
        part.last = std::min(older->last, newer->last);
        merged.push_back(part);
        if (isBehind) {
            lost.unwritten.push_back(part);
        }
        const auto last = part.last;
        older += older->last == last ? 1 : 0;
        newer += newer->last == last ? 1 : 0;
    }
    stored.ranges = std::move(merged);
    mergeRanges(stored);
}

void expireEntitlements(roster_state &state, steady_time now)
{
    if (now < state.lease.validUntil) {
        return;
    }
    for (auto &[pool, lost] : state.lostOwners) {
        lost.entitled.clear();
    }
}

} // namespace quetzalspool
