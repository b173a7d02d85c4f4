/** @file not_run_test.cpp "Not run" is reported only for orders that no target receives: local attempts and attempts
 * through other daemons.
 */
#include "not_run.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

TEST(notRun, aLostOrderIsNotRunOnlyIfItsDaemonConfirmsTheCancellation)
{
    const auto confirmed = outcomeOfLostOrder(200, {{"qs-cancelled", "1"}});
    EXPECT_EQ(confirmed.result, attempt_result::not_run);
    EXPECT_EQ(outcomeOfLostOrder(200, {{"qs-cancelled", "0"}}).result, attempt_result::unknown);
    EXPECT_EQ(outcomeOfLostOrder(200, {}).result, attempt_result::unknown);
    EXPECT_EQ(outcomeOfLostOrder(400, {{"qs-cancelled", "1"}}).result, attempt_result::unknown);
}

TEST(notRun, aLostOrderIsUnknownIfItsCancellationIsNotAnswered)
{
    routing_daemon daemon;
    daemon.add("other", [](peer_request request, std::shared_ptr<peer_responder> responder) -> asio::awaitable<void> {
        if (request.path == attemptPath) {
            abortResponse(*responder);
        }
        co_return;
    });
    EXPECT_EQ(daemon.route(*makeOrder("order")).result, attempt_result::unknown);
}

TEST(notRun, aRestartedDaemonDoesNotVouchForAnAttemptOfItsPreviousRun)
{
    for (const std::uint64_t incarnation : {7U, 8U}) {
        daemon_shared otherShared;
        traffic_thread other;
        otherShared.incarnation = {incarnation};
        other.shared = &otherShared;
        routing_daemon daemon;
        daemon.add("other",
                   [&](peer_request request, std::shared_ptr<peer_responder> responder) -> asio::awaitable<void> {
                       if (request.path == attemptPath) {
                           abortResponse(*responder);
                           co_return;
                       }
                       co_await handlePeerRequest(other, std::move(request), responder);
                   });
        const bool same = incarnation == daemon.cell->members.front().incarnation.value;
        EXPECT_EQ(daemon.route(*makeOrder("order")).result, same ? attempt_result::not_run : attempt_result::unknown);
    }
}

TEST(notRun, anOrderThatLosesItsTargetBeforeTheHandOverIsNeverSent)
{
    fake_target target(okResponse);
    local_daemon daemon(target);
    request_outcome outcome;
    const auto order = makeOrder("order");
    daemon.start(order, [&](const request_outcome &ended) { outcome = ended; });
    daemon.context.run_one(); // Admitted, and connecting.
    {
        const std::lock_guard lock(daemon.shared.admissionControl.mutex);
        EXPECT_EQ(daemon.shared.admissionControl.admission.inFlight, 1U);
        daemon.shared.admissionControl.admission.pool.value = "ledger";
    }
    daemon.context.run();
    EXPECT_EQ(outcome.result, attempt_result::not_run);
    EXPECT_EQ(outcome.reason, refusal::no_target);
    EXPECT_EQ(target.count("order"), 0U);
}

TEST(notRun, anOrderCancelledBeforeItArrivesNeverReachesTheTarget)
{
    fake_target target(okResponse);
    local_daemon daemon(target);
    EXPECT_TRUE(cancelLocalAttempt(daemon.shared, {7}, "order", "first"));
    EXPECT_EQ(daemon.run(makeOrder("order", "first")).result, attempt_result::not_run);
    EXPECT_EQ(target.count("order"), 0U);
    EXPECT_EQ(daemon.run(makeOrder("order", "second")).result, attempt_result::answered);
    EXPECT_FALSE(cancelLocalAttempt(daemon.shared, {7}, "order", "second"));
    EXPECT_EQ(daemon.run(makeOrder("order", "third")).reasonText, "duplicate");
    EXPECT_EQ(target.count("order"), 1U);
}

TEST(notRun, anOrderWhoseDaemonCanNotBeReachedIsNotSentLater)
{
    routing_daemon daemon;
    int received = 0;
    daemon.add("other", [&](peer_request, std::shared_ptr<peer_responder>) -> asio::awaitable<void> {
        ++received;
        co_return;
    });
    drainPeerServer(*daemon.servers.front());
    const auto outcome = daemon.route(*makeOrder("order"));
    EXPECT_EQ(outcome.result, attempt_result::not_run);
    EXPECT_EQ(outcome.reasonText, "daemon-unreachable");
    daemon.thread.context.restart();
    daemon.thread.context.run_for(milliseconds(200));
    EXPECT_EQ(received, 0);
}

TEST(notRun, aConfirmationThatComesAfterTheOrderWasForgottenProvesNothing)
{
    for (const bool late : {false, true}) {
        routing_daemon daemon;
        daemon.add("other", loseAndRespond(200, {{"qs-cancelled", "1"}}));
        auto order = *makeOrder("order");
        order.deadline = clock::now() - (late ? dedupRetention : milliseconds(100));
        EXPECT_EQ(daemon.route(order).result, late ? attempt_result::unknown : attempt_result::not_run);
    }
}

TEST(notRun, aResponseOfADaemonThatStatesNoOutcomeIsUnknown)
{
    for (const std::vector<http_header> &headers :
         {std::vector<http_header>{}, {{"qs-outcome", "notrun"}}, {{"qs-h-qs-outcome", "not-run"}}}) {
        routing_daemon daemon;
        daemon.add("other", respondWith(headers));
        EXPECT_EQ(daemon.route(*makeOrder("order")).result, attempt_result::unknown);
    }
}

TEST(notRun, anAttemptThatMayHaveRunMakesTheWholeRequestUnknown)
{
    routing_daemon daemon;
    daemon.add("first", respondWith({{"qs-outcome", "unknown"}, {"qs-text", "target-lost"}}));
    daemon.add("second", respondWith({{"qs-outcome", "not-run"}, {"qs-text", "overloaded"}}));
    for (int round = 0; round < 4; ++round) {
        auto lookup = *makeOrder("lookup");
        lookup.idempotent = true;
        daemon.thread.context.restart();
        const auto outcome = daemon.route(lookup);
        EXPECT_EQ(outcome.result, attempt_result::unknown);
        EXPECT_EQ(outcome.attempts, 2U);
    }
}

TEST(notRun, anOrderThatMayHaveRunIsNotSentToAnotherDaemon)
{
    routing_daemon daemon;
    int attempts = 0;
    const auto lose = [&attempts](peer_request request,
                                  std::shared_ptr<peer_responder> responder) -> asio::awaitable<void> {
        attempts += request.path == attemptPath ? 1 : 0;
        if (request.path == attemptPath) {
            abortResponse(*responder);
            co_return;
        }
        sendResponseHead(*responder, 200, {{"qs-cancelled", "0"}});
        endResponse(*responder);
    };
    daemon.add("first", lose);
    daemon.add("second", lose);
    EXPECT_EQ(daemon.route(*makeOrder("order")).result, attempt_result::unknown);
    EXPECT_EQ(attempts, 1);
}

TEST(notRun, anOrderCancelledInTheQueueNeverReachesTheTarget)
{
    fake_target target(okResponse, milliseconds(150));
    local_daemon daemon(target, 1);
    request_outcome second;
    daemon.start(makeOrder("first", "a"), [](const request_outcome &) {});
    daemon.start(makeOrder("second", "b"), [&](const request_outcome &ended) { second = ended; });
    daemon.context.run_for(milliseconds(50));
    EXPECT_FALSE(cancelLocalAttempt(daemon.shared, {7}, "first", "a")) << "handed over";
    EXPECT_TRUE(cancelLocalAttempt(daemon.shared, {7}, "second", "b"));
    daemon.context.restart();
    daemon.context.run_for(seconds(2));
    EXPECT_EQ(second.result, attempt_result::not_run);
    EXPECT_EQ(target.count("first"), 1U);
    EXPECT_EQ(target.count("second"), 0U);
}

TEST(notRun, anOrderWhoseCallerLeavesTheQueueNeverReachesTheTarget)
{
    fake_target target(okResponse, milliseconds(300));
    local_daemon daemon(target, 1);
    request_outcome second;
    const auto cancelled = std::make_shared<bool>(false);
    daemon.start(makeOrder("first", "a"), [](const request_outcome &) {});
    daemon.start(
        makeOrder("second", "b"), [&](const request_outcome &ended) { second = ended; }, makeSink(cancelled));
    daemon.context.run_for(milliseconds(50));
    *cancelled = true;
    daemon.context.run_for(seconds(2));
    EXPECT_EQ(second.reason, refusal::cancelled);
    EXPECT_EQ(target.count("second"), 0U);
}

TEST(notRun, confirmedCancellationsOfRacingOrdersNeverReachTheTarget)
{
    constexpr int orders = 3000;
    fake_target target(okResponse, milliseconds(1));
    local_daemon daemon(target, 2);
    daemon.shared.admissionControl.admission.limits.queue = orders;
    std::mt19937 random(20261204);
    std::vector<request_outcome> outcomes(orders);
    std::set<int> confirmed;
    std::atomic<int> started = 0;
    std::thread canceller([&] {
        for (int number = 0; number < orders; ++number) {
            while (started <= number) {
                std::this_thread::yield();
            }
            std::this_thread::sleep_for(std::chrono::microseconds(random() % 600));
            if (cancelLocalAttempt(daemon.shared, {7}, "o" + std::to_string(number), "t" + std::to_string(number))) {
                confirmed.insert(number);
            }
        }
    });
    const auto work = [&]() -> asio::awaitable<void> {
        for (int number = 0; number < orders; ++number) {
            daemon.start(makeOrder("o" + std::to_string(number), "t" + std::to_string(number)),
                         [&outcomes, number](const request_outcome &ended) { outcomes[number] = ended; });
            started = number + 1;
            co_await sleepFor(milliseconds(number % 3 == 0 ? 1 : 0));
        }
    };
    asio::co_spawn(daemon.context, work, asio::detached);
    daemon.context.run_for(seconds(20));
    canceller.join();
    std::size_t ran = 0;
    for (int number = 0; number < orders; ++number) {
        const auto received = target.count("o" + std::to_string(number));
        const bool claimed = confirmed.contains(number) || outcomes[number].result == attempt_result::not_run;
        EXPECT_TRUE(!claimed || received == 0) << "order " << number;
        EXPECT_LE(received, 1U);
        ran += received;
    }
    std::cout << "figure: confirmed " << confirmed.size() << ", ran " << ran << "\n";
    EXPECT_GT(confirmed.size(), 0U);
    EXPECT_GT(ran, 0U);
}

TEST(notRun, aTargetThatClosesTheConnectionMayHaveRunTheOrder)
{
    fake_target target("");
    local_daemon daemon(target);
    EXPECT_EQ(daemon.run(makeOrder("order", "a")).result, attempt_result::unknown);
    EXPECT_EQ(daemon.run(makeOrder("order", "b")).reasonText, "duplicate");
    EXPECT_EQ(target.count("order"), 1U);
}

TEST(notRun, aStatusThatPromisesItIsNotPassedOnForAnOrderThatMayHaveRun)
{
    for (const std::string status : {"408", "421", "429", "503", "500"}) {
        for (const bool idempotent : {false, true}) {
            fake_target target("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
            local_daemon daemon(target);
            daemon.shared.names.refusalStatusesPromise = true;
            const auto order = makeOrder("order");
            order->idempotent = idempotent;
            const auto expected = status == "421" ? attempt_result::not_run
                : idempotent || status == "500"   ? attempt_result::answered
                                                  : attempt_result::unknown;
            EXPECT_EQ(daemon.run(order).result, expected) << status << " " << idempotent;
        }
    }
}

TEST(notRun, inDeploymentsWithOutcomeHeadersAnyStatusIsTheTargetsAnswer)
{
    fake_target target("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    local_daemon daemon(target);
    EXPECT_EQ(daemon.run(makeOrder("order")).result, attempt_result::answered);
}

TEST(notRun, noRequestFollowsARefusalOnTheSameConnection)
{
    fake_target target("HTTP/1.1 503 X\r\nQuetzalspool-Not-Run: shed\r\nContent-Length: 0\r\n\r\n");
    local_daemon daemon(target);
    EXPECT_EQ(daemon.run(makeOrder("first", "a")).result, attempt_result::not_run);
    EXPECT_EQ(daemon.run(makeOrder("second", "b")).result, attempt_result::not_run);
    EXPECT_EQ(target.connections, 2U) << "a second copy of the refusal would be taken for the next response";
}

TEST(notRun, anOrderRefusedByTheTargetMayBeRegisteredAgain)
{
    fake_target target("HTTP/1.1 503 X\r\nQuetzalspool-Not-Run: shed\r\nContent-Length: 0\r\n\r\n");
    local_daemon daemon(target);
    EXPECT_EQ(daemon.run(makeOrder("order", "a")).result, attempt_result::not_run);
    EXPECT_FALSE(daemon.run(makeOrder("order", "b")).reasonText == "duplicate");
    EXPECT_EQ(target.count("order"), 2U);
}

TEST(notRun, aFullTableRefusesWithoutHandOver)
{
    fake_target target(okResponse);
    local_daemon daemon(target);
    daemon.shared.admissionControl.dedup.capacity = 1;
    EXPECT_EQ(daemon.run(makeOrder("first", "a")).result, attempt_result::answered);
    EXPECT_EQ(daemon.run(makeOrder("second", "b")).result, attempt_result::not_run);
    EXPECT_EQ(target.count("second"), 0U);
    EXPECT_FALSE(cancelLocalAttempt(daemon.shared, {7}, "third", "c")) << "it could not be remembered";
}

} // namespace quetzalspool::test
