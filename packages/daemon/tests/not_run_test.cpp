/** @file not_run_test.cpp "Not run" is reported only for orders that no target receives: local attempts and attempts
 * through other daemons.
 */
#include "dedup_func.h"
#include "elapsed_clock.h"
#include "http_server.h"
#include "local_attempt.h"
#include "peer_handler.h"
#include "peer_wire.h"
#include "request_router.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <random>
#include <set>
#include <thread>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;
using clock = elapsed_clock;

const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/** A target on a thread of its own that records the paths of its requests and gives the same response to each. */
struct fake_target
{
    asio::io_context context{1}; ///< Context of the target.
    std::shared_ptr<tcp::acceptor> acceptor; ///< Listening socket.
    std::string response; ///< Response; empty closes the connection instead.
    milliseconds serviceTime{0}; ///< Time before each response.
    std::mutex mutex; ///< Guards the records.
    std::multiset<std::string> received; ///< Paths of the requests.
    std::size_t connections = 0; ///< Accepted connections.
    std::thread runner; ///< Runs the context.

    explicit fake_target(std::string answer, milliseconds service = milliseconds(0))
        : response(std::move(answer))
        , serviceTime(service)
    {
        last_reason why;
        acceptor = std::make_shared<tcp::acceptor>(*listenOn(context, {"127.0.0.1", 0}, why));
        asio::co_spawn(context, accept(), asio::detached);
        runner = std::thread([this] { context.run(); });
    }

    ~fake_target()
    {
        context.stop();
        runner.join();
    }

    endpoint address() const
    {
        return {"127.0.0.1", acceptor->local_endpoint().port()};
    }

    std::size_t count(const std::string &path)
    {
        const std::lock_guard lock(mutex);
        return received.count(path);
    }

    asio::awaitable<void> accept()
    {
        for (;;) {
            error_code code;
            auto socket = co_await acceptor->async_accept(redirectError(code));
            const std::lock_guard lock(mutex);
            ++connections;
            asio::co_spawn(context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string bytes;
        for (;;) {
            error_code code;
            const auto length =
                co_await asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", redirectError(code));
            if (code) {
                co_return;
            }
            const auto path = bytes.substr(6, bytes.find(' ', 6) - 6); // After "POST /".
            bytes.erase(0, length);
            {
                const std::lock_guard lock(mutex);
                received.insert(path);
            }
            if (response.empty()) {
                co_return;
            }
            if (serviceTime.count() > 0) {
                co_await sleepFor(serviceTime);
            }
            co_await asio::async_write(socket, asio::buffer(response), redirectError(code));
        }
    }
};

std::shared_ptr<response_sink> makeSink(std::shared_ptr<bool> cancelled = std::make_shared<bool>(false))
{
    auto sink = std::make_shared<response_sink>();
    sink->writeHead = [](unsigned, std::vector<http_header>, std::optional<std::uint64_t>) -> asio::awaitable<bool> {
        co_return true;
    };
    sink->writeChunk = [](std::string) -> asio::awaitable<bool> { co_return true; };
    sink->finish = [](bool) {};
    sink->isCancelled = [cancelled] { return *cancelled; };
    return sink;
}

std::shared_ptr<routed_request> makeOrder(const std::string &id, const std::string &attempt = "attempt")
{
    auto order = std::make_shared<routed_request>();
    order->http = {"POST", "/" + id, {}, ""};
    order->id = id;
    order->attempt = attempt;
    order->pool.value = "desk";
    order->deadline = clock::now() + seconds(5);
    return order;
}

/** The daemon beside a target. */
struct local_daemon
{
    daemon_shared shared; ///< Shared state.
    asio::io_context context{1}; ///< Context of the attempts.
    std::shared_ptr<target_client> client; ///< Connections to the target.

    explicit local_daemon(const fake_target &target, std::uint32_t concurrency = 4)
    {
        shared.incarnation = {7};
        shared.admissionControl.target = target.address();
        shared.admissionControl.admission.hasTarget = true;
        shared.admissionControl.admission.limits.concurrency = concurrency;
        client = makeTargetClient({shared.names.notRun, "", false});
    }

    /** Starts an attempt; `done` gets its outcome. */
    void start(std::shared_ptr<routed_request> order, std::function<void(const request_outcome &)> done,
               std::shared_ptr<response_sink> sink = makeSink())
    {
        asio::co_spawn(
            context,
            [this, order, sink, done]() -> asio::awaitable<void> {
                done(co_await attemptLocally(shared, client, order, sink));
            },
            asio::detached);
    }

    request_outcome run(std::shared_ptr<routed_request> order)
    {
        request_outcome outcome;
        start(std::move(order), [&](const request_outcome &ended) { outcome = ended; });
        context.restart();
        context.run();
        return outcome;
    }
};

/** A daemon that routes requests for the pool "desk" to other daemons, which respond as a test says. */
struct routing_daemon
{
    daemon_shared shared; ///< Shared state.
    traffic_thread thread; ///< Traffic thread, which also runs the other daemons.
    std::shared_ptr<cell_view> cell = std::make_shared<cell_view>(); ///< The other daemons.
    std::vector<std::shared_ptr<peer_server>> servers; ///< Their servers.

    routing_daemon()
    {
        shared.settings.instance.value = "self";
        shared.settings.host = "127.0.0.1";
        thread.shared = &shared;
        thread.peerClient = makePeerClient(thread.context.get_executor());
    }

    /** Adds another daemon. */
    void add(const std::string &name, peer_handler handler)
    {
        last_reason why;
        auto acceptor = listenOn(thread.context, {"127.0.0.1", 0}, why);
        cell_member member;
        member.id.value = name;
        member.incarnation = {7};
        member.endpoints.host = "127.0.0.1";
        member.endpoints.peers = acceptor->local_endpoint().port();
        member.target.pool.value = "desk";
        member.target.slots = 1;
        cell->members.push_back(member);
        servers.push_back(startPeerServer(std::move(*acceptor), std::move(handler)));
    }

    request_outcome route(routed_request request)
    {
        auto view = std::make_shared<routing_view>();
        view->pools[{"desk"}].row.keyed = false;
        view->cells[{"cell"}] = cell;
        shared.routing.store(view);
        request_outcome outcome;
        request_trace trace;
        const auto work = [&]() -> asio::awaitable<void> {
            outcome = co_await routeRequest(thread, std::move(request), makeSink(), trace);
            thread.context.stop();
        };
        asio::co_spawn(thread.context, work, asio::detached);
        thread.context.run_for(seconds(8));
        return outcome;
    }
};

/** A daemon that loses every attempt and responds to its cancellation with these headers and this status. */
peer_handler loseAndRespond(unsigned status, std::vector<http_header> headers)
{
    return [status, headers](peer_request request, std::shared_ptr<peer_responder> responder) -> asio::awaitable<void> {
        if (request.path == attemptPath) {
            abortResponse(*responder);
            co_return;
        }
        sendResponseHead(*responder, status, headers);
        endResponse(*responder);
    };
}

/** A daemon that responds to every attempt with these headers. */
peer_handler respondWith(std::vector<http_header> headers)
{
    return [headers](peer_request request, std::shared_ptr<peer_responder> responder) -> asio::awaitable<void> {
        sendResponseHead(*responder, 200,
                         request.path == attemptPath ? headers : std::vector<http_header>{{"qs-cancelled", "0"}});
        endResponse(*responder);
        co_return;
    };
}

request_outcome outcomeOfLostOrder(unsigned status, std::vector<http_header> headers)
{
    routing_daemon daemon;
    daemon.add("other", loseAndRespond(status, std::move(headers)));
    return daemon.route(*makeOrder("order"));
}

} // namespace

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
