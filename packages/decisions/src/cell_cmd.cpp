/** @file cell_cmd.cpp Events of a cell. */
#include "cell_func.h"
#include "lease_func.h"
#include "reassign_func.h"
#include "record_func.h"
#include "vouch_func.h"

#include <algorithm>
#include <cassert>

namespace quetzalspool {

namespace {

constexpr milliseconds pauseLimit{250}; ///< A longer gap between ticks means that this process was paused.
constexpr milliseconds joinReadInterval{500}; ///< Between reads of the record while not a member.
constexpr milliseconds firstBackoff{20}; ///< Wait after the first failed write.
constexpr std::size_t releasedPerMessage = 64; ///< Keeps the message within one datagram.
constexpr std::uint32_t maxBackoffShift = 6; ///< The wait doubles at most this often.

const chart &memberChart()
{
    return embeddedChart(chart_file::member);
}

bool inLife(const cell_state &state, std::string_view name)
{
    return isIn(memberChart(), state.life, name);
}

void lifeEvent(cell_state &state, std::string_view event)
{
    follow(memberChart(), state.life, event);
}

/** A wait before the next write that grows with failures and differs between daemons. */
milliseconds writeBackoff(const cell_state &state)
{
    const auto shift = std::min(state.writeFailures, maxBackoffShift);
    const auto spread = std::hash<std::string>{}(state.self.id.value + std::to_string(state.writes)) % 100;
    return firstBackoff * (1U << shift) * (100 + spread) / 100;
}

void sendRenewals(cell_state &state, cell_actions &actions, steady_time now)
{
    const auto renewal = nextRenewal(state.lease, state.stored, state.timing, now);
    if (!renewal) {
        return;
    }
    for (const auto &voter : allVoters(state.stored.record)) {
        if (voter.id != state.self.id) {
            actions.push_back(send_action{voter.control, *renewal});
            continue;
        }
        const auto answer = answerRenewal(state.vouch, *renewal, state.stored, state.timing, now);
        if (answer) {
            takeVouch(state.lease, *answer, state.stored, state.timing, now);
        }
    }
}

/** Asks for the record of another daemon that says it knows a newer one. */
void noteKnown(const cell_state &state, revision_number known, const endpoint &from, cell_actions &actions)
{
    if (known > state.stored.revision) {
        actions.push_back(fetch_action{from, known});
    }
}

/** Follows the member chart from what the record says about this run. */
void followRecord(cell_state &state)
{
    const auto *listed = findMember(state.stored.record, state.self.id);
    const bool current = listed != nullptr && listed->incarnation == state.self.incarnation;
    if (current) {
        lifeEvent(state, "recorded");
    } else if (inLife(state, "active")) {
        lifeEvent(state, "term_ended");
    } else if (inLife(state, "leaving")) {
        lifeEvent(state, "removed");
    }
}

void maybeRead(cell_state &state, cell_actions &actions, steady_time now)
{
    const bool wanted = needsStoreAnswer(state) || (inLife(state, "joining") && now >= state.nextRead);
    if (wanted && !state.reading) {
        state.reading = true;
        state.nextRead = now + joinReadInterval;
        actions.push_back(read_action{state.id});
    }
}

void maybeWrite(cell_state &state, cell_actions &actions, steady_time now)
{
    if (state.writing || now < state.nextWrite || !state.joins || inLife(state, "starting") || inLife(state, "left")) {
        return;
    }
    auto wanted = planRecord(state, now);
    if (wanted) {
        state.writing = true;
        ++state.writes;
        wanted->writeId = state.self.id.value + "-" + std::to_string(state.self.incarnation.value) + "-"
            + std::to_string(state.writes);
        actions.push_back(write_action{std::move(*wanted), state.stored.revision});
    }
}

/** Marks the asked slots as given back and closes those that were open. */
void giveBack(cell_state &state, const release_slots_message &message, const endpoint &from, cell_actions &actions)
{
    slots_released_message answer{state.id, state.self.id, message.pool, {}};
    for (const auto &[number, fence] : message.slots) {
        const fenced_slot slot{message.pool, {number}, {fence}};
        const auto known = state.givenBack.find(slot);
        if (known != state.givenBack.end()) {
            if (known->second) {
                answer.slots.emplace_back(number, fence);
            }
            continue;
        }
        const auto served = servedSlots(state);
        if (std::find(served.begin(), served.end(), slot) != served.end()) {
            state.givenBack[slot] = false;
            state.releaseAskers[slot] = from;
            actions.push_back(close_action{slot});
        }
    }
    if (!answer.slots.empty()) {
        actions.push_back(send_action{from, std::move(answer)});
    }
}

/** Forgets slots given back whose assignment has been replaced. */
void forgetReplaced(cell_state &state)
{
    std::erase_if(state.givenBack, [&](const auto &entry) {
        const auto &slot = entry.first;
        const auto pool = state.stored.record.pools.find(slot.pool);
        if (pool == state.stored.record.pools.end()) {
            return true;
        }
        const auto row = std::find_if(pool->second.begin(), pool->second.end(),
                                      [&](const auto &assigned) { return assigned.slot == slot.slot; });
        return row == pool->second.end() || row->fence != slot.fence;
    });
    std::erase_if(state.releaseAskers, [&](const auto &entry) { return !state.givenBack.contains(entry.first); });
}

/** Repeats to the members that vote which slots were given back, since the driver that asked may be gone. */
void repeatReleased(cell_state &state, cell_actions &actions, steady_time now)
{
    if (state.givenBack.empty() || now < state.nextReleasedRepeat) {
        return;
    }
    state.nextReleasedRepeat = now + state.timing.renewInterval;
    std::map<pool_id, std::vector<std::pair<std::uint32_t, std::uint64_t>>> drained;
    for (const auto &[slot, done] : state.givenBack) {
        auto &slots = drained[slot.pool];
        if (done && slots.size() < releasedPerMessage) {
            slots.emplace_back(slot.slot.value, slot.fence.value);
        }
    }
    for (const auto &[pool, slots] : drained) {
        for (const auto &voter : state.stored.record.voters) {
            if (!slots.empty() && findMember(state.stored.record, voter.id) != nullptr) {
                actions.push_back(
                    send_action{voter.control, slots_released_message{state.id, state.self.id, pool, slots}});
            }
        }
    }
}

} // namespace

cell_state startCell(cell_id id, cell_member self, bool joins, const cell_timing &timing, steady_time startedAt)
{
    cell_state state;
    state.timing = timing;
    state.id = std::move(id);
    state.joins = joins;
    state.stored.record.id = state.id;
    state.vouch = startVoter(self.id, self.incarnation, timing, startedAt);
    state.lease.self = self.id;
    state.lease.incarnation = self.incarnation;
    state.drive.observingSince = startedAt;
    state.lastTick = startedAt;
    state.self = std::move(self);
    return state;
}

cell_actions tick(cell_state &state, steady_time now)
{
    cell_actions actions;
    if (now - state.lastTick > pauseLimit) {
        state.drive.observingSince = now;
    }
    state.lastTick = now;
    if (inLife(state, "starting") && now >= state.vouch.silentUntil) {
        lifeEvent(state, "boot_wait_over");
    }
    sendRenewals(state, actions, now);
    repeatReleased(state, actions, now);
    if (drives(state, now)) {
        driveEndings(state, actions, now);
        driveRetirement(state, actions, now);
        driveReleases(state, actions, now);
    } else {
        state.drive.endings.clear();
        state.drive.releases.clear();
    }
    if (state.joins) {
        maybeRead(state, actions, now);
        maybeWrite(state, actions, now);
    }
    return actions;
}

cell_actions takeMessage(cell_state &state, const control_message &message, const endpoint &from, steady_time now)
{
    cell_actions actions;
    if (const auto *renewal = std::get_if<renew_message>(&message)) {
        noteKnown(state, renewal->known, from, actions);
        if (const auto answer = answerRenewal(state.vouch, *renewal, state.stored, state.timing, now)) {
            actions.push_back(send_action{from, *answer});
        }
    } else if (const auto *vouch = std::get_if<promise_message>(&message)) {
        noteKnown(state, vouch->known, from, actions);
        takeVouch(state.lease, *vouch, state.stored, state.timing, now);
    } else if (const auto *end = std::get_if<end_term_message>(&message)) {
        if (const auto answer = answerEnd(state.vouch, *end, now)) {
            actions.push_back(send_action{from, *answer});
        }
    } else if (const auto *ended = std::get_if<term_ended_message>(&message)) {
        takeEnded(state, *ended, now);
    } else if (const auto *retire = std::get_if<retire_config_message>(&message)) {
        if (const auto answer = answerRetire(state.vouch, *retire, now)) {
            actions.push_back(send_action{from, *answer});
        }
    } else if (const auto *retired = std::get_if<config_retired_message>(&message)) {
        takeRetired(state, *retired, now);
    } else if (const auto *release = std::get_if<release_slots_message>(&message)) {
        giveBack(state, *release, from, actions);
    } else if (const auto *released = std::get_if<slots_released_message>(&message)) {
        takeReleased(state, *released);
    }
    return actions;
}

void takeRecord(cell_state &state, const stored_record &stored, steady_time now)
{
    if (stored.revision <= state.stored.revision) {
        return;
    }
    assert(stored.record.id == state.id);
    noteMembership(state, stored.record, now);
    state.stored = stored;
    noteRecord(state.vouch, state.stored);
    noteRecord(state.lease, state.stored);
    forgetReplaced(state);
    followRecord(state);
}

void takeStoreRead(cell_state &state, const stored_record &stored, steady_time now)
{
    state.reading = false;
    takeRecord(state, stored, now);
    confirmEndings(state);
}

void takeReadFailure(cell_state &state, steady_time now)
{
    state.reading = false;
    state.nextRead = now + joinReadInterval;
}

cell_actions takeWrite(cell_state &state, const cell_record &record, write_outcome outcome, revision_number revision,
                       steady_time now)
{
    cell_actions actions;
    state.writing = false;
    if (outcome == write_outcome::stored) {
        state.writeFailures = 0;
        takeRecord(state, {record, revision}, now);
        return actions;
    }
    ++state.writeFailures;
    state.nextWrite = now + writeBackoff(state);
    // Also after an unclear answer the record is read back: its revision and write id tell what happened.
    if (!state.reading) {
        state.reading = true;
        actions.push_back(read_action{state.id});
    }
    return actions;
}

cell_actions takeDrained(cell_state &state, const fenced_slot &slot)
{
    cell_actions actions;
    const auto known = state.givenBack.find(slot);
    if (known == state.givenBack.end()) {
        return actions;
    }
    known->second = true;
    const auto asker = state.releaseAskers.find(slot);
    if (asker != state.releaseAskers.end()) {
        actions.push_back(send_action{
            asker->second,
            slots_released_message{state.id, state.self.id, slot.pool, {{slot.slot.value, slot.fence.value}}}});
    }
    return actions;
}

void requestStop(cell_state &state)
{
    state.self.leaving = true;
    lifeEvent(state, "stop_requested");
    followRecord(state);
}

std::vector<fenced_slot> servedSlots(const cell_state &state)
{
    std::vector<fenced_slot> served;
    const auto *listed = findMember(state.stored.record, state.self.id);
    if (listed == nullptr || listed->incarnation != state.self.incarnation) {
        return served;
    }
    for (const auto &[pool, slots] : state.stored.record.pools) {
        for (const auto &slot : slots) {
            const fenced_slot entry{pool, slot.slot, slot.fence};
            if (slot.owner == state.self.id && !state.givenBack.contains(entry)) {
                served.push_back(entry);
            }
        }
    }
    return served;
}

std::vector<fenced_slot> closingSlots(const cell_state &state)
{
    std::vector<fenced_slot> closing;
    for (const auto &[slot, drained] : state.givenBack) {
        if (!drained) {
            closing.push_back(slot);
        }
    }
    return closing;
}

} // namespace quetzalspool
