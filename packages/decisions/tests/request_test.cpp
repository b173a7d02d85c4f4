/** @file request_test.cpp Admission, ledger, retries, the choice of targets, placement. */
#include "admission_func.h"
#include "balance_func.h"
#include "ledger_func.h"
#include "placement_func.h"
#include "retry_type.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const steady_time now{std::chrono::hours(1)};
const fenced_slot slot{pool_id{"p"}, {3}, {7}};

admission_state makeGate(std::uint32_t concurrency, std::uint32_t queue)
{
    admission_state gate;
    gate.hasTarget = true;
    gate.limits.concurrency = concurrency;
    gate.limits.queue = queue;
    setServed(gate, {{slot}, {}}, now + seconds(60), milliseconds(0), now - seconds(60));
    return gate;
}

admission_request ask(std::uint64_t id, request_class kind = request_class::lookup, milliseconds deadline = seconds(5))
{
    return {id, slot, kind, now + deadline};
}

} // namespace

TEST(admission, holdsToTheTargetsSlots)
{
    auto gate = makeGate(2, 1);
    EXPECT_TRUE(admit(gate, ask(1), now).admitted);
    EXPECT_TRUE(admit(gate, ask(2), now).admitted);
    EXPECT_TRUE(admit(gate, ask(3), now).queued);
    const auto refused = admit(gate, ask(4), now);
    EXPECT_EQ(refused.refused, refusal::overloaded);
    EXPECT_GT(refused.retryAfter.count(), 0);
    finish(gate, ask(1), true, milliseconds(5), now);
    const auto decided = advanceQueue(gate, now);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(decided.front().verdict.admitted);
}

TEST(admission, ordersGoBeforeLookupsAndEarlierDeadlinesFirst)
{
    auto gate = makeGate(1, 8);
    admit(gate, ask(1), now);
    admit(gate, ask(2, request_class::lookup, seconds(4)), now);
    admit(gate, ask(3, request_class::lookup, seconds(2)), now);
    admit(gate, ask(4, request_class::order, seconds(5)), now);
    std::vector<std::uint64_t> order;
    for (int round = 0; round < 3; ++round) {
        finish(gate, ask(0), true, milliseconds(5), now);
        order.push_back(advanceQueue(gate, now).front().id);
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{4, 3, 2}));
}

TEST(admission, anOrderTakesThePlaceOfTheLeastUrgentLookupInAFullQueue)
{
    auto gate = makeGate(1, 2);
    admit(gate, ask(1), now);
    admit(gate, ask(2, request_class::lookup, seconds(2)), now);
    admit(gate, ask(3, request_class::lookup, seconds(4)), now);
    EXPECT_EQ(admit(gate, ask(4, request_class::lookup, seconds(1)), now).refused, refusal::overloaded);
    EXPECT_TRUE(admit(gate, ask(5, request_class::order), now).queued);
    const auto decided = advanceQueue(gate, now);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.front().id, 3U);
    EXPECT_EQ(decided.front().verdict.refused, refusal::overloaded);
    EXPECT_TRUE(admit(gate, ask(6, request_class::order), now).queued);
    EXPECT_EQ(admit(gate, ask(7, request_class::order), now).refused, refusal::overloaded) << "only orders are left";
}

TEST(admission, anUrgentLookupTakesThePlaceOfALessUrgentOneInAFullQueue)
{
    auto gate = makeGate(1, 2);
    const auto ranked = [](std::uint64_t id, std::uint32_t rank) {
        auto request = ask(id);
        request.rank = rank;
        return request;
    };
    admit(gate, ranked(1, 2), now);
    admit(gate, ranked(2, 2), now);
    admit(gate, ranked(3, 2), now);
    EXPECT_EQ(admit(gate, ranked(4, 2), now).refused, refusal::overloaded) << "equally urgent ones keep their places";
    EXPECT_TRUE(admit(gate, ranked(5, 1), now).queued);
    const auto decided = advanceQueue(gate, now);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.front().verdict.refused, refusal::overloaded)
        << "the one that lost its place hears of it at once";
    EXPECT_TRUE(admit(gate, ranked(6, 1), now).queued);
    EXPECT_EQ(admit(gate, ranked(7, 1), now).refused, refusal::overloaded) << "only urgent ones are left";
}

TEST(admission, whatCanStillEndInTimeIsToldByTheWorkOfItsKind)
{
    auto gate = makeGate(2, 8);
    gate.goalBound = true;
    gate.serviceMs = 400;
    gate.limits.stallLimit = seconds(60);
    const auto finished = [&](std::uint32_t rank, milliseconds service) {
        auto request = ask(1);
        request.rank = rank;
        EXPECT_TRUE(admit(gate, request, now).admitted);
        finish(gate, request, true, service, now);
    };
    finished(1, milliseconds(50));
    finished(2, milliseconds(600));
    EXPECT_TRUE(admit(gate, ask(1), now).admitted);
    EXPECT_TRUE(admit(gate, ask(2), now).admitted);
    auto call = ask(3, request_class::lookup, milliseconds(300));
    call.rank = 1;
    call.goal = now + milliseconds(200);
    auto sheet = ask(4, request_class::lookup, milliseconds(5000));
    EXPECT_TRUE(admit(gate, call, now).queued);
    EXPECT_TRUE(admit(gate, sheet, now).queued);
    EXPECT_TRUE(advanceQueue(gate, now + milliseconds(250)).empty()) << "a call of 50 ms still ends in time";
    EXPECT_EQ(advanceQueue(gate, now + milliseconds(280)).size(), 1U) << "now it can't";
    const auto late = advanceQueue(gate, now + milliseconds(4750));
    ASSERT_EQ(late.size(), 1U) << "work of 600 ms can't end in 250 ms";
    EXPECT_EQ(late.front().verdict.refused, refusal::too_late);
}

TEST(admission, refusesAtOnceWhatCanNotBeDoneInTime)
{
    auto gate = makeGate(1, 100);
    gate.serviceMs = 100;
    admit(gate, ask(1), now);
    EXPECT_EQ(admit(gate, ask(2, request_class::lookup, milliseconds(150)), now).refused, refusal::overloaded);
    EXPECT_TRUE(admit(gate, ask(3, request_class::lookup, milliseconds(250)), now).queued);
}

TEST(admission, aLeaseThatRanOutStopsAdmissionAndHandOver)
{
    auto gate = makeGate(2, 1);
    ASSERT_TRUE(admit(gate, ask(1), now).admitted);
    gate.leaseUntil = now;
    EXPECT_EQ(admit(gate, ask(2), now).refused, refusal::no_lease);
    EXPECT_EQ(checkHandOver(gate, ask(1), now), refusal::no_lease);
}

// A daemon that starts again beside a living target may have its lease before the target asks for it the next time.
TEST(admission, aTargetThatChecksGrantsGetsNothingBeforeItHasHeardOfTheLease)
{
    auto gate = makeGate(2, 1);
    gate.toldUntil = now;
    EXPECT_EQ(admit(gate, ask(1), now).refused, refusal::no_lease) << "it would refuse, as a repeat that counts";
    EXPECT_EQ(checkHandOver(gate, ask(1), now), refusal::no_lease);
    gate.toldUntil = now + milliseconds(250);
    EXPECT_TRUE(admit(gate, ask(1), now).admitted);
    EXPECT_EQ(checkHandOver(gate, ask(1), now), refusal::none);
    gate.leaseUntil = now;
    EXPECT_EQ(checkHandOver(gate, ask(1), now), refusal::no_lease) << "the lease itself counts as before";
}

TEST(admission, aClosedSlotTakesNothingNewAndDrains)
{
    auto gate = makeGate(2, 1);
    ASSERT_TRUE(admit(gate, ask(1), now).admitted);
    closeSlot(gate, slot);
    EXPECT_EQ(admit(gate, ask(2), now).refused, refusal::moving);
    EXPECT_EQ(checkHandOver(gate, ask(1), now), refusal::none) << "what was admitted is not cut";
    EXPECT_FALSE(isDrained(gate, slot));
    finish(gate, ask(1), true, milliseconds(5), now);
    EXPECT_TRUE(isDrained(gate, slot));
}

TEST(admission, nothingIsHandedOverUnderAFenceThatWasLostInAPause)
{
    auto gate = makeGate(2, 1);
    ASSERT_TRUE(admit(gate, ask(1), now).admitted);
    closeSlot(gate, slot);
    setServed(gate, {{}, {slot}}, now + seconds(60), milliseconds(0), now);
    EXPECT_EQ(checkHandOver(gate, ask(1), now), refusal::none) << "it is still being given back";
    // The process pauses, its term ends, another daemon gets the slot; then it joins again under a new lease.
    setServed(gate, {{}, {}}, now + seconds(120), milliseconds(0), now + seconds(61));
    auto late = ask(1);
    late.deadline = now + seconds(90);
    EXPECT_EQ(checkHandOver(gate, late, now + seconds(62)), refusal::not_owner);
    finish(gate, late, false, milliseconds(5), now + seconds(62));
    EXPECT_TRUE(isDrained(gate, slot));
}

TEST(admission, aLeavingTargetGetsNothingNewOfItsKeysEitherOnceTheLimitIsOver)
{
    auto gate = makeGate(4, 4);
    gate.limits.leaveLimit = milliseconds(1500);
    setLeaving(gate, true, now);
    EXPECT_TRUE(admit(gate, ask(1), now + milliseconds(1400)).admitted) << "until its keys are given to others";
    // The write that gives them away may stay without an answer for seconds.
    setLeaving(gate, true, now + milliseconds(1450));
    EXPECT_EQ(admit(gate, ask(2), now + milliseconds(1500)).refused, refusal::leaving);
    EXPECT_EQ(checkHandOver(gate, ask(1), now + milliseconds(1500)), refusal::leaving) << "what still waits to be sent";
    setLeaving(gate, false, now + milliseconds(1600));
    EXPECT_TRUE(admit(gate, ask(3), now + milliseconds(1700)).admitted) << "a new life of the target";
}

TEST(admission, aStalledTargetIsProbedByOneRequestOnly)
{
    auto gate = makeGate(4, 4);
    admit(gate, ask(1), now);
    const auto later = now + seconds(3);
    EXPECT_EQ(admit(gate, ask(2), later).refused, refusal::stalled);
    finish(gate, ask(1), false, seconds(3), later);
    EXPECT_TRUE(admit(gate, {5, slot, request_class::lookup, later + seconds(9)}, later).admitted);
    EXPECT_FALSE(admit(gate, {6, slot, request_class::lookup, later + seconds(9)}, later).admitted);
}

TEST(admission, anOlderFenceIsRefused)
{
    auto gate = makeGate(4, 4);
    auto old = ask(1);
    old.slot->fence = {6};
    EXPECT_EQ(admit(gate, old, now).refused, refusal::not_owner);
}

TEST(ledger, aDuplicateDoesNotRun)
{
    ledger_state ledger;
    EXPECT_EQ(enterRequest(ledger, "id", "one", now), ledger_verdict::fresh);
    EXPECT_EQ(enterRequest(ledger, "id", "two", now), ledger_verdict::duplicate);
    EXPECT_TRUE(advanceRequest(ledger, "id", "one", ledger_stage::refused));
    EXPECT_EQ(enterRequest(ledger, "id", "three", now), ledger_verdict::fresh) << "it was proved not run";
}

TEST(ledger, cancelledBeforeHandOverNeverRunsWhateverArrives)
{
    ledger_state ledger;
    EXPECT_TRUE(cancelRequest(ledger, "late", "one", now));
    EXPECT_EQ(enterRequest(ledger, "late", "one", now), ledger_verdict::cancelled);
    EXPECT_EQ(enterRequest(ledger, "late", "two", now), ledger_verdict::fresh);
    EXPECT_TRUE(cancelRequest(ledger, "late", "two", now));
    EXPECT_FALSE(advanceRequest(ledger, "late", "two", ledger_stage::handed_over));
}

TEST(admission, aTargetOfAnotherPoolGetsNothing)
{
    auto gate = makeGate(1, 8);
    gate.pool.value = "desk";
    auto request = ask(1);
    request.pool.value = "ledger";
    EXPECT_EQ(admit(gate, request, now).refused, refusal::no_target);
    // The target may be replaced by one of another pool after a request was admitted.
    request.pool.value = "desk";
    EXPECT_TRUE(admit(gate, request, now).admitted);
    gate.pool.value = "ledger";
    EXPECT_EQ(checkHandOver(gate, request, now), refusal::no_target);
}

TEST(ledger, handedOverCanNotBeCancelled)
{
    ledger_state ledger;
    enterRequest(ledger, "id", "one", now);
    EXPECT_TRUE(advanceRequest(ledger, "id", "one", ledger_stage::handed_over));
    EXPECT_FALSE(cancelRequest(ledger, "id", "one", now));
}

TEST(ledger, refusesWhenFullInPlaceOfForgetting)
{
    ledger_state ledger;
    ledger.capacity = 1;
    EXPECT_EQ(enterRequest(ledger, "a", "1", now), ledger_verdict::fresh);
    EXPECT_EQ(enterRequest(ledger, "b", "2", now), ledger_verdict::full);
    EXPECT_EQ(enterRequest(ledger, "b", "2", now + ledger.window), ledger_verdict::fresh);
}

TEST(retry, ordersOfUnknownOutcomeAreNeverRepeated)
{
    retry_budget budget;
    retry_question question;
    question.result = attempt_result::unknown;
    question.deadline = now + seconds(5);
    EXPECT_FALSE(decideRetry(question, budget, {}, now).again);
    question.idempotent = true;
    EXPECT_TRUE(decideRetry(question, budget, {}, now).again);
}

TEST(retry, aMoveIsWaitedForNoLongerThanTheLimit)
{
    retry_budget budget;
    retry_limits limits;
    limits.waitLimit = milliseconds(120);
    limits.movingWait = milliseconds(40);
    retry_question question;
    question.result = attempt_result::not_run;
    question.reason = refusal::not_owner;
    question.keyed = true;
    question.deadline = now + seconds(5);
    std::uint32_t tries = 1;
    for (auto at = now;; ++tries) {
        question.attempts = tries;
        const auto answer = decideRetry(question, budget, limits, at);
        if (!answer.again) {
            break;
        }
        at += answer.wait;
        question.waited += answer.wait;
    }
    EXPECT_EQ(question.waited, milliseconds(120)) << "after that the caller hears at once when to come back";
    EXPECT_EQ(tries, 4U);
}

TEST(retry, failuresOfEverythingAddNoMoreThanTheBudget)
{
    retry_budget budget;
    const retry_limits limits;
    std::uint64_t attempts = 0;
    constexpr int requests = 1000;
    for (int request = 0; request < requests; ++request) {
        earnBudget(budget, limits);
        retry_question question;
        question.result = attempt_result::unknown;
        question.idempotent = true;
        question.deadline = now + seconds(5);
        for (question.attempts = 1;; ++question.attempts) {
            ++attempts;
            if (!decideRetry(question, budget, limits, now).again) {
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
    const balance_place place{{"9"}, {"north"}, {"north-1"}};
    EXPECT_EQ(chooseTarget(state, list, {}, place, random, now), &members[0]);
    EXPECT_EQ(chooseTarget(state, list, {members[0].id}, place, random, now), &members[1]);
    EXPECT_EQ(chooseTarget(state, list, {members[0].id, members[1].id}, place, random, now), &members[2]);
    for (int failure = 0; failure < 3; ++failure) {
        noteStart(state, members[0].id);
        noteEnd(state, members[0].id, false, milliseconds(9), now);
    }
    EXPECT_EQ(chooseTarget(state, list, {}, place, random, now), &members[1]) << "ejected on evidence";
    EXPECT_EQ(chooseTarget(state, list, {}, place, random, now + seconds(1)), &members[0]) << "and tried again";
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
    const balance_place place{{"1"}, {"north"}, {"north-1"}};
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(chooseTarget(state, list, {}, place, random, now), &members[1]) << "its answers pass no link";
    }
    noteBusy(state, members[1].id, 0.5, now);
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
    EXPECT_LE(moves.size(), 60U) << "no more than the newcomer's fair share";
    auto after = slots;
    for (const auto &move : moves) {
        after[move.slot.value].owner = move.to;
    }
    EXPECT_LE(imbalanceOf(members, {"p"}, after), 0.05);
    rules.goal = placement_goal::churn;
    EXPECT_LE(planRebalance(members, {"p"}, slots, rules).size(), 60U);
    EXPECT_TRUE(assignUnowned(members, {"p"}, slots).empty());
    members[0].target.pool.value = "other";
    EXPECT_TRUE(assignUnowned(members, {"p"}, slots).empty()) << "a living owner gives its slots back itself";
}

} // namespace quetzalspool::test
