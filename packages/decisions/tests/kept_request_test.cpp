/** @file kept_request_test.cpp Requests for slots that the target owns by the record and has not been granted yet. */
#include "admission_func.h"
#include "drain_admission_func.h"
#include "drained_domains_func.h"
#include "roster_simulation.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

const steady_time now{std::chrono::hours(1)};
const fenced_slot slot{pool_id{"p"}, {3}, {7}};
constexpr milliseconds grantTime{10}; ///< Time until the target knows of a grant.

/** A target that owns the slot by the record and has no grant of it. */
admission_state makeAdmission()
{
    admission_state admission;
    admission.hasTarget = true;
    admission.enforceGoals = true;
    admission.serviceMs = 20;
    admission.limits.concurrency = 2;
    admission.limits.queue = 3;
    setAssigned(admission, {slot});
    return admission;
}

admission_request makeRequest(std::uint64_t id, milliseconds goal = milliseconds(250))
{
    admission_request request{id, slot, request_class::lookup, now + seconds(5)};
    request.goal = now + goal;
    return request;
}

void grant(admission_state &admission, steady_time at)
{
    setServed(admission, {{slot}, {}}, at + seconds(5), grantTime, at);
}

} // namespace

// Each refused request was sent to the old and the new owner again and again while the slot moved.
TEST(keptRequests, areAdmittedAsSoonAsTheGrantIsInForce)
{
    auto admission = makeAdmission();
    EXPECT_TRUE(admit(admission, makeRequest(1), now).queued);
    EXPECT_TRUE(advanceQueue(admission, now + milliseconds(50)).empty());
    EXPECT_EQ(admission.inFlight, 0U);
    grant(admission, now + milliseconds(100));
    EXPECT_TRUE(advanceQueue(admission, now + milliseconds(105)).empty()) << "the target does not know of it yet";
    const auto decided = advanceQueue(admission, now + milliseconds(110));
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(decided.front().result.admitted);
    EXPECT_EQ(checkHandOver(admission, makeRequest(1), now + milliseconds(110)), refusal::none);
    EXPECT_EQ(admission.slots.at({slot.pool, slot.slot}).inFlight, 1U);
    EXPECT_TRUE(advanceQueue(admission, now + milliseconds(120)).empty());
    EXPECT_TRUE(admit(admission, makeRequest(2), now + milliseconds(120)).admitted);
}

// A kept request must not bypass the limits of the target once its slot is served.
TEST(keptRequests, obeyTheConcurrencyAndKeepTheirPlaceInTheQueue)
{
    auto admission = makeAdmission();
    for (std::uint64_t id = 1; id <= 3; ++id) {
        EXPECT_TRUE(admit(admission, makeRequest(id), now).queued);
    }
    grant(admission, now);
    EXPECT_EQ(advanceQueue(admission, now + grantTime).size(), 2U);
    EXPECT_EQ(admission.inFlight, 2U);
    EXPECT_TRUE(admission.kept.empty());
    ASSERT_EQ(admission.queue.size(), 1U);
    finishRequest(admission, makeRequest(1), true, milliseconds(5), now + grantTime);
    const auto decided = advanceQueue(admission, now + grantTime);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.front().id, 3U);
    EXPECT_TRUE(decided.front().result.admitted);
}

// A response after the goal is worth little, and the caller could have retried elsewhere meanwhile.
TEST(keptRequests, areRefusedOnceTheyCannotMeetTheirGoal)
{
    auto admission = makeAdmission();
    EXPECT_TRUE(admit(admission, makeRequest(1, milliseconds(100)), now).queued);
    EXPECT_TRUE(advanceQueue(admission, now + milliseconds(90)).empty());
    const auto decided = advanceQueue(admission, now + milliseconds(95));
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_FALSE(decided.front().result.admitted);
    EXPECT_EQ(decided.front().result.refused, refusal::not_owner);
    EXPECT_EQ(admit(admission, makeRequest(2, milliseconds(5)), now).refused, refusal::not_owner);
}

// Without a bound, a target that gets no grant would collect the requests of all its slots.
TEST(keptRequests, areBoundedByTheQueueLimit)
{
    auto admission = makeAdmission();
    for (std::uint64_t id = 1; id <= 3; ++id) {
        EXPECT_TRUE(admit(admission, makeRequest(id), now).queued);
    }
    const auto refused = admit(admission, makeRequest(4), now);
    EXPECT_FALSE(refused.queued);
    EXPECT_EQ(refused.refused, refusal::not_owner);
    EXPECT_TRUE(removeWaiting(admission, 2)) << "its caller has left";
    EXPECT_FALSE(removeWaiting(admission, 2));
    EXPECT_TRUE(admit(admission, makeRequest(5), now).queued);
}

// No grant will come: waiting for it would only delay the refusal.
TEST(keptRequests, areRefusedAtOnceWhenNoGrantCanBeExpected)
{
    const std::vector<std::function<void(admission_state &)>> losses = {
        [](auto &admission) { setAssigned(admission, {}); },
        [](auto &admission) {
            setAssigned(admission, {{slot.pool, slot.slot, {8}}});
        },
        [](auto &admission) { setLeaving(admission, true, now); },
        [](auto &admission) { setDrained(admission, now, milliseconds(0), now); },
        [](auto &admission) { admission.hasTarget = false; },
    };
    for (const auto &lose : losses) {
        auto admission = makeAdmission();
        EXPECT_TRUE(admit(admission, makeRequest(1), now).queued);
        lose(admission);
        const auto decided = advanceQueue(admission, now);
        ASSERT_EQ(decided.size(), 1U);
        EXPECT_FALSE(decided.front().result.admitted);
        EXPECT_NE(decided.front().result.refused, refusal::none);
        EXPECT_FALSE(admit(admission, makeRequest(2), now).queued);
    }
}

// A request with an older or newer fence is meant for another assignment of the slot.
TEST(keptRequests, onlyWithTheFenceOfTheAssignment)
{
    auto admission = makeAdmission();
    auto request = makeRequest(1);
    request.slot->fence = fence_number{6};
    EXPECT_EQ(admit(admission, request, now).refused, refusal::not_owner);
    request.slot->fence = fence_number{8};
    EXPECT_EQ(admit(admission, request, now).refused, refusal::not_owner);
}

// A slot that is being released, or whose grant has ended, is not about to be granted: requests are refused as before.
TEST(keptRequests, notForSlotsThatWereServed)
{
    auto admission = makeAdmission();
    grant(admission, now);
    const auto open = now + grantTime;
    EXPECT_EQ(admit(admission, makeRequest(1), now + seconds(5)).refused, refusal::no_lease);
    drainSlot(admission, slot);
    EXPECT_EQ(admit(admission, makeRequest(2), open).refused, refusal::moving);
}

// A target that stops, leaves or has no lease gets no further grants, so none of its slots are awaited.
TEST(keptRequests, slotsAreAwaitedOnlyWhileGrantsAreGiven)
{
    auto simulation = makeRosterSimulation(1, 4);
    runFor(simulation, seconds(20));
    const auto &roster = simulation.nodes[1].roster;
    const auto at = simulation.now;
    EXPECT_EQ(awaitedRanges(roster, at), grantableRanges(roster));
    ASSERT_FALSE(awaitedRanges(roster, at).empty());
    const std::vector<std::function<void(roster_state &)>> losses = {
        [](auto &state) { state.stopping = true; },
        [](auto &state) { state.target.leaving = true; },
        [&](auto &state) { expireEntry(state, at); },
        [&](auto &state) { state.lease.validUntil = at; },
        [&](auto &state) { state.target.lastReportAt = at - state.timing.holdPeriod; },
        [&](auto &state) {
            state.self.member.domain = domain_id{"d"};
            beginDrain(state.drained, domain_id{"d"}, at);
        },
    };
    for (const auto &lose : losses) {
        auto state = roster;
        lose(state);
        EXPECT_TRUE(awaitedRanges(state, at).empty());
    }
}

} // namespace quetzalspool::test
