/** @file reassign_cmd.cpp The coordinator's work: ending terms, retiring sets of voters, and planned moves. */
#include "reassign_func.h"

#include "cell_func.h"
#include "placement_func.h"
#include "record_func.h"
#include "voter_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr std::size_t slotsPerMessage = 64; ///< Slots in one release request, so that it fits into one datagram.

const chart &reassignmentChart()
{
    return embeddedChart(chart_file::reassignment);
}

bool inState(const term_ending &ending, std::string_view name)
{
    return isIn(reassignmentChart(), ending.state, name);
}

void applyEndingEvent(term_ending &ending, std::string_view event)
{
    applyEvent(reassignmentChart(), ending.state, event);
}

/** Checks whether the given instances include a majority of a set of voters. An empty set needs no majority. */
bool hasMajority(const std::vector<cell_voter> &voters, const std::set<instance_id> &named)
{
    if (voters.empty()) {
        return true;
    }
    const auto count =
        std::count_if(voters.begin(), voters.end(), [&](const auto &voter) { return named.contains(voter.id); });
    return static_cast<std::size_t>(count) >= majorityOf(voters.size());
}

/** Sends a request to all voters of a set. The daemon's own voter answers immediately. */
template <typename Message, typename Answer, typename Take>
void sendToVoters(cell_state &state, const std::vector<cell_voter> &voters, const Message &message, Answer answer,
                  Take take, cell_actions &actions, steady_time now)
{
    for (const auto &voter : voters) {
        if (voter.id != state.self.id) {
            actions.push_back(send_action{voter.control, message});
        } else if (const auto own = answer(state.localVoter, message, now)) {
            take(state, *own, now);
        }
    }
}

/** Drops the endings of members that were removed, have a newer term, or responded before the request was sent. */
void dropResolvedEndings(cell_state &state, steady_time now)
{
    std::erase_if(state.coordinator.endings, [&](const auto &entry) {
        const auto *member = findMember(state.stored.record, entry.first);
        if (member == nullptr || member->term > entry.second.upTo) {
            return true;
        }
        return inState(entry.second, "confirming") && !isUnresponsive(state, *member, now);
    });
}

/** Checks whether the assignment that a planned move replaces is still in the record. */
bool isMoveValid(const cell_state &state, const fenced_slot &slot, const slot_release &release)
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
    if (now - state.coordinator.lastMoves < state.timing.moveInterval) {
        return;
    }
    state.coordinator.lastMoves = now;
    for (const auto &[pool, slots] : state.stored.record.pools) {
        const auto plan = state.plans.find(pool);
        const auto rules = plan == state.plans.end() ? placement_rules{} : plan->second.rules;
        for (const auto &move : planRebalance(state.stored.record.members, pool, slots, rules, state.drained)) {
            const auto row = std::find_if(slots.begin(), slots.end(),
                                          [&](const auto &assigned) { return assigned.slot == move.slot; });
            state.coordinator.releases.try_emplace(fenced_slot{pool, move.slot, row->fence},
                                                   slot_release{move.from, move.to});
        }
    }
}

} // namespace

void trackMembership(cell_state &state, const cell_record &next, steady_time now)
{
    std::map<instance_id, std::pair<incarnation_id, steady_time>> since;
    bool changed = state.stored.record.members.size() != next.members.size();
    for (const auto &member : next.members) {
        const auto known = state.coordinator.memberSince.find(member.id);
        const bool same = known != state.coordinator.memberSince.end() && known->second.first == member.incarnation;
        since[member.id] = same ? known->second : std::pair(member.incarnation, now);
        const auto *before = findMember(state.stored.record, member.id);
        changed = changed || !same || before == nullptr || before->target.pool != member.target.pool;
    }
    state.coordinator.memberSince = std::move(since);
    if (changed) {
        state.coordinator.membersChanged = now;
    }
    if (state.stored.record.config != next.config) {
        state.coordinator.votersChanged = now;
        state.coordinator.retirement = {};
    }
}

bool awaitsStoreRead(const cell_state &state)
{
    const auto &endings = state.coordinator.endings;
    return std::any_of(endings.begin(), endings.end(),
                       [](const auto &entry) { return inState(entry.second, "confirming"); });
}

void confirmEndings(cell_state &state)
{
    for (auto &entry : state.coordinator.endings) {
        applyEndingEvent(entry.second, "store_answered");
    }
}

void advanceTermEndings(cell_state &state, cell_actions &actions, steady_time now)
{
    for (const auto &member : state.stored.record.members) {
        if (member.id != state.self.id && isUnresponsive(state, member, now)) {
            state.coordinator.endings.try_emplace(member.id, term_ending{member.term});
        }
    }
    dropResolvedEndings(state, now);
    const auto voters = allVoters(state.stored.record);
    for (auto &[id, ending] : state.coordinator.endings) {
        if (inState(ending, "ending") && now >= ending.nextSend) {
            ending.nextSend = now + state.timing.resendInterval;
            sendToVoters(state, voters, end_term_message{state.id, state.self.id, id, ending.upTo}, refuseTerms,
                         recordRefusal, actions, now);
        }
        if (inState(ending, "waiting") && now >= ending.waitUntil) {
            applyEndingEvent(ending, "promises_over");
        }
    }
}

void recordRefusal(cell_state &state, const term_ended_message &message, steady_time now)
{
    const auto found = state.coordinator.endings.find(message.member);
    if (found == state.coordinator.endings.end() || found->second.upTo != message.upTo) {
        return;
    }
    auto &ending = found->second;
    if (!ending.refusedBy.insert(message.voter).second) {
        return;
    }
    ending.waitUntil = std::max(ending.waitUntil, now + message.remaining);
    const auto &record = state.stored.record;
    if (hasMajority(record.voters, ending.refusedBy) && hasMajority(record.previousVoters, ending.refusedBy)) {
        applyEndingEvent(ending, "majority_refused");
    }
}

void advanceRetirement(cell_state &state, cell_actions &actions, steady_time now)
{
    auto &retirement = state.coordinator.retirement;
    const auto &record = state.stored.record;
    if (record.previousVoters.empty() || now < retirement.nextSend) {
        return;
    }
    retirement.before = record.config;
    retirement.nextSend = now + state.timing.resendInterval;
    sendToVoters(state, record.previousVoters, retire_config_message{state.id, state.self.id, record.config},
                 retireConfigs, recordRetirement, actions, now);
}

void recordRetirement(cell_state &state, const config_retired_message &message, steady_time now)
{
    auto &retirement = state.coordinator.retirement;
    if (retirement.before.value == 0 || message.minConfig < retirement.before) {
        return;
    }
    retirement.confirmedBy.insert(message.voter);
    retirement.waitUntil = std::max(retirement.waitUntil, now + message.remaining);
}

bool isRetirementComplete(const cell_state &state, steady_time now)
{
    const auto &retirement = state.coordinator.retirement;
    return retirement.before == state.stored.record.config
        && hasMajority(state.stored.record.previousVoters, retirement.confirmedBy) && now >= retirement.waitUntil;
}

void advanceReleases(cell_state &state, cell_actions &actions, steady_time now)
{
    auto &releases = state.coordinator.releases;
    std::erase_if(releases, [&](const auto &entry) { return !isMoveValid(state, entry.first, entry.second); });
    planReleases(state, now);
    std::map<std::pair<instance_id, pool_id>, std::vector<std::pair<std::uint32_t, std::uint64_t>>> requests;
    for (auto &[slot, release] : releases) {
        if (!release.released && now >= release.nextSend) {
            release.nextSend = now + state.timing.resendInterval;
            requests[{release.from, slot.pool}].emplace_back(slot.slot.value, slot.fence.value);
        }
    }
    for (const auto &[key, slots] : requests) {
        const auto *owner = findMember(state.stored.record, key.first);
        const auto to = peerEndpoint(*owner);
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

void recordRelease(cell_state &state, const slots_released_message &message)
{
    for (const auto &[number, fence] : message.slots) {
        const auto found = state.coordinator.releases.find(fenced_slot{message.pool, {number}, {fence}});
        if (found != state.coordinator.releases.end() && found->second.from == message.owner) {
            found->second.released = true;
            continue;
        }
        // An earlier coordinator requested the release. The slot needs a new assignment, even if to the same owner.
        const fenced_slot slot{message.pool, {number}, {fence}};
        const slot_release orphan{message.owner, message.owner, true};
        if (isMoveValid(state, slot, orphan)) {
            state.coordinator.releases.try_emplace(slot, orphan);
        }
    }
}

std::vector<instance_id> endedMembers(const cell_state &state, steady_time now)
{
    std::vector<instance_id> ended;
    for (const auto &[id, ending] : state.coordinator.endings) {
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
