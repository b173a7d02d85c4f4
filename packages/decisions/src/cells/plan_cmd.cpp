/** @file plan_cmd.cpp Planning of the next record of a cell. Each step changes a copy only if a change is needed. */
#include "cell_func.h"
#include "placement_func.h"
#include "reassign_func.h"
#include "record_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr milliseconds membershipSettleTime{700}; ///< Time without a change of members before slots and voters follow.
constexpr milliseconds voterChangeInterval{1500}; ///< Minimum time between two changes of the set of voters.

/** A record that is being changed. */
struct record_draft
{
    cell_record record; ///< Copy of the present record, with the changes.
    fence_number fence; ///< Fence of every assignment that this write makes.
    bool changed = false; ///< Whether it differs from the present record.
};

bool isMembershipStable(const cell_state &state, steady_time now)
{
    return now - state.coordinator.membersChanged >= membershipSettleTime;
}

/**
 * Assigns new fences to the slots of a new run. The previous run may have released some of them without this run
 * knowing it; the new fences prevent a coordinator that received the release from assigning those slots to another
 * owner.
 */
void refenceOwnSlots(const cell_state &state, record_draft &draft)
{
    for (auto &[pool, slots] : draft.record.pools) {
        for (auto &slot : slots) {
            if (slot.owner == state.self.id) {
                slot.fence = draft.fence;
            }
        }
    }
}

/** Adds the entry of this run, or updates it. */
void planOwnMembership(const cell_state &state, record_draft &draft)
{
    auto &record = draft.record;
    auto *listed = findMember(record, state.self.id);
    const bool newRun = listed == nullptr || listed->incarnation != state.self.incarnation;
    // At the same address the previous run must have ended. At another it may be alive, and its terms must end first.
    const bool elsewhere = newRun && listed != nullptr && listed->endpoints != state.self.endpoints;
    if (elsewhere || (newRun && state.self.leaving)) {
        return;
    }
    const bool needsTerm = newRun || listed->term <= state.lease.highestRefusedTerm;
    if (!needsTerm && listed->target == state.self.target && listed->leaving == state.self.leaving
        && listed->endpoints == state.self.endpoints) {
        return;
    }
    draft.changed = true;
    if (newRun) {
        refenceOwnSlots(state, draft);
        for (auto *voters : {&record.voters, &record.previousVoters}) {
            if (auto *voter = findVoter(*voters, state.self.id)) {
                voter->incarnation = state.self.incarnation;
                voter->admitted = record.nextNumber++;
            }
        }
    }
    const auto term = needsTerm ? term_number{record.nextNumber++} : listed->term;
    if (listed == nullptr) {
        const auto at = std::find_if(record.members.begin(), record.members.end(),
                                     [&](const auto &member) { return member.id > state.self.id; });
        listed = &*record.members.insert(at, state.self);
    }
    *listed = state.self;
    listed->term = term;
}

/** Makes this run the only voter of a cell that has no voters yet. */
void planFirstVoter(const cell_state &state, record_draft &draft)
{
    if (!draft.record.voters.empty() || state.self.leaving) {
        return;
    }
    // A voter makes promises only for terms with a greater number than its admission, so the admission comes first.
    const auto admitted = draft.record.nextNumber++;
    draft.record.voters.push_back({state.self.id,
                                   state.self.incarnation,
                                   admitted,
                                   state.self.domain,
                                   {state.self.endpoints.host, state.self.endpoints.peers}});
    if (auto *listed = findMember(draft.record, state.self.id)) {
        listed->term.value = draft.record.nextNumber++;
    }
    draft.changed = true;
}

void planRemovals(const cell_state &state, record_draft &draft, steady_time now)
{
    for (const auto &id : endedMembers(state, now)) {
        std::erase_if(draft.record.members, [&](const auto &member) { return member.id == id; });
        draft.changed = true;
    }
    std::erase_if(draft.record.members, [&](const auto &member) {
        if (!member.leaving || findVoter(draft.record.voters, member.id) != nullptr
            || findVoter(draft.record.previousVoters, member.id) != nullptr) {
            return false;
        }
        const auto &pools = draft.record.pools;
        const bool owns = std::any_of(pools.begin(), pools.end(), [&](const auto &pool) {
            return std::any_of(pool.second.begin(), pool.second.end(),
                               [&](const auto &slot) { return slot.owner == member.id; });
        });
        draft.changed = draft.changed || !owns;
        return !owns;
    });
}

/** Adds the slots of pools that the tables assign to this cell and that are not in the record yet. */
void planNewSlots(const cell_state &state, record_draft &draft, steady_time now)
{
    if (!isMembershipStable(state, now)) {
        return;
    }
    for (const auto &[pool, plan] : state.plans) {
        auto &slots = draft.record.pools[pool];
        if (slots.empty() && !plan.slots.empty()) {
            for (const auto &number : plan.slots) {
                slots.push_back({number, {}, {}});
            }
            draft.changed = true;
        }
    }
}

void assign(record_draft &draft, std::vector<slot_assignment> &slots, slot_number number, const instance_id &owner)
{
    const auto row = std::find_if(slots.begin(), slots.end(), [&](const auto &slot) { return slot.slot == number; });
    row->owner = owner;
    row->fence = draft.fence;
    draft.changed = true;
}

/**
 * Owner of a slot that was released: the planned one if it can still receive slots, else any other member that can
 * (empty; assigned in the same write). If a drain leaves none, the slot returns to its owner, which serves it at once
 * when the domain is back in service.
 */
instance_id ownerAfterRelease(const cell_state &state, const cell_record &record, const pool_id &pool,
                              const slot_release &release)
{
    const auto *recipient = findMember(record, release.to);
    if (recipient != nullptr && canReceiveSlots(*recipient, pool, state.drained)) {
        return recipient->id;
    }
    const auto *owner = findMember(record, release.from);
    const bool returns = owner != nullptr && canReceiveSlots(*owner, pool, {})
        && std::none_of(record.members.begin(), record.members.end(),
                        [&](const auto &member) { return canReceiveSlots(member, pool, state.drained); });
    return returns ? owner->id : instance_id{};
}

void planAssignments(const cell_state &state, record_draft &draft)
{
    for (const auto &[slot, release] : state.coordinator.releases) {
        const auto pool = draft.record.pools.find(slot.pool);
        if (release.released && pool != draft.record.pools.end()) {
            assign(draft, pool->second, slot.slot, ownerAfterRelease(state, draft.record, slot.pool, release));
        }
    }
    for (auto &[pool, slots] : draft.record.pools) {
        for (const auto &move : assignUnowned(draft.record.members, pool, slots, state.drained)) {
            assign(draft, slots, move.slot, move.to);
        }
    }
}

bool sameVoters(const std::vector<cell_voter> &a, const std::vector<cell_voter> &b)
{
    return a.size() == b.size()
        && std::all_of(a.begin(), a.end(), [&](const auto &voter) { return findVoter(b, voter.id) != nullptr; });
}

/** Admits the voter from another region again if it has restarted. */
void readmitExternalVoter(const cell_state &state, record_draft &draft)
{
    if (!state.externalVoter) {
        return;
    }
    for (auto *voters : {&draft.record.voters, &draft.record.previousVoters}) {
        auto *voter = findVoter(*voters, state.externalVoter->id);
        if (voter != nullptr && voter->incarnation != state.externalVoter->incarnation) {
            voter->incarnation = state.externalVoter->incarnation;
            voter->control = state.externalVoter->control;
            voter->admitted = draft.record.nextNumber++;
            draft.changed = true;
        }
    }
}

/** Starts a change of the set of voters, or completes the one in progress. */
void planVoters(const cell_state &state, record_draft &draft, steady_time now)
{
    auto &record = draft.record;
    if (!record.previousVoters.empty()) {
        if (isRetirementComplete(state, now)) {
            record.previousVoters.clear();
            ++record.config.value;
            draft.changed = true;
        }
        return;
    }
    if (!isMembershipStable(state, now) || now - state.coordinator.votersChanged < voterChangeInterval) {
        return;
    }
    auto wanted = chooseVoters(state, now);
    if (wanted.empty() || sameVoters(wanted, record.voters)) {
        return;
    }
    for (auto &voter : wanted) {
        if (voter.admitted == 0) {
            voter.admitted = record.nextNumber++;
        }
    }
    record.previousVoters = std::move(record.voters);
    record.voters = std::move(wanted);
    ++record.config.value;
    draft.changed = true;
}

/**
 * Assigns new terms to members whose term is below the latest admission of a voter, which would refuse it. The slots
 * stay assigned.
 */
void planTermRenewals(record_draft &draft)
{
    std::uint64_t lastAdmission = 0;
    for (const auto &voter : allVoters(draft.record)) {
        lastAdmission = std::max(lastAdmission, voter.admitted);
    }
    for (auto &member : draft.record.members) {
        if (member.term.value < lastAdmission) {
            member.term.value = draft.record.nextNumber++;
            draft.changed = true;
        }
    }
}

/** Liveness of a voter when a new set is chosen. */
enum class voter_liveness
{
    live, ///< It answered recently.
    suspected, ///< It has not answered recently, but may come back.
    gone, ///< It left, is leaving, or has not answered for the replacement delay.
};

voter_liveness livenessOf(const cell_state &state, const cell_voter &voter, steady_time now)
{
    const auto *member = findMember(state.stored.record, voter.id);
    const bool outside = state.externalVoter && state.externalVoter->id == voter.id;
    if ((member == nullptr && !outside) || (member != nullptr && member->leaving)) {
        return voter_liveness::gone;
    }
    if (voter.id == state.self.id) {
        return voter_liveness::live;
    }
    const auto answer = state.lease.lastAnswer.find(voter.id);
    const auto last = answer == state.lease.lastAnswer.end() ? steady_time{} : answer->second;
    const auto silence = now - std::max({last, state.coordinator.observingSince, state.coordinator.votersChanged});
    if (silence >= state.timing.voterReplaceDelay) {
        return voter_liveness::gone;
    }
    const bool unresponsive =
        now - last >= state.timing.failureTimeout || (member != nullptr && isUnresponsive(state, *member, now));
    return unresponsive ? voter_liveness::suspected : voter_liveness::live;
}

/** Adds live members as voters, each from the failure domain with the fewest voters. */
void spreadOverDomains(const cell_state &state, std::vector<cell_voter> &voters, std::size_t wanted, steady_time now)
{
    const auto &record = state.stored.record;
    while (voters.size() < wanted) {
        const cell_member *best = nullptr;
        std::ptrdiff_t bestLoad = 0;
        for (const auto &member : record.members) {
            if (member.leaving || isUnresponsive(state, member, now) || findVoter(voters, member.id) != nullptr) {
                continue;
            }
            const auto load = std::count_if(voters.begin(), voters.end(),
                                            [&](const auto &voter) { return voter.domain == member.domain; });
            if (best == nullptr || load < bestLoad) {
                best = &member;
                bestLoad = load;
            }
        }
        if (best == nullptr) {
            return;
        }
        voters.push_back({best->id, best->incarnation, 0, best->domain, peerEndpoint(*best)});
    }
}

} // namespace

bool isUnresponsive(const cell_state &state, const cell_member &member, steady_time now)
{
    if (member.id == state.self.id) {
        return false;
    }
    const auto entry = state.localVoter.memberPromises.find(member.id);
    const auto since = state.coordinator.memberSince.find(member.id);
    auto last = state.coordinator.observingSince;
    last = entry == state.localVoter.memberPromises.end() ? last : std::max(last, entry->second.lastRenewal);
    last = since == state.coordinator.memberSince.end() ? last : std::max(last, since->second.second);
    return now - last >= state.timing.failureTimeout;
}

bool isCoordinator(const cell_state &state, steady_time now)
{
    const auto &record = state.stored.record;
    if (!state.joinsAsMember || now < state.localVoter.bootWaitUntil) {
        return false;
    }
    for (const auto &voter : record.voters) {
        const auto *member = findMember(record, voter.id);
        if (member == nullptr) {
            continue;
        }
        if (voter.id == state.self.id) {
            return member->incarnation == state.self.incarnation;
        }
        if (!isUnresponsive(state, *member, now)) {
            return false;
        }
    }
    return false;
}

std::vector<cell_voter> chooseVoters(const cell_state &state, steady_time now)
{
    const auto &record = state.stored.record;
    std::vector<cell_voter> voters;
    bool hasExternal = false;
    for (const auto &voter : record.voters) {
        const auto liveness = livenessOf(state, voter, now);
        if (liveness == voter_liveness::suspected) {
            return record.voters; // A set chosen now could lack a live majority from the start.
        }
        if (liveness == voter_liveness::live) {
            voters.push_back(voter);
            hasExternal = hasExternal || findMember(record, voter.id) == nullptr;
        }
    }
    std::size_t candidates = 0;
    for (const auto &member : record.members) {
        candidates += !member.leaving && !isUnresponsive(state, member, now) ? 1 : 0;
    }
    const bool addExternal = state.externalVoter.has_value();
    auto wanted = std::min(state.timing.voterCount, candidates + (addExternal ? 1 : 0));
    wanted -= wanted % 2 == 0 ? 1 : 0; // An even number tolerates no more failures than the next lower odd number.
    if (voters.size() > wanted) {
        voters.resize(wanted);
    }
    const auto inside = wanted - (addExternal && !hasExternal && wanted >= 3 ? 1 : 0);
    if (voters.size() > inside) {
        voters.resize(inside);
    }
    spreadOverDomains(state, voters, inside, now);
    if (inside < wanted) {
        voters.push_back({state.externalVoter->id, state.externalVoter->incarnation, 0, state.externalVoter->domain,
                          state.externalVoter->control});
    }
    return voters;
}

std::optional<cell_record> planRecord(cell_state &state, steady_time now)
{
    record_draft draft{state.stored.record, {static_cast<std::uint64_t>(state.stored.revision.value) + 1}};
    planOwnMembership(state, draft);
    planFirstVoter(state, draft);
    if (isCoordinator(state, now)) {
        planRemovals(state, draft, now);
        planNewSlots(state, draft, now);
        planAssignments(state, draft);
        readmitExternalVoter(state, draft);
        planVoters(state, draft, now);
        planTermRenewals(draft);
    }
    return draft.changed ? std::optional(std::move(draft.record)) : std::nullopt;
}

} // namespace quetzalspool
