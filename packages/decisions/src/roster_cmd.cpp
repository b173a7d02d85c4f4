/** @file roster_cmd.cpp Events of the roster: the own lease, other nodes, reports of the target. */
#include "roster_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double watchShare = 0.03; ///< Part of the store's reading calls that go into following changes.
constexpr milliseconds longestPause{500}; ///< A change must be known everywhere well within a second.

constexpr milliseconds leastHold{200}; ///< A shorter hold would end before the next report renews it.

bool overlaps(std::uint32_t first, std::uint32_t last, std::uint32_t otherFirst, std::uint32_t otherLast)
{
    return first <= otherLast && otherFirst <= last;
}

/** Whether a write that gives these slots away may still be stored. */
bool isWithheld(const roster_state &state, const pool_id &pool, const key_run &run)
{
    const auto found = state.withheld.find(pool);
    return found != state.withheld.end() && std::any_of(found->second.begin(), found->second.end(), [&](const auto &w) {
               return overlaps(run.first, run.last, w.first, w.last);
           });
}

/** When all that an earlier run of this daemon may have granted is over. */
steady_time earlierGrantsEnd(const roster_state &state)
{
    return state.startedAt + state.timing.withDrift(state.timing.leasePeriod);
}

/**
 * Starts to follow a new life of the target. The life before has ended, and its holds with it. An earlier run of this
 * daemon may have granted slots to this very life, even if a late report of a dead one came first.
 */
void followLife(roster_state &state, const target_report &report, steady_time now)
{
    auto &target = state.target;
    target = {};
    target.life = report.life;
    target.heardAt = now;
    target.holdsUntil = earlierGrantsEnd(state);
    state.dirty = true;
}

/** Notes which runs are not granted any more, and since which report. */
void noteLeftOut(roster_state &state, const std::vector<std::pair<pool_id, key_run>> &granted)
{
    auto &target = state.target;
    std::map<std::pair<pool_id, std::uint32_t>, std::uint64_t> leftOut;
    for (const auto &[pool, stored] : state.records) {
        for (const auto &run : stored.record.runs) {
            const bool own = run.owner == state.self.member.id && run.life == target.life;
            const bool kept = std::any_of(granted.begin(), granted.end(), [&](const auto &row) {
                return row.first == pool && row.second.first == run.first;
            });
            if (own && !kept) {
                const std::pair key(pool, run.first);
                const auto known = target.leftOut.find(key);
                leftOut[key] = known == target.leftOut.end() ? target.sequence : known->second;
            }
        }
    }
    target.leftOut = std::move(leftOut);
}

/** Keeps the tokens of slots that wait to be handed on, and forgets the others. */
void forgetTokens(roster_state &state)
{
    auto &target = state.target;
    const auto record = state.records.find(state.self.member.target.pool);
    std::erase_if(target.freed, [&](const auto &freed) {
        return record == state.records.end()
            || std::none_of(record->second.record.runs.begin(), record->second.record.runs.end(), [&](const auto &run) {
                   return target.leftOut.contains({record->first, run.first})
                       && overlaps(run.first, run.last, freed.first, freed.last);
               });
    });
}

/** Forgets the facts of nodes that have been missing for so long that they get no more work. */
void forgetMissing(roster_state &state, steady_time now)
{
    for (auto &[id, seen] : state.nodes) {
        if (seen.node && !isUsable(state, seen, now)) {
            seen.node.reset();
            state.dirty = true;
        }
    }
}

void takeFacts(roster_state &state, const target_report &report, steady_time now)
{
    auto &target = state.target;
    auto &self = state.self;
    const bool wasLeaving = self.member.leaving;
    target.leaving = target.leaving || report.leaving;
    target.coldUntil = now + report.coldFor;
    target.holds = report.holds;
    target.freed.insert(target.freed.end(), report.freed.begin(), report.freed.end());
    self.member.target = report.facts;
    self.member.leaving = target.leaving || target.gone || state.stopping;
    self.life = report.life;
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
    state.target.holdsUntil = earlierGrantsEnd(state);
    return state;
}

roster_actions tick(roster_state &state, steady_time now)
{
    roster_actions actions;
    forgetMissing(state, now);
    auto &lease = state.lease;
    if (!state.listed) {
        return actions;
    }
    if (!lease.busy) {
        const auto own = state.nodes.find(state.self.member.id);
        const auto marker = own == state.nodes.end() ? revision_number{} : own->second.marker;
        if ((!lease.entered || lease.written != state.self) && now >= lease.nextEntry) {
            lease.busy = true;
            actions.push_back(enter_action{state.self, marker, lease.entered});
        } else if (now >= lease.nextConfirm) {
            lease.busy = true;
            actions.push_back(confirm_action{});
        }
    }
    if (lease.entered && !lease.ownersKnown && !lease.reading && now >= lease.nextRead) {
        lease.reading = true;
        actions.push_back(read_owners_action{});
    }
    if (lease.entered && now >= lease.nextRenewal) {
        lease.nextRenewal = now + (lease.renewsOften ? state.timing.quickRenewal : state.timing.entryRenewal);
        actions.push_back(renew_action{});
    }
    if (!state.writing && now >= state.nextWrite && mayGrant(state, now)) {
        for (const auto &pool : state.keyedPools) {
            if (auto write = planRuns(state, pool, now)) {
                state.writing = true;
                actions.push_back(std::move(*write));
                break;
            }
        }
    }
    return actions;
}

milliseconds watchPause(std::size_t nodes, std::uint32_t readsPerSecond)
{
    const auto calls = watchShare * std::max<std::uint32_t>(readsPerSecond, 1);
    const milliseconds pause(std::llround(static_cast<double>(nodes) / calls * 1000));
    return std::min(pause, longestPause);
}

void takeEntry(roster_state &state, const instance_id &id, std::optional<roster_node> entry, revision_number revision,
               steady_time now)
{
    auto &seen = state.nodes[id];
    if (entry) {
        if (!seen.present || seen.node != entry) {
            state.dirty = true;
            state.nodesChanged = now;
        }
        seen.node = std::move(entry);
        seen.present = true;
        seen.marker = std::max(seen.marker, revision);
        return;
    }
    if (seen.present || seen.absentSince == steady_time{}) {
        seen.present = false;
        seen.absentSince = now;
        state.dirty = true;
        state.nodesChanged = now;
    }
    if (id == state.self.member.id && state.lease.entered) {
        takeLapsed(state, now);
    }
}

void takeMarker(roster_state &state, const instance_id &id, revision_number revision)
{
    auto &seen = state.nodes[id];
    if (revision > seen.marker) {
        seen.marker = revision;
        if (!seen.present) {
            // It wrote an entry in between, which may have given it a right to grant.
            seen.absentSince = steady_time{};
        }
    }
}

void takeRuns(roster_state &state, const stored_runs &stored)
{
    auto &known = state.records[stored.record.pool];
    if (stored.revision <= known.revision) {
        return;
    }
    known = stored;
    // Writes were conditional on the revision before, so none that is still under way can take effect.
    state.withheld.erase(stored.record.pool);
    state.unclearWrites.erase(stored.record.pool);
    state.dirty = true;
}

void takeEntered(roster_state &state, const roster_node &entry, roster_outcome outcome, revision_number revision,
                 steady_time sentAt, steady_time now)
{
    auto &lease = state.lease;
    lease.busy = false;
    if (outcome != roster_outcome::stored) {
        if (outcome == roster_outcome::conflicted) {
            lease.entered = false; // If the entry was to be there still, it may be missing.
            lease.ownersKnown = false;
        }
        lease.nextEntry = now + state.timing.retryInterval;
        return;
    }
    lease.enteredAt = lease.entered ? lease.enteredAt : now;
    lease.entered = true;
    lease.written = entry;
    lease.validUntil = std::max(lease.validUntil, sentAt + state.timing.leasePeriod);
    lease.nextConfirm = now + state.timing.confirmInterval;
    lease.nextRenewal = now + state.timing.entryRenewal;
    takeEntry(state, entry.member.id, entry, revision, now);
}

void takeConfirmed(roster_state &state, const std::optional<roster_node> &found, revision_number revision,
                   steady_time sentAt, steady_time now)
{
    auto &lease = state.lease;
    lease.busy = false;
    lease.nextConfirm = now + state.timing.confirmInterval;
    if (!found || found->member.incarnation != state.self.member.incarnation) {
        takeLapsed(state, now);
        return;
    }
    lease.enteredAt = lease.entered ? lease.enteredAt : now;
    lease.entered = true;
    lease.written = *found;
    lease.validUntil = std::max(lease.validUntil, sentAt + state.timing.leasePeriod);
    takeEntry(state, state.self.member.id, found, revision, now);
}

void takeVerified(roster_state &state, revision_number revision, steady_time verifiedAt)
{
    auto &lease = state.lease;
    const auto own = state.nodes.find(state.self.member.id);
    if (!lease.entered || own == state.nodes.end() || revision != own->second.marker) {
        return; // An own read finds out; until then the right runs down.
    }
    lease.validUntil = std::max(lease.validUntil, verifiedAt + state.timing.leasePeriod);
    // The owner reads its entry itself once half of the right has passed without a later word.
    lease.nextConfirm = std::max(lease.nextConfirm, verifiedAt + state.timing.leasePeriod / 2);
}

void takeUnconfirmed(roster_state &state, steady_time now)
{
    state.lease.busy = false;
    state.lease.nextConfirm = now + state.timing.retryInterval;
}

void takeLapsed(roster_state &state, steady_time now)
{
    state.lease.entered = false;
    state.lease.ownersKnown = false;
    state.lease.nextConfirm = std::min(state.lease.nextConfirm, now);
}

void takeOwnersRead(roster_state &state, bool answered, steady_time sentAt, steady_time now)
{
    auto &lease = state.lease;
    lease.reading = false;
    lease.ownersKnown = answered && lease.entered && sentAt >= lease.enteredAt;
    lease.nextRead = answered ? now : now + state.timing.retryInterval;
}

bool mayGrant(const roster_state &state, steady_time now)
{
    const auto &lease = state.lease;
    return lease.entered && lease.ownersKnown && now < lease.validUntil;
}

void takeAssigned(roster_state &state, const run_record &record, roster_outcome outcome, revision_number revision,
                  steady_time now)
{
    state.writing = false;
    if (outcome == roster_outcome::stored) {
        takeRuns(state, {record, revision});
        return;
    }
    state.nextWrite = now + state.timing.retryInterval;
    if (outcome == roster_outcome::unclear) {
        state.unclearWrites.insert(record.pool);
    } else if (!state.unclearWrites.contains(record.pool)) {
        // The only write that gave these runs away can't take effect any more.
        state.withheld.erase(record.pool);
        state.dirty = true;
    }
}

std::vector<std::pair<pool_id, key_run>> servedRuns(const roster_state &state)
{
    std::vector<std::pair<pool_id, key_run>> served;
    const auto &target = state.target;
    if (target.life.id.empty() || target.gone) {
        return served;
    }
    for (const auto &[pool, stored] : state.records) {
        if (pool != state.self.member.target.pool) {
            continue;
        }
        for (const auto &run : stored.record.runs) {
            if (run.owner == state.self.member.id && run.life == target.life && run.next.value.empty()
                && !isWithheld(state, pool, run)) {
                served.emplace_back(pool, run);
            }
        }
    }
    return served;
}

std::vector<std::pair<pool_id, key_run>> grantedRuns(const roster_state &state)
{
    auto served = servedRuns(state);
    std::erase_if(served, [&](const auto &row) {
        const auto &run = row.second;
        return std::none_of(state.target.granted.begin(), state.target.granted.end(), [&](const auto &granted) {
            return granted.fence == run.fence && granted.first <= run.first && run.last <= granted.last;
        });
    });
    return served;
}

std::optional<target_grant> takeReport(roster_state &state, const target_report &report, steady_time now)
{
    auto &target = state.target;
    if (!target.life.id.empty() && report.life.born < target.life.born) {
        return std::nullopt;
    }
    if (report.life != target.life) {
        if (!target.life.id.empty() && report.life.born == target.life.born) {
            return std::nullopt; // Two names with one start can't be put in order.
        }
        followLife(state, report, now);
    } else if (report.sequence <= target.sequence) {
        return std::nullopt;
    }
    target.sequence = report.sequence;
    target.heardAt = now;
    takeFacts(state, report, now);
    const auto &timing = state.timing;
    const auto right = std::chrono::duration_cast<milliseconds>(state.lease.validUntil - now);
    const auto hold = std::min(timing.holdPeriod, right * 100 / (100 + timing.driftPercent));
    if (!mayGrant(state, now) || hold < leastHold) {
        return std::nullopt;
    }
    target_grant grant;
    grant.hold = hold;
    // A target that wants no new work gives everything back, so that others can serve its keys.
    const auto served = target.leaving ? std::vector<std::pair<pool_id, key_run>>() : servedRuns(state);
    noteLeftOut(state, served);
    forgetTokens(state);
    for (const auto &row : served) {
        grant.runs.push_back(row.second);
    }
    target.granted = grant.runs;
    target.servesUntil = now + hold;
    if (!grant.runs.empty()) {
        target.holdsUntil = std::max(target.holdsUntil, now + timing.withDrift(hold));
    }
    return grant;
}

bool takeLeave(roster_state &state, const std::string &id, steady_time now)
{
    if (state.target.life.id != id) {
        return false;
    }
    state.target.leaving = true;
    state.target.gone = true;
    state.self.member.leaving = true;
    state.dirty = true;
    state.nextWrite = std::max(state.nextWrite, now);
    return true;
}

bool isUsable(const roster_state &state, const seen_node &seen, steady_time now)
{
    return seen.node && (seen.present || now - seen.absentSince < state.timing.absentLimit);
}

bool plansForAll(const roster_state &state)
{
    for (const auto &[id, seen] : state.nodes) {
        if (seen.present && seen.node) {
            return id == state.self.member.id;
        }
    }
    return false;
}

} // namespace quetzalspool
