/** @file cell_cmd.cpp Event handlers of a cell. */
#include "cell_func.h"
#include "lease_func.h"
#include "reassign_func.h"
#include "record_func.h"
#include "voter_func.h"

#include <algorithm>
#include <cassert>

namespace quetzalspool {

namespace {

constexpr milliseconds pauseLimit{250}; ///< A longer time between ticks means that this process was paused.
constexpr milliseconds joinReadInterval{500}; ///< Time between reads of the record while joining.
constexpr milliseconds firstBackoff{20}; ///< Delay after the first failed write, before jitter.
constexpr std::size_t releasedPerMessage = 64; ///< Slots in one released message, so that it fits into one datagram.
constexpr std::uint32_t maxBackoffShift = 6; ///< Maximum number of doublings of the delay.

const chart &memberChart()
{
    return embeddedChart(chart_file::member);
}

bool inLifecycleState(const cell_state &state, std::string_view name)
{
    return isIn(memberChart(), state.lifecycle, name);
}

void applyLifecycleEvent(cell_state &state, std::string_view event)
{
    applyEvent(memberChart(), state.lifecycle, event);
}

/** Delay before the next write: exponential backoff, with jitter so that daemons do not retry at the same time. */
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
        const auto answer = answerRenewal(state.localVoter, *renewal, state.stored, state.timing, now);
        if (answer) {
            applyPromise(state.lease, *answer, state.stored, state.timing, now);
        }
    }
}

/** Fetches the record from another daemon if that daemon knows a newer one. */
void fetchIfNewer(const cell_state &state, revision_number known, const endpoint &from, cell_actions &actions)
{
    if (known > state.stored.revision) {
        actions.push_back(fetch_action{from, known});
    }
}

/** Updates the state in the member chart by whether the record lists this run. */
void updateLifecycle(cell_state &state)
{
    const auto *listed = findMember(state.stored.record, state.self.id);
    const bool current = listed != nullptr && listed->incarnation == state.self.incarnation;
    if (current) {
        applyLifecycleEvent(state, "recorded");
    } else if (inLifecycleState(state, "active")) {
        applyLifecycleEvent(state, "term_ended");
    } else if (inLifecycleState(state, "leaving")) {
        applyLifecycleEvent(state, "removed");
    }
}

void requestRead(cell_state &state, cell_actions &actions, steady_time now)
{
    const bool wanted = awaitsStoreRead(state) || (inLifecycleState(state, "joining") && now >= state.nextRead);
    if (wanted && !state.reading) {
        state.reading = true;
        state.nextRead = now + joinReadInterval;
        actions.push_back(read_action{state.id});
    }
}

void requestWrite(cell_state &state, cell_actions &actions, steady_time now)
{
    if (state.writing || now < state.nextWrite || !state.joinsAsMember || inLifecycleState(state, "starting")
        || inLifecycleState(state, "left")) {
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

/** Releases the requested slots: starts draining those being served, and reports those already drained. */
void releaseSlots(cell_state &state, const release_slots_message &message, const endpoint &from, cell_actions &actions)
{
    slots_released_message answer{state.id, state.self.id, message.pool, {}};
    for (const auto &[number, fence] : message.slots) {
        const fenced_slot slot{message.pool, {number}, {fence}};
        const auto known = state.releasedSlots.find(slot);
        if (known != state.releasedSlots.end()) {
            if (known->second) {
                answer.slots.emplace_back(number, fence);
            }
            continue;
        }
        const auto served = servedSlots(state);
        if (std::find(served.begin(), served.end(), slot) != served.end()) {
            state.releasedSlots[slot] = false;
            state.releaseRequesters[slot] = from;
            actions.push_back(drain_action{slot});
        }
    }
    if (!answer.slots.empty()) {
        actions.push_back(send_action{from, std::move(answer)});
    }
}

/** Drops released slots whose assignment has been replaced. */
void dropReplacedSlots(cell_state &state)
{
    std::erase_if(state.releasedSlots, [&](const auto &entry) {
        const auto &slot = entry.first;
        const auto pool = state.stored.record.pools.find(slot.pool);
        if (pool == state.stored.record.pools.end()) {
            return true;
        }
        const auto row = std::find_if(pool->second.begin(), pool->second.end(),
                                      [&](const auto &assigned) { return assigned.slot == slot.slot; });
        return row == pool->second.end() || row->fence != slot.fence;
    });
    std::erase_if(state.releaseRequesters,
                  [&](const auto &entry) { return !state.releasedSlots.contains(entry.first); });
}

/**
 * Reports the drained slots again to all voters that are members, as the coordinator that requested the release may
 * have been lost and any of them may replace it.
 */
void resendReleased(cell_state &state, cell_actions &actions, steady_time now)
{
    if (state.releasedSlots.empty() || now < state.nextReleasedResend) {
        return;
    }
    state.nextReleasedResend = now + state.timing.renewInterval;
    std::map<pool_id, std::vector<std::pair<std::uint32_t, std::uint64_t>>> drained;
    for (const auto &[slot, done] : state.releasedSlots) {
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

cell_state startCell(cell_id id, cell_member self, bool joinsAsMember, const cell_timing &timing, steady_time startedAt)
{
    cell_state state;
    state.timing = timing;
    state.id = std::move(id);
    state.joinsAsMember = joinsAsMember;
    state.stored.record.id = state.id;
    state.localVoter = startVoter(self.id, self.incarnation, timing, startedAt);
    state.lease.self = self.id;
    state.lease.incarnation = self.incarnation;
    state.coordinator.observingSince = startedAt;
    state.lastTick = startedAt;
    state.self = std::move(self);
    return state;
}

cell_actions tick(cell_state &state, steady_time now)
{
    cell_actions actions;
    if (now - state.lastTick > pauseLimit) {
        state.coordinator.observingSince = now;
    }
    state.lastTick = now;
    if (inLifecycleState(state, "starting") && now >= state.localVoter.bootWaitUntil) {
        applyLifecycleEvent(state, "boot_wait_over");
    }
    sendRenewals(state, actions, now);
    resendReleased(state, actions, now);
    if (isCoordinator(state, now)) {
        advanceTermEndings(state, actions, now);
        advanceRetirement(state, actions, now);
        advanceReleases(state, actions, now);
    } else {
        state.coordinator.endings.clear();
        state.coordinator.releases.clear();
    }
    if (state.joinsAsMember) {
        requestRead(state, actions, now);
        requestWrite(state, actions, now);
    }
    return actions;
}

cell_actions handleMessage(cell_state &state, const control_message &message, const endpoint &from, steady_time now)
{
    cell_actions actions;
    if (const auto *renewal = std::get_if<renew_message>(&message)) {
        fetchIfNewer(state, renewal->known, from, actions);
        if (const auto answer = answerRenewal(state.localVoter, *renewal, state.stored, state.timing, now)) {
            actions.push_back(send_action{from, *answer});
        }
    } else if (const auto *promise = std::get_if<promise_message>(&message)) {
        fetchIfNewer(state, promise->known, from, actions);
        applyPromise(state.lease, *promise, state.stored, state.timing, now);
    } else if (const auto *end = std::get_if<end_term_message>(&message)) {
        if (const auto answer = refuseTerms(state.localVoter, *end, now)) {
            actions.push_back(send_action{from, *answer});
        }
    } else if (const auto *ended = std::get_if<term_ended_message>(&message)) {
        recordRefusal(state, *ended, now);
    } else if (const auto *retire = std::get_if<retire_config_message>(&message)) {
        if (const auto answer = retireConfigs(state.localVoter, *retire, now)) {
            actions.push_back(send_action{from, *answer});
        }
    } else if (const auto *retired = std::get_if<config_retired_message>(&message)) {
        recordRetirement(state, *retired, now);
    } else if (const auto *release = std::get_if<release_slots_message>(&message)) {
        releaseSlots(state, *release, from, actions);
    } else if (const auto *released = std::get_if<slots_released_message>(&message)) {
        recordRelease(state, *released);
    }
    return actions;
}

void applyRecord(cell_state &state, const stored_record &stored, steady_time now)
{
    if (stored.revision <= state.stored.revision) {
        return;
    }
    assert(stored.record.id == state.id);
    trackMembership(state, stored.record, now);
    state.stored = stored;
    applyRecord(state.localVoter, state.stored);
    applyRecord(state.lease, state.stored);
    dropReplacedSlots(state);
    updateLifecycle(state);
}

void completeRead(cell_state &state, const stored_record &stored, steady_time now)
{
    state.reading = false;
    applyRecord(state, stored, now);
    confirmEndings(state);
}

void failRead(cell_state &state, steady_time now)
{
    state.reading = false;
    state.nextRead = now + joinReadInterval;
}

cell_actions completeWrite(cell_state &state, const cell_record &record, write_outcome outcome,
                           revision_number revision, steady_time now)
{
    cell_actions actions;
    state.writing = false;
    if (outcome == write_outcome::stored) {
        state.writeFailures = 0;
        applyRecord(state, {record, revision}, now);
        return actions;
    }
    ++state.writeFailures;
    state.nextWrite = now + writeBackoff(state);
    // Without a response, too, the record is read again: its revision and write id show whether the write was stored.
    if (!state.reading) {
        state.reading = true;
        actions.push_back(read_action{state.id});
    }
    return actions;
}

cell_actions completeDrain(cell_state &state, const fenced_slot &slot)
{
    cell_actions actions;
    const auto known = state.releasedSlots.find(slot);
    if (known == state.releasedSlots.end()) {
        return actions;
    }
    known->second = true;
    const auto requester = state.releaseRequesters.find(slot);
    if (requester != state.releaseRequesters.end()) {
        actions.push_back(send_action{
            requester->second,
            slots_released_message{state.id, state.self.id, slot.pool, {{slot.slot.value, slot.fence.value}}}});
    }
    return actions;
}

void requestStop(cell_state &state)
{
    state.self.leaving = true;
    applyLifecycleEvent(state, "stop_requested");
    updateLifecycle(state);
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
            if (slot.owner == state.self.id && !state.releasedSlots.contains(entry)) {
                served.push_back(entry);
            }
        }
    }
    return served;
}

std::vector<fenced_slot> drainingSlots(const cell_state &state)
{
    std::vector<fenced_slot> draining;
    for (const auto &[slot, drained] : state.releasedSlots) {
        if (!drained) {
            draining.push_back(slot);
        }
    }
    return draining;
}

} // namespace quetzalspool
