/** @file request_test.cpp Admission, deduplication, retries, load balancing, placement. */
#include "admission_func.h"
#include "balance_func.h"
#include "dedup_func.h"
#include "placement_func.h"
#include "retry_type.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const steady_time now{std::chrono::hours(1)};
const fenced_slot slot{pool_id{"p"}, {3}, {7}};

admission_state makeAdmission(std::uint32_t concurrency, std::uint32_t queue)
{
    admission_state admission;
    admission.hasTarget = true;
    admission.limits.concurrency = concurrency;
    admission.limits.queue = queue;
    setServed(admission, {{slot}, {}}, now + seconds(60), milliseconds(0), now - seconds(60));
    return admission;
}

admission_request makeRequest(std::uint64_t id, request_class kind = request_class::lookup,
                              milliseconds deadline = seconds(5))
{
    return {id, slot, kind, now + deadline};
}

} // namespace

TEST(admission, limitsConcurrencyToTheTargetsSlots)
{
    auto admission = makeAdmission(2, 1);
    EXPECT_TRUE(admit(admission, makeRequest(1), now).admitted);
    EXPECT_TRUE(admit(admission, makeRequest(2), now).admitted);
    EXPECT_TRUE(admit(admission, makeRequest(3), now).queued);
    const auto refused = admit(admission, makeRequest(4), now);
    EXPECT_EQ(refused.refused, refusal::overloaded);
    EXPECT_GT(refused.retryAfter.count(), 0);
    finishRequest(admission, makeRequest(1), true, milliseconds(5), now);
    const auto decided = advanceQueue(admission, now);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(decided.front().result.admitted);
}

TEST(admission, ordersGoBeforeLookupsAndEarlierDeadlinesFirst)
{
    auto admission = makeAdmission(1, 8);
    admit(admission, makeRequest(1), now);
    admit(admission, makeRequest(2, request_class::lookup, seconds(4)), now);
    admit(admission, makeRequest(3, request_class::lookup, seconds(2)), now);
    admit(admission, makeRequest(4, request_class::order, seconds(5)), now);
    std::vector<std::uint64_t> order;
    for (int round = 0; round < 3; ++round) {
        finishRequest(admission, makeRequest(0), true, milliseconds(5), now);
        order.push_back(advanceQueue(admission, now).front().id);
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{4, 3, 2}));
}

TEST(admission, anOrderDisplacesTheLeastUrgentLookupInAFullQueue)
{
    auto admission = makeAdmission(1, 2);
    admit(admission, makeRequest(1), now);
    admit(admission, makeRequest(2, request_class::lookup, seconds(2)), now);
    admit(admission, makeRequest(3, request_class::lookup, seconds(4)), now);
    EXPECT_EQ(admit(admission, makeRequest(4, request_class::lookup, seconds(1)), now).refused, refusal::overloaded);
    EXPECT_TRUE(admit(admission, makeRequest(5, request_class::order), now).queued);
    const auto decided = advanceQueue(admission, now);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.front().id, 3U);
    EXPECT_EQ(decided.front().result.refused, refusal::overloaded);
    EXPECT_TRUE(admit(admission, makeRequest(6, request_class::order), now).queued);
    EXPECT_EQ(admit(admission, makeRequest(7, request_class::order), now).refused, refusal::overloaded)
        << "only orders are queued";
}

TEST(admission, anUrgentLookupDisplacesALessUrgentOneInAFullQueue)
{
    auto admission = makeAdmission(1, 2);
    const auto ranked = [](std::uint64_t id, std::uint32_t rank) {
        auto request = makeRequest(id);
        request.rank = rank;
        return request;
    };
    admit(admission, ranked(1, 2), now);
    admit(admission, ranked(2, 2), now);
    admit(admission, ranked(3, 2), now);
    EXPECT_EQ(admit(admission, ranked(4, 2), now).refused, refusal::overloaded)
        << "equally urgent ones are not displaced";
    EXPECT_TRUE(admit(admission, ranked(5, 1), now).queued);
    const auto decided = advanceQueue(admission, now);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.front().result.refused, refusal::overloaded) << "the displaced request is refused at once";
    EXPECT_TRUE(admit(admission, ranked(6, 1), now).queued);
    EXPECT_EQ(admit(admission, ranked(7, 1), now).refused, refusal::overloaded) << "only urgent ones are queued";
}

TEST(admission, deadlineCheckUsesTheServiceTimeOfTheSameUrgency)
{
    auto admission = makeAdmission(2, 8);
    admission.enforceGoals = true;
    admission.serviceMs = 400;
    admission.limits.stallLimit = seconds(60);
    const auto finished = [&](std::uint32_t rank, milliseconds service) {
        auto request = makeRequest(1);
        request.rank = rank;
        EXPECT_TRUE(admit(admission, request, now).admitted);
        finishRequest(admission, request, true, service, now);
    };
    finished(1, milliseconds(50));
    finished(2, milliseconds(600));
    EXPECT_TRUE(admit(admission, makeRequest(1), now).admitted);
    EXPECT_TRUE(admit(admission, makeRequest(2), now).admitted);
    auto call = makeRequest(3, request_class::lookup, milliseconds(300));
    call.rank = 1;
    call.goal = now + milliseconds(200);
    auto sheet = makeRequest(4, request_class::lookup, milliseconds(5000));
    EXPECT_TRUE(admit(admission, call, now).queued);
    EXPECT_TRUE(admit(admission, sheet, now).queued);
    EXPECT_TRUE(advanceQueue(admission, now + milliseconds(250)).empty())
        << "a call of 50 ms can still meet its deadline";
    EXPECT_EQ(advanceQueue(admission, now + milliseconds(280)).size(), 1U) << "it can no longer meet its deadline";
    const auto late = advanceQueue(admission, now + milliseconds(4750));
    ASSERT_EQ(late.size(), 1U) << "a request of 600 ms can't end in 250 ms";
    EXPECT_EQ(late.front().result.refused, refusal::deadline_passed);
}

TEST(admission, refusesAtOnceWhatCanNotMeetItsDeadline)
{
    auto admission = makeAdmission(1, 100);
    admission.serviceMs = 100;
    admit(admission, makeRequest(1), now);
    EXPECT_EQ(admit(admission, makeRequest(2, request_class::lookup, milliseconds(150)), now).refused,
              refusal::overloaded);
    EXPECT_TRUE(admit(admission, makeRequest(3, request_class::lookup, milliseconds(250)), now).queued);
}

TEST(admission, anExpiredLeaseStopsAdmissionAndHandOver)
{
    auto admission = makeAdmission(2, 1);
    ASSERT_TRUE(admit(admission, makeRequest(1), now).admitted);
    admission.leaseUntil = now;
    EXPECT_EQ(admit(admission, makeRequest(2), now).refused, refusal::no_lease);
    EXPECT_EQ(checkHandOver(admission, makeRequest(1), now), refusal::no_lease);
}

// A daemon that restarts beside a running target may have its lease before the target learns of it.
TEST(admission, aTargetThatChecksGrantsGetsNothingBeforeItKnowsTheLease)
{
    auto admission = makeAdmission(2, 1);
    admission.targetLeaseUntil = now;
    EXPECT_EQ(admit(admission, makeRequest(1), now).refused, refusal::no_lease)
        << "the target would refuse it, which costs a retry";
    EXPECT_EQ(checkHandOver(admission, makeRequest(1), now), refusal::no_lease);
    admission.targetLeaseUntil = now + milliseconds(250);
    EXPECT_TRUE(admit(admission, makeRequest(1), now).admitted);
    EXPECT_EQ(checkHandOver(admission, makeRequest(1), now), refusal::none);
    admission.leaseUntil = now;
    EXPECT_EQ(checkHandOver(admission, makeRequest(1), now), refusal::no_lease)
        << "the lease still limits the hand-over";
}

TEST(admission, aClosedSlotRefusesNewRequestsAndDrains)
{
    auto admission = makeAdmission(2, 1);
    ASSERT_TRUE(admit(admission, makeRequest(1), now).admitted);
    drainSlot(admission, slot);
    EXPECT_EQ(admit(admission, makeRequest(2), now).refused, refusal::moving);
    EXPECT_EQ(checkHandOver(admission, makeRequest(1), now), refusal::none) << "admitted requests still run";
    EXPECT_FALSE(isDrained(admission, slot));
    finishRequest(admission, makeRequest(1), true, milliseconds(5), now);
    EXPECT_TRUE(isDrained(admission, slot));
}

TEST(admission, nothingIsHandedOverUnderAFenceLostDuringAPause)
{
    auto admission = makeAdmission(2, 1);
    ASSERT_TRUE(admit(admission, makeRequest(1), now).admitted);
    drainSlot(admission, slot);
    setServed(admission, {{}, {slot}}, now + seconds(60), milliseconds(0), now);
    EXPECT_EQ(checkHandOver(admission, makeRequest(1), now), refusal::none) << "the slot is still being released";
    // The process is paused, its term ends and another daemon gets the slot; then it rejoins under a new lease.
    setServed(admission, {{}, {}}, now + seconds(120), milliseconds(0), now + seconds(61));
    auto late = makeRequest(1);
    late.deadline = now + seconds(90);
    EXPECT_EQ(checkHandOver(admission, late, now + seconds(62)), refusal::not_owner);
    finishRequest(admission, late, false, milliseconds(5), now + seconds(62));
    EXPECT_TRUE(isDrained(admission, slot));
}

TEST(admission, aLeavingTargetGetsNoKeyedRequestsAfterTheLeaveLimit)
{
    auto admission = makeAdmission(4, 4);
    admission.limits.leaveLimit = milliseconds(1500);
    setLeaving(admission, true, now);
    EXPECT_TRUE(admit(admission, makeRequest(1), now + milliseconds(1400)).admitted) << "until its keys are reassigned";
    // The write that reassigns them may be unanswered for seconds.
    setLeaving(admission, true, now + milliseconds(1450));
    EXPECT_EQ(admit(admission, makeRequest(2), now + milliseconds(1500)).refused, refusal::leaving);
    EXPECT_EQ(checkHandOver(admission, makeRequest(1), now + milliseconds(1500)), refusal::leaving)
        << "an admitted request that was not sent yet";
    setLeaving(admission, false, now + milliseconds(1600));
    EXPECT_TRUE(admit(admission, makeRequest(3), now + milliseconds(1700)).admitted) << "the target has restarted";
}

TEST(admission, aStalledTargetIsProbedByOneRequestOnly)
{
    auto admission = makeAdmission(4, 4);
    admit(admission, makeRequest(1), now);
    const auto later = now + seconds(3);
    EXPECT_EQ(admit(admission, makeRequest(2), later).refused, refusal::stalled);
    finishRequest(admission, makeRequest(1), false, seconds(3), later);
    EXPECT_TRUE(admit(admission, {5, slot, request_class::lookup, later + seconds(9)}, later).admitted);
    EXPECT_FALSE(admit(admission, {6, slot, request_class::lookup, later + seconds(9)}, later).admitted);
}

// Responses that callers did not read made their target count as stalled: all other requests were refused until the
// deadlines of those callers.
TEST(admission, aTargetWhoseCallersDoNotReadIsNotStalled)
{
    auto admission = makeAdmission(2, 4);
    admission.enforceGoals = true;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        auto unread = makeRequest(id);
        EXPECT_TRUE(admit(admission, unread, now).admitted);
        beginTransfer(admission, unread, milliseconds(5), now + milliseconds(5));
    }
    const auto later = now + seconds(3);
    EXPECT_TRUE(admit(admission, {6, slot, request_class::lookup, later + seconds(9)}, later).admitted);
    const auto muchLater = later + seconds(3);
    EXPECT_EQ(admit(admission, {7, slot, request_class::lookup, muchLater + seconds(9)}, muchLater).refused,
              refusal::stalled)
        << "it has not produced the response to the sixth";
}

// Transfers that ended with their callers' deadlines counted as slow ones, and all later requests were refused, since
// their responses were not expected within their goals.
TEST(admission, aResponseThatDoesNotArriveWholeTellsNothingOfTransfers)
{
    auto admission = makeAdmission(2, 4);
    admission.enforceGoals = true;
    auto time = now;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        admission_request unread{id, slot, request_class::lookup, time + seconds(3)};
        unread.goal = time + milliseconds(500);
        ASSERT_TRUE(admit(admission, unread, time).admitted) << id;
        beginTransfer(admission, unread, milliseconds(5), time + milliseconds(5));
        time += seconds(3);
        unread.cut = true;
        finishRequest(admission, unread, true, seconds(3), time);
    }
    admission_request next{6, slot, request_class::lookup, time + seconds(3)};
    next.goal = time + milliseconds(500);
    EXPECT_TRUE(admit(admission, next, time).admitted);
}

TEST(admission, anOlderFenceIsRefused)
{
    auto admission = makeAdmission(4, 4);
    auto old = makeRequest(1);
    old.slot->fence = {6};
    EXPECT_EQ(admit(admission, old, now).refused, refusal::not_owner);
}

TEST(dedup, aDuplicateDoesNotRun)
{
    dedup_state dedup;
    EXPECT_EQ(registerAttempt(dedup, "id", "one", now, now), dedup_result::accepted);
    EXPECT_EQ(registerAttempt(dedup, "id", "two", now, now), dedup_result::duplicate);
    EXPECT_TRUE(advanceAttempt(dedup, "id", "one", dedup_stage::refused));
    EXPECT_EQ(registerAttempt(dedup, "id", "three", now, now), dedup_result::accepted)
        << "the first attempt certainly did not run";
}

TEST(dedup, anAttemptCancelledBeforeHandOverNeverRuns)
{
    dedup_state dedup;
    EXPECT_TRUE(cancelAttempt(dedup, "late", "one", now));
    EXPECT_EQ(registerAttempt(dedup, "late", "one", now, now), dedup_result::cancelled);
    EXPECT_EQ(registerAttempt(dedup, "late", "two", now, now), dedup_result::accepted);
    EXPECT_TRUE(cancelAttempt(dedup, "late", "two", now));
    EXPECT_FALSE(advanceAttempt(dedup, "late", "two", dedup_stage::handed_over));
}

TEST(admission, refusesRequestsForAnotherPool)
{
    auto admission = makeAdmission(1, 8);
    admission.pool.value = "desk";
    auto request = makeRequest(1);
    request.pool.value = "ledger";
    EXPECT_EQ(admit(admission, request, now).refused, refusal::no_target);
    // After a request was admitted, the target may be replaced by one of another pool.
    request.pool.value = "desk";
    EXPECT_TRUE(admit(admission, request, now).admitted);
    admission.pool.value = "ledger";
    EXPECT_EQ(checkHandOver(admission, request, now), refusal::no_target);
}

TEST(dedup, anAttemptHandedOverCanNotBeCancelled)
{
    dedup_state dedup;
    registerAttempt(dedup, "id", "one", now, now);
    EXPECT_TRUE(advanceAttempt(dedup, "id", "one", dedup_stage::handed_over));
    EXPECT_FALSE(cancelAttempt(dedup, "id", "one", now));
}

TEST(dedup, aRequestRegisteredAgainIsKeptForTheWholeRetention)
{
    dedup_state dedup;
    registerAttempt(dedup, "id", "one", now, now);
    EXPECT_TRUE(advanceAttempt(dedup, "id", "one", dedup_stage::refused));
    const auto again = now + dedup.retention - milliseconds(1);
    EXPECT_EQ(registerAttempt(dedup, "id", "two", again, now), dedup_result::accepted);
    EXPECT_TRUE(advanceAttempt(dedup, "id", "two", dedup_stage::handed_over));
    EXPECT_FALSE(cancelAttempt(dedup, "id", "two", again + milliseconds(2))) << "it is running";
    EXPECT_EQ(registerAttempt(dedup, "id", "three", again + milliseconds(2), now), dedup_result::duplicate);
    EXPECT_EQ(registerAttempt(dedup, "id", "three", again + dedup.retention, now), dedup_result::accepted);
}

TEST(dedup, anOrderIsRememberedAsLongAsItMayRun)
{
    dedup_state dedup;
    const auto deadline = now + dedup.retention * 3;
    registerAttempt(dedup, "id", "one", now, deadline);
    registerAttempt(dedup, "short", "one of it", now, now);
    EXPECT_TRUE(advanceAttempt(dedup, "id", "one", dedup_stage::handed_over));
    EXPECT_FALSE(cancelAttempt(dedup, "id", "one", deadline)) << "it may be running";
    EXPECT_EQ(registerAttempt(dedup, "id", "two", deadline, deadline), dedup_result::duplicate);
    EXPECT_FALSE(cancelAttempt(dedup, "id", "one", deadline + dedup.retention - milliseconds(1)));
    EXPECT_EQ(registerAttempt(dedup, "short", "two of it", deadline, deadline), dedup_result::accepted)
        << "one with a shorter deadline is forgotten before";
}

TEST(dedup, refusesWhenFullInsteadOfEvicting)
{
    dedup_state dedup;
    dedup.capacity = 1;
    EXPECT_EQ(registerAttempt(dedup, "a", "1", now, now), dedup_result::accepted);
    EXPECT_EQ(registerAttempt(dedup, "b", "2", now, now), dedup_result::full);
    EXPECT_EQ(registerAttempt(dedup, "b", "2", now + dedup.retention, now), dedup_result::accepted);
}

TEST(retry, ordersOfUnknownOutcomeAreNeverRepeated)
{
    retry_budget budget;
    retry_context context;
    context.result = attempt_result::unknown;
    context.deadline = now + seconds(5);
    EXPECT_FALSE(decideRetry(context, budget, {}, now).retry);
    context.idempotent = true;
    EXPECT_TRUE(decideRetry(context, budget, {}, now).retry);
}

TEST(retry, waitsForAMoveNoLongerThanTheLimit)
{
    retry_budget budget;
    retry_limits limits;
    limits.waitLimit = milliseconds(120);
    limits.movingWait = milliseconds(40);
    retry_context context;
    context.result = attempt_result::not_run;
    context.reason = refusal::not_owner;
    context.keyed = true;
    context.deadline = now + seconds(5);
    std::uint32_t attempts = 1;
    for (auto at = now;; ++attempts) {
        context.attempts = attempts;
        const auto decision = decideRetry(context, budget, limits, at);
        if (!decision.retry) {
            break;
        }
        at += decision.wait;
        context.waited += decision.wait;
        ++context.waits;
    }
    EXPECT_EQ(context.waited, milliseconds(120))
        << "after that the caller is refused at once, with a time to retry after";
    EXPECT_EQ(attempts, 3U) << "waits of 40 and 80 ms";
}

// Retries at short, constant intervals sent each request to both owners of a moving slot every 20 ms.
TEST(retry, waitsForAMoveGrow)
{
    retry_budget budget;
    const retry_limits limits;
    retry_context context;
    context.result = attempt_result::not_run;
    context.reason = refusal::not_owner;
    context.keyed = true;
    context.deadline = now + seconds(5);
    std::vector<std::int64_t> waits;
    for (;; ++context.attempts) {
        const auto decision = decideRetry(context, budget, limits, now + context.waited);
        if (!decision.retry) {
            break;
        }
        waits.push_back(decision.wait.count());
        context.waited += decision.wait;
        ++context.waits;
    }
    EXPECT_EQ(waits, (std::vector<std::int64_t>{20, 40, 80, 160, 100}));
    EXPECT_EQ(context.waited, limits.waitLimit);
}

// A long wait must not use up the time in which a short one and a retry are still possible.
TEST(retry, aWaitBeyondTheDeadlineIsShortened)
{
    retry_budget budget;
    const retry_limits limits;
    retry_context context;
    context.result = attempt_result::not_run;
    context.reason = refusal::moving;
    context.keyed = true;
    context.waited = milliseconds(140);
    context.waits = 3;
    context.deadline = now + milliseconds(100);
    EXPECT_EQ(decideRetry(context, budget, limits, now).wait, limits.movingWait);
    context.deadline = now + limits.movingWait;
    EXPECT_FALSE(decideRetry(context, budget, limits, now).retry);
}

TEST(retry, retriesStayWithinTheBudgetWhenEverythingFails)
{
    retry_budget budget;
    const retry_limits limits;
    std::uint64_t attempts = 0;
    constexpr int requests = 1000;
    for (int request = 0; request < requests; ++request) {
        depositBudget(budget, limits);
        retry_context context;
        context.result = attempt_result::unknown;
        context.idempotent = true;
        context.deadline = now + seconds(5);
        for (context.attempts = 1;; ++context.attempts) {
            ++attempts;
            if (!decideRetry(context, budget, limits, now).retry) {
                break;
            }
        }
    }
    std::printf("figure attempts per request when everything fails: %.3f\n", static_cast<double>(attempts) / requests);
    EXPECT_LE(attempts, requests * 112U / 100U);
}

TEST(balance, prefersItsOwnDomainThenItsRegion)
{
    balance_state state;
    std::mt19937_64 random(1);
    std::vector<cell_member> members(3);
    const char *const regions[] = {"north", "north", "south"};
    const char *const domains[] = {"north-1", "north-2", "south-1"};
    std::vector<const cell_member *> list;
    for (int index = 0; index < 3; ++index) {
        members[index].id.value = std::to_string(index);
        members[index].region.value = regions[index];
        members[index].domain.value = domains[index];
        members[index].target.slots = 4;
        list.push_back(&members[index]);
    }
    const balancer_location place{{"9"}, {"north"}, {"north-1"}};
    EXPECT_EQ(chooseTarget(state, list, {}, place, random, now), &members[0]);
    EXPECT_EQ(chooseTarget(state, list, {members[0].id}, place, random, now), &members[1]);
    EXPECT_EQ(chooseTarget(state, list, {members[0].id, members[1].id}, place, random, now), &members[2]);
    for (int failure = 0; failure < 3; ++failure) {
        recordStart(state, members[0].id);
        recordResult(state, members[0].id, false, milliseconds(9), now);
    }
    EXPECT_EQ(chooseTarget(state, list, {}, place, random, now), &members[1]) << "ejected after failures";
    EXPECT_EQ(chooseTarget(state, list, {}, place, random, now + seconds(1)), &members[0])
        << "readmitted after the ejection";
}

TEST(balance, prefersTheTargetBesideItUntilThatIsBusier)
{
    balance_state state;
    std::mt19937_64 random(1);
    std::vector<cell_member> members(2);
    std::vector<const cell_member *> list;
    for (int index = 0; index < 2; ++index) {
        members[index].id.value = std::to_string(index);
        members[index].region.value = "north";
        members[index].domain.value = "north-1";
        members[index].target.slots = 4;
        list.push_back(&members[index]);
    }
    const balancer_location place{{"1"}, {"north"}, {"north-1"}};
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(chooseTarget(state, list, {}, place, random, now), &members[1]) << "the local target needs no link";
    }
    recordLoad(state, members[1].id, 0.5, now);
    EXPECT_EQ(chooseTarget(state, list, {}, place, random, now), &members[0]);
}

TEST(placement, movesAsLittleAsPossible)
{
    std::vector<cell_member> members(4);
    std::vector<slot_assignment> slots;
    for (std::uint32_t index = 0; index < 4; ++index) {
        members[index].id.value = std::to_string(index);
        members[index].target = {pool_id{"p"}, {}, 12, 100, true};
    }
    for (std::uint32_t number = 0; number < 240; ++number) {
        slots.push_back({{number}, {std::to_string(number % 3)}, {1}});
    }
    placement_rules rules;
    rules.movesAtOnce = 1000;
    const auto moves = planRebalance(members, {"p"}, slots, rules);
    EXPECT_LE(moves.size(), 60U) << "no more than the fair share of the new member";
    auto after = slots;
    for (const auto &move : moves) {
        after[move.slot.value].owner = move.to;
    }
    EXPECT_LE(imbalanceOf(members, {"p"}, after), 0.05);
    rules.goal = placement_goal::churn;
    EXPECT_LE(planRebalance(members, {"p"}, slots, rules).size(), 60U);
    EXPECT_TRUE(assignUnowned(members, {"p"}, slots).empty());
    members[0].target.pool.value = "other";
    EXPECT_TRUE(assignUnowned(members, {"p"}, slots).empty()) << "a live owner releases its slots itself";
}

} // namespace quetzalspool::test
