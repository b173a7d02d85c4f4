/** @file roster_cmd.cpp Event handlers of the roster: the own lease, other nodes, ownership and target reports. */
#include "roster_cold_func.h"
#include "roster_departure_func.h"
#include "roster_era_func.h"
#include "roster_func.h"
#include "slot_scope_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double watchReadShare = 0.03; ///< Share of the store's read capacity that watch calls may use.
constexpr milliseconds maxWatchPause{500}; ///< Upper limit, since every node must know of a change within one second.

constexpr milliseconds minGrantDuration{200}; ///< Shorter grants are not given.

bool overlaps(std::uint32_t first, std::uint32_t last, std::uint32_t otherFirst, std::uint32_t otherLast)
{
    return first <= otherLast && otherFirst <= last;
}

/** Whether a write that transfers any of these slots to another owner may still take effect. */
bool isWithheld(const roster_state &state, const pool_id &pool, const slot_range &range)
{
    const auto found = state.withheld.find(pool);
    return found != state.withheld.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const auto &pending) {
               return overlaps(range.first, range.last, pending.first, pending.last);
           });
}

/** Ranges of the current incarnation that no write may have transferred to another owner. */
std::vector<std::pair<pool_id, slot_range>> ownedRanges(const roster_state &state)
{
    std::vector<std::pair<pool_id, slot_range>> owned;
    const auto &target = state.target;
    if (target.incarnation.id.empty() || target.left) {
        return owned;
    }
    for (const auto &[pool, stored] : state.records) {
        if (pool != state.self.member.target.pool || state.lease.unreadOwners.contains(pool)) {
            continue;
        }
        for (const auto &range : stored.record.ranges) {
            if (range.owner == state.self.member.id && range.incarnation == target.incarnation
                && !isWithheld(state, pool, range) && isEntitled(state, pool, range)) {
                owned.emplace_back(pool, range);
            }
        }
    }
    return owned;
}

/** When all grants of a previous run of this daemon must have ended. */
steady_time previousRunGrantsEnd(const roster_state &state)
{
    return state.startedAt + state.timing.withDrift(state.timing.leasePeriod);
}

/**
 * Starts tracking a new incarnation of the target. The previous incarnation has ended, and its grants with it. A
 * previous run of this daemon may have granted slots to the new incarnation already, even if a delayed report of an
 * ended one arrived first.
 */
void beginIncarnation(roster_state &state, const target_report &report, steady_time now)
{
    auto &target = state.target;
    target = {};
    target.incarnation = report.incarnation;
    target.lastReportAt = now;
    target.grantsEndAt = previousRunGrantsEnd(state);
    target.left = hasDeparted(state, report.incarnation, now);
    target.leaving = target.left;
    state.dirty = true;
}

/** Records which ranges are no longer granted, and since which report. */
void recordRevocations(roster_state &state, const std::vector<std::pair<pool_id, slot_range>> &granted)
{
    auto &target = state.target;
    std::map<std::pair<pool_id, std::uint32_t>, std::uint64_t> revokedAt;
    for (const auto &[pool, stored] : state.records) {
        for (const auto &range : stored.record.ranges) {
            const bool own = range.owner == state.self.member.id && range.incarnation == target.incarnation;
            const bool kept = std::any_of(granted.begin(), granted.end(), [&](const auto &row) {
                return row.first == pool && row.second.first == range.first;
            });
            if (own && !kept) {
                const std::pair key(pool, range.first);
                const auto known = target.revokedAt.find(key);
                revokedAt[key] = known == target.revokedAt.end() ? target.sequence : known->second;
            }
        }
    }
    target.revokedAt = std::move(revokedAt);
}

/** Drops the handover tokens of slots that are not waiting to be moved to another owner. */
void dropStaleTokens(roster_state &state)
{
    auto &target = state.target;
    const auto record = state.records.find(state.self.member.target.pool);
    std::erase_if(target.releasedRanges, [&](const auto &released) {
        return record == state.records.end()
            || std::none_of(record->second.record.ranges.begin(), record->second.record.ranges.end(),
                            [&](const auto &range) {
                                return target.revokedAt.contains({record->first, range.first})
                                    && overlaps(range.first, range.last, released.first, released.last);
                            });
    });
}

/** Whether a daemon that lives would have replaced an entry that can't be read. */
bool isAbandoned(const roster_state &state, const known_node &seen, steady_time now)
{
    return seen.present && seen.unreadableSince != steady_time{}
    && now - seen.unreadableSince >= state.timing.leasePeriod;
}

/** Drops the entries of nodes that have been absent or unreadable for so long that they get no more work. */
void dropAbsentNodes(roster_state &state, steady_time now)
{
    for (auto &[id, seen] : state.nodes) {
        if (isAbandoned(state, seen, now)) {
            seen.present = false;
            seen.absentSince = steady_time{};
        }
        if (seen.node && !isUsable(state, seen, now)) {
            seen.node.reset();
            state.dirty = true;
        }
    }
}

void applyAnnouncement(roster_state &state, const target_report &report, steady_time now)
{
    auto &target = state.target;
    auto &self = state.self;
    const bool wasLeaving = self.member.leaving;
    target.leaving = target.leaving || report.leaving;
    target.coldUntil = now + report.coldFor;
    target.heldRanges = report.heldRanges;
    target.releasedRanges.insert(target.releasedRanges.end(), report.releasedRanges.begin(),
                                 report.releasedRanges.end());
    noteOwnColdness(state, report);
    self.member.target = report.announcement;
    self.member.leaving = target.leaving || target.left || state.stopping;
    self.targetIncarnation = report.incarnation;
    state.dirty = state.dirty || self.member.leaving != wasLeaving;
}

} // namespace

roster_state startRoster(roster_node self, const roster_timing &timing, steady_time now)
{
    roster_state state;
    state.timing = timing;
    state.self = std::move(self);
    state.startedAt = now;
    state.nodesChanged = now;
    state.target.grantsEndAt = previousRunGrantsEnd(state);
    return state;
}

roster_actions tick(roster_state &state, steady_time now)
{
    roster_actions actions;
    dropAbsentNodes(state, now);
    expireEntitlements(state, now);
    auto &lease = state.lease;
    if (!state.listed) {
        return actions;
    }
    if (!lease.entryCallPending) {
        const auto marker = ownMarker(state);
        if ((!lease.entryPresent || lease.writtenEntry != state.self) && now >= lease.nextEntryWrite) {
            lease.entryCallPending = true;
            actions.push_back(write_entry_action{state.self, marker, lease.entryPresent});
        } else if (now >= lease.nextConfirm && lease.writtenIn == state.era) {
            lease.entryCallPending = true;
            actions.push_back(confirm_entry_action{});
        }
    }
    if (lease.entryPresent && !lease.ownersKnown && !lease.ownersReadPending && now >= lease.nextOwnersRead) {
        lease.ownersReadPending = true;
        actions.push_back(read_owners_action{});
    }
    if (lease.entryPresent && now >= lease.nextRenewal) {
        lease.nextRenewal = now + (lease.renewsOften ? state.timing.fastEntryRenewal : state.timing.entryRenewal);
        actions.push_back(renew_lease_action{});
    }
    if (!state.ownersWritePending && now >= state.nextOwnersWrite && mayGrant(state, now)) {
        for (const auto &pool : state.keyedPools) {
            if (auto write = planOwnership(state, pool, now)) {
                state.ownersWritePending = true;
                actions.push_back(std::move(*write));
                break;
            }
        }
    }
    return actions;
}

milliseconds watchPause(std::size_t nodes, std::uint32_t readsPerSecond)
{
    const auto calls = watchReadShare * std::max<std::uint32_t>(readsPerSecond, 1);
    const milliseconds pause(std::llround(static_cast<double>(nodes) / calls * 1000));
    return std::min(pause, maxWatchPause);
}

void applyEntry(roster_state &state, const instance_id &id, std::optional<roster_node> entry, revision_number revision,
                steady_time now)
{
    auto &seen = state.nodes[id];
    if (entry) {
        noteEntryColdness(state, seen.node, *entry, now);
        if (!seen.present || seen.node != entry) {
            state.dirty = true;
            state.nodesChanged = now;
        }
        seen.node = std::move(entry);
        seen.present = true;
        seen.marker = std::max(seen.marker, revision);
        seen.unreadableSince = {};
        return;
    }
    seen.unreadableSince = {};
    if (seen.present || seen.absentSince == steady_time{}) {
        seen.present = false;
        seen.absentSince = now;
        state.dirty = true;
        state.nodesChanged = now;
    }
    if (id == state.self.member.id && state.lease.entryPresent) {
        expireEntry(state, now);
    }
}

bool applyUnreadableEntry(roster_state &state, const instance_id &id, revision_number revision, steady_time now)
{
    auto &seen = state.nodes[id];
    if (revision <= seen.marker || revision <= seen.unreadableRevision) {
        return false;
    }
    seen.unreadableRevision = revision;
    if (seen.unreadableSince == steady_time{}) {
        seen.unreadableSince = now;
    }
    if (!seen.present) {
        // Writes that reclaim its slots require that the entry is absent, which it is not.
        seen.absentSince = steady_time{};
    }
    return true;
}

void applyMarker(roster_state &state, const instance_id &id, revision_number revision)
{
    auto &seen = state.nodes[id];
    if (revision > seen.marker) {
        seen.marker = revision;
        if (!seen.present) {
            // It wrote an entry in the meantime, which may have entitled it to grant keys again.
            seen.absentSince = steady_time{};
        }
    }
}

void applyOwnership(roster_state &state, const stored_ownership &stored)
{
    auto &known = state.records[stored.record.pool];
    if (stored.revision <= known.revision) {
        return;
    }
    const bool sameEra = known.revision == revision_number{} || eraOf(known.revision) == eraOf(stored.revision);
    known = stored;
    const auto unreadable = state.unreadableOwners.find(stored.record.pool);
    if (unreadable != state.unreadableOwners.end() && unreadable->second < stored.revision) {
        state.unreadableOwners.erase(unreadable);
        state.lease.unreadOwners.erase(stored.record.pool);
    }
    const auto lost = state.lostOwners.find(stored.record.pool);
    if (lost != state.lostOwners.end() && isConfirmed(state, known)) {
        state.lostOwners.erase(lost);
    } else if (lost != state.lostOwners.end()) {
        restoreLostOwners(known.record, lost->second);
    }
    if (sameEra) {
        // Writes are conditional on the previous revision, so a pending one can no longer take effect. In a new era the
        // store may have that revision again.
        state.withheld.erase(stored.record.pool);
        state.unclearWrites.erase(stored.record.pool);
    }
    state.dirty = true;
}

bool applyUnreadableOwnership(roster_state &state, const pool_id &pool, revision_number revision)
{
    const auto known = state.records.find(pool);
    const auto unreadable = state.unreadableOwners.find(pool);
    if ((known != state.records.end() && revision <= known->second.revision)
        || (unreadable != state.unreadableOwners.end() && revision <= unreadable->second)) {
        return false;
    }
    state.unreadableOwners[pool] = revision;
    return true;
}

void completeEntryWrite(roster_state &state, const roster_node &entry, roster_outcome outcome, revision_number revision,
                        steady_time sentAt, steady_time now)
{
    auto &lease = state.lease;
    lease.entryCallPending = false;
    if (outcome != roster_outcome::stored) {
        if (outcome == roster_outcome::conflicted) {
            lease.entryPresent = false; // If the write required the entry to exist, it may be absent.
            lease.ownersKnown = false;
        }
        lease.nextEntryWrite = now + state.timing.retryInterval;
        return;
    }
    expireEntitlements(state, now);
    lease.entryPresentSince = lease.entryPresent ? lease.entryPresentSince : now;
    lease.entryPresent = true;
    lease.writtenEntry = entry;
    lease.writtenIn = state.era;
    lease.validUntil = std::max(lease.validUntil, sentAt + state.timing.leasePeriod);
    lease.nextConfirm = now + state.timing.confirmInterval;
    lease.nextRenewal = now + state.timing.entryRenewal;
    applyEntry(state, entry.member.id, entry, revision, now);
}

void completeEntryRead(roster_state &state, const std::optional<roster_node> &found, revision_number revision,
                       steady_time sentAt, steady_time now)
{
    auto &lease = state.lease;
    lease.entryCallPending = false;
    lease.nextConfirm = now + state.timing.confirmInterval;
    if (!found || found->member.incarnation != state.self.member.incarnation || lease.writtenIn != state.era) {
        expireEntry(state, now);
        return;
    }
    expireEntitlements(state, now);
    lease.entryPresentSince = lease.entryPresent ? lease.entryPresentSince : now;
    lease.entryPresent = true;
    lease.writtenEntry = *found;
    lease.validUntil = std::max(lease.validUntil, sentAt + state.timing.leasePeriod);
    applyEntry(state, state.self.member.id, found, revision, now);
}

void applyEntryVerification(roster_state &state, revision_number revision, steady_time verifiedAt)
{
    auto &lease = state.lease;
    const auto own = state.nodes.find(state.self.member.id);
    if (!lease.entryPresent || own == state.nodes.end() || revision != own->second.marker) {
        return; // The next own read clarifies it; until then the lease is not extended.
    }
    lease.validUntil = std::max(lease.validUntil, verifiedAt + state.timing.leasePeriod);
    // The own entry is read again after half the lease period without a newer verification.
    lease.nextConfirm = std::max(lease.nextConfirm, verifiedAt + state.timing.leasePeriod / 2);
}

void failEntryRead(roster_state &state, steady_time now)
{
    state.lease.entryCallPending = false;
    state.lease.nextConfirm = now + state.timing.retryInterval;
}

void expireEntry(roster_state &state, steady_time now)
{
    state.lease.entryPresent = false;
    state.lease.ownersKnown = false;
    state.lease.nextConfirm = std::min(state.lease.nextConfirm, now);
}

void completeOwnersRead(roster_state &state, bool answered, steady_time sentAt, steady_time now)
{
    auto &lease = state.lease;
    lease.ownersReadPending = false;
    lease.ownersKnown = answered && lease.entryPresent && sentAt >= lease.entryPresentSince;
    if (lease.ownersKnown) {
        lease.unreadOwners.clear();
        for (const auto &[pool, revision] : state.unreadableOwners) {
            lease.unreadOwners.insert(pool);
        }
    }
    lease.nextOwnersRead = answered ? now : now + state.timing.retryInterval;
}

bool mayGrant(const roster_state &state, steady_time now)
{
    const auto &lease = state.lease;
    return lease.entryPresent && lease.ownersKnown && now < lease.validUntil;
}

void completeOwnersWrite(roster_state &state, const ownership_record &record, roster_outcome outcome,
                         revision_number revision, steady_time now)
{
    state.ownersWritePending = false;
    if (outcome == roster_outcome::stored) {
        applyOwnership(state, {record, revision});
        return;
    }
    state.nextOwnersWrite = now + state.timing.retryInterval;
    if (outcome == roster_outcome::unclear) {
        state.unclearWrites.insert(record.pool);
    } else if (!state.unclearWrites.contains(record.pool)) {
        // The only write that transferred these ranges can no longer take effect.
        state.withheld.erase(record.pool);
        state.dirty = true;
    }
}

std::vector<std::pair<pool_id, slot_range>> grantableRanges(const roster_state &state)
{
    auto ranges = ownedRanges(state);
    std::erase_if(ranges, [](const auto &row) { return !row.second.nextOwner.value.empty(); });
    return ranges;
}

std::vector<std::pair<pool_id, slot_range>> grantedRanges(const roster_state &state)
{
    // Ranges that are to be moved are served until the answer to the next report omits them: the target holds them
    // until it reads that answer, and nobody else can serve them before.
    auto served = ownedRanges(state);
    std::erase_if(served, [&](const auto &row) {
        const auto &range = row.second;
        return std::none_of(state.target.granted.begin(), state.target.granted.end(), [&](const auto &granted) {
            return granted.fence == range.fence && granted.first <= range.first && range.last <= granted.last;
        });
    });
    return served;
}

std::vector<std::pair<pool_id, slot_range>> awaitedRanges(const roster_state &state, steady_time now)
{
    const auto &target = state.target;
    const bool unresponsive = now - target.lastReportAt >= state.timing.holdPeriod;
    if (state.stopping || target.leaving || unresponsive || !mayGrant(state, now) || mustLeaveDomain(state)) {
        return {};
    }
    return grantableRanges(state);
}

std::optional<target_grant> applyReport(roster_state &state, const target_report &report, steady_time now)
{
    auto &target = state.target;
    if (!target.incarnation.id.empty() && report.incarnation.startedUnixMs < target.incarnation.startedUnixMs) {
        return std::nullopt;
    }
    if (report.incarnation != target.incarnation) {
        if (!target.incarnation.id.empty() && report.incarnation.startedUnixMs == target.incarnation.startedUnixMs) {
            return std::nullopt; // Two incarnations with the same start time cannot be ordered.
        }
        beginIncarnation(state, report, now);
    } else if (report.sequence <= target.sequence) {
        return std::nullopt;
    }
    target.sequence = report.sequence;
    target.lastReportAt = now;
    applyAnnouncement(state, report, now);
    const auto &timing = state.timing;
    const auto remaining = std::chrono::duration_cast<milliseconds>(state.lease.validUntil - now);
    const auto duration = std::min(timing.holdPeriod, remaining * 100 / (100 + timing.driftPercent));
    if (!mayGrant(state, now) || duration < minGrantDuration || mustWaitForOwners(state)) {
        return std::nullopt;
    }
    target_grant grant;
    grant.duration = duration;
    // A draining target, or one in a drained domain, must release all slots, so that other targets can serve its keys.
    const bool releasesAll = target.leaving || mustLeaveDomain(state);
    const auto served = releasesAll ? std::vector<std::pair<pool_id, slot_range>>() : grantableRanges(state);
    recordRevocations(state, served);
    dropStaleTokens(state);
    for (const auto &row : served) {
        grant.ranges.push_back(row.second);
    }
    target.granted = grant.ranges;
    target.servesUntil = now + duration;
    if (!grant.ranges.empty()) {
        target.grantsEndAt = std::max(target.grantsEndAt, now + timing.withDrift(duration));
    }
    return grant;
}

bool applyLeavingNotice(roster_state &state)
{
    if (state.target.leaving || state.target.incarnation.id.empty()) {
        return false;
    }
    state.target.leaving = true;
    state.self.member.leaving = true;
    state.dirty = true;
    return true;
}

bool isUsable(const roster_state &state, const known_node &seen, steady_time now)
{
    return seen.node && (seen.present || now - seen.absentSince < state.timing.absentLimit);
}

bool isPlanner(const roster_state &state)
{
    for (const auto &[id, seen] : state.nodes) {
        if (seen.present && seen.node) {
            return id == state.self.member.id;
        }
    }
    return false;
}

} // namespace quetzalspool
