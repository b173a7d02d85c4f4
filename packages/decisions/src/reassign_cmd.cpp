/** @file reassign_cmd.cpp Driving the end of a term, the retirement of voters, and planned moves. */
#include "reassign_func.h"

#include "cell_func.h"
#include "placement_func.h"
#include "record_func.h"
#include "vouch_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr std::size_t slotsPerMessage = 64; ///< Keeps a release request within one datagram.

const chart &reassignmentChart()
{
    return embeddedChart(chart_file::reassignment);
}

bool inState(const ending_state &ending, std::string_view name)
{
    return isIn(reassignmentChart(), ending.state, name);
}

void endingEvent(ending_state &ending, std::string_view event)
{
    follow(reassignmentChart(), ending.state, event);
}

/** Whether the named voters are a majority of a set. An empty set needs none. */
bool hasMajority(const std::vector<cell_voter> &voters, const std::set<instance_id> &named)
{
    if (voters.empty()) {
        return true;
    }
    const auto count =
        std::count_if(voters.begin(), voters.end(), [&](const auto &voter) { return named.contains(voter.id); });
    return static_cast<std::size_t>(count) >= majorityOf(voters.size());
}

/** Sends one request to all voters of a set; the daemon's own voter answers in place. */
template <typename Message, typename Answer, typename Take>
void askVoters(cell_state &state, const std::vector<cell_voter> &voters, const Message &message, Answer answer,
               Take take, cell_actions &actions, steady_time now)
{
    for (const auto &voter : voters) {
        if (voter.id != state.self.id) {
            actions.push_back(send_action{voter.control, message});
        } else if (const auto own = answer(state.vouch, message, now)) {
            take(state, *own, now);
        }
    }
}

/** Drops endings of members that are gone, or that have taken a newer term. */
void dropSettledEndings(cell_state &state, steady_time now)
{
    std::erase_if(state.drive.endings, [&](const auto &entry) {
        const auto *member = findMember(state.stored.record, entry.first);
        if (member == nullptr || member->term > entry.second.upTo) {
            return true;
        }
        return inState(entry.second, "confirming") && !isSilent(state, *member, now);
    });
}

/** Whether a planned move still fits the record. */
bool moveStands(const cell_state &state, const fenced_slot &slot, const release_state &release)
{
    const auto pool = state.stored.record.pools.find(slot.pool);
    if (pool == state.stored.record.pools.end()) {
        return false;
    }
    const auto row = std::find_if(pool->second.begin(), pool->second.end(),
                                  [&](const auto &assigned) { return assigned.slot == slot.slot; });
    return row != pool->second.end() && row->fence == slot.fence && row->owner == release.from
        && findMember(state.stored.record, release.from) != nullptr;
}

void planReleases(cell_state &state, steady_time now)
{
    if (now - state.drive.lastMoves < state.timing.moveInterval) {
        return;
    }
    state.drive.lastMoves = now;
    for (const auto &[pool, slots] : state.stored.record.pools) {
        const auto plan = state.plans.find(pool);
        const auto rules = plan == state.plans.end() ? placement_rules{} : plan->second.rules;
        for (const auto &move : placeOwned(state.stored.record.members, pool, slots, rules)) {
            const auto row = std::find_if(slots.begin(), slots.end(),
                                          [&](const auto &assigned) { return assigned.slot == move.slot; });
            state.drive.releases.try_emplace(fenced_slot{pool, move.slot, row->fence},
                                             release_state{move.from, move.to});
        }
    }
}

} // namespace

void noteMembership(cell_state &state, const cell_record &next, steady_time now)
{
    std::map<instance_id, std::pair<incarnation_id, steady_time>> since;
    bool changed = state.stored.record.members.size() != next.members.size();
    for (const auto &member : next.members) {
        const auto known = state.drive.memberSince.find(member.id);
        const bool same = known != state.drive.memberSince.end() && known->second.first == member.incarnation;
        since[member.id] = same ? known->second : std::pair(member.incarnation, now);
        const auto *before = findMember(state.stored.record, member.id);
        changed = changed || !same || before == nullptr || before->target.pool != member.target.pool;
    }
    state.drive.memberSince = std::move(since);
    if (changed) {
        state.drive.membersChanged = now;
    }
    if (state.stored.record.config != next.config) {
        state.drive.votersChanged = now;
        state.drive.retire = {};
    }
}

bool needsStoreAnswer(const cell_state &state)
{
    const auto &endings = state.drive.endings;
    return std::any_of(endings.begin(), endings.end(),
                       [](const auto &entry) { return inState(entry.second, "confirming"); });
}

void confirmEndings(cell_state &state)
{
    for (auto &entry : state.drive.endings) {
        endingEvent(entry.second, "store_answered");
    }
}

void driveEndings(cell_state &state, cell_actions &actions, steady_time now)
{
    for (const auto &member : state.stored.record.members) {
        if (member.id != state.self.id && isSilent(state, member, now)) {
            state.drive.endings.try_emplace(member.id, ending_state{member.term});
        }
    }
    dropSettledEndings(state, now);
    const auto voters = allVoters(state.stored.record);
    for (auto &[id, ending] : state.drive.endings) {
        if (inState(ending, "ending") && now >= ending.nextSend) {
            ending.nextSend = now + state.timing.resendInterval;
            askVoters(state, voters, end_term_message{state.id, state.self.id, id, ending.upTo}, answerEnd, takeEnded,
                      actions, now);
        }
        if (inState(ending, "waiting") && now >= ending.waitUntil) {
            endingEvent(ending, "promises_over");
        }
    }
}

void takeEnded(cell_state &state, const term_ended_message &message, steady_time now)
{
    const auto found = state.drive.endings.find(message.member);
    if (found == state.drive.endings.end() || found->second.upTo != message.upTo) {
        return;
    }
    auto &ending = found->second;
    if (!ending.refusedBy.insert(message.voter).second) {
        return;
    }
    ending.waitUntil = std::max(ending.waitUntil, now + message.remaining);
    const auto &record = state.stored.record;
    if (hasMajority(record.voters, ending.refusedBy) && hasMajority(record.previousVoters, ending.refusedBy)) {
        endingEvent(ending, "majority_refused");
    }
}

void driveRetirement(cell_state &state, cell_actions &actions, steady_time now)
{
    auto &retire = state.drive.retire;
    const auto &record = state.stored.record;
    if (record.previousVoters.empty() || now < retire.nextSend) {
        return;
    }
    retire.before = record.config;
    retire.nextSend = now + state.timing.resendInterval;
    askVoters(state, record.previousVoters, retire_config_message{state.id, state.self.id, record.config}, answerRetire,
              takeRetired, actions, now);
}

void takeRetired(cell_state &state, const config_retired_message &message, steady_time now)
{
    auto &retire = state.drive.retire;
    if (retire.before.value == 0 || message.minConfig < retire.before) {
        return;
    }
    retire.by.insert(message.voter);
    retire.waitUntil = std::max(retire.waitUntil, now + message.remaining);
}

bool retirementOver(const cell_state &state, steady_time now)
{
    const auto &retire = state.drive.retire;
    return retire.before == state.stored.record.config && hasMajority(state.stored.record.previousVoters, retire.by)
        && now >= retire.waitUntil;
}

void driveReleases(cell_state &state, cell_actions &actions, steady_time now)
{
    auto &releases = state.drive.releases;
    std::erase_if(releases, [&](const auto &entry) { return !moveStands(state, entry.first, entry.second); });
    planReleases(state, now);
    std::map<std::pair<instance_id, pool_id>, std::vector<std::pair<std::uint32_t, std::uint64_t>>> asks;
    for (auto &[slot, release] : releases) {
        if (!release.released && now >= release.nextSend) {
            release.nextSend = now + state.timing.resendInterval;
            asks[{release.from, slot.pool}].emplace_back(slot.slot.value, slot.fence.value);
        }
    }
    for (const auto &[key, slots] : asks) {
        const auto *owner = findMember(state.stored.record, key.first);
        const auto to = peersOf(*owner);
        for (std::size_t first = 0; first < slots.size(); first += slotsPerMessage) {
            const auto last = std::min(slots.size(), first + slotsPerMessage);
            actions.push_back(send_action{to,
                                          release_slots_message{state.id,
                                                                state.self.id,
                                                                key.second,
                                                                {slots.begin() + static_cast<std::ptrdiff_t>(first),
                                                                 slots.begin() + static_cast<std::ptrdiff_t>(last)}}});
        }
    }
}

void takeReleased(cell_state &state, const slots_released_message &message)
{
    for (const auto &[number, fence] : message.slots) {
        const auto found = state.drive.releases.find(fenced_slot{message.pool, {number}, {fence}});
        if (found != state.drive.releases.end() && found->second.from == message.owner) {
            found->second.released = true;
            continue;
        }
        // Asked for by an earlier driver: the slot needs an assignment anew, if only to the same owner.
        const fenced_slot slot{message.pool, {number}, {fence}};
        const release_state orphan{message.owner, message.owner, true};
        if (moveStands(state, slot, orphan)) {
            state.drive.releases.try_emplace(slot, orphan);
        }
    }
}

std::vector<instance_id> endedMembers(const cell_state &state, steady_time now)
{
    std::vector<instance_id> ended;
    for (const auto &[id, ending] : state.drive.endings) {
        const auto *member = findMember(state.stored.record, id);
        const auto &record = state.stored.record;
        const bool over = inState(ending, "ready") && now >= ending.waitUntil
            && hasMajority(record.voters, ending.refusedBy) && hasMajority(record.previousVoters, ending.refusedBy);
        if (over && member != nullptr && member->term <= ending.upTo) {
            ended.push_back(id);
        }
    }
    return ended;
}

} // namespace quetzalspool
