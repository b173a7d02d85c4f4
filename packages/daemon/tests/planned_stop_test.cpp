/** @file planned_stop_test.cpp The last phase of a planned stop: what was taken is answered, the rest is never read. */
#include "elapsed_clock.h"
#include "http_client.h"
#include "http_server.h"
#include "peer_wire.h"
#include "traffic_start.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <iostream>
#include <mutex>
#include <random>
#include <set>

namespace quetzalspool::test {

namespace {

using clock = elapsed_clock;
using std::chrono::seconds;

constexpr milliseconds idleTime{300}; ///< A drain ends after this time without requests.
constexpr milliseconds beforeIdleEnd{150}; ///< Well before that time is over.
constexpr milliseconds afterIdleEnd{360}; ///< After that time is over.

std::string requestText(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
}

/** A target that records which requests it executes and may hold back its responses. */
struct recording_target
{
    asio::io_context context{1}; ///< Context of the target.
    endpoint at; ///< Address of the target.
    std::mutex mutex; ///< Guards the members below.
    std::multiset<std::string> executed; ///< Paths of the requests that were executed.
    bool holds = false; ///< Whether responses are held back.
    milliseconds workTime{0}; ///< Time that a request takes.
    std::string body = "done"; ///< Body of the responses.

    recording_target()
    {
        last_reason why;
        auto acceptor = std::make_shared<tcp::acceptor>(*listenOn(context, {"127.0.0.1", 0}, why));
        at = {"127.0.0.1", acceptor->local_endpoint().port()};
        http_handler handler = [this](http_request request) { return execute(std::move(request)); };
        asio::co_spawn(context, serveHttp(acceptor, handler, {}), asio::detached);
    }

    asio::awaitable<http_response> execute(http_request request)
    {
        {
            const std::lock_guard lock(mutex);
            executed.insert(request.path);
        }
        co_await sleepFor(workTime);
        while (holds) {
            co_await sleepFor(milliseconds(1));
        }
        co_return http_response{200, {}, body};
    }

    std::size_t executedCount(const std::string &path)
    {
        const std::lock_guard lock(mutex);
        return executed.count(path);
    }
};

std::uint16_t freePort()
{
    asio::io_context context{1};
    last_reason why;
    return listenOn(context, {"127.0.0.1", 0}, why)->local_endpoint().port();
}

/** The traffic part of a daemon with one traffic thread, which routes every request to its own target. */
struct traffic_daemon
{
    daemon_shared shared; ///< Shared state.
    traffic_threads traffic; ///< The traffic thread.
    bool drained = false; ///< Whether the drain is complete.

    explicit traffic_daemon(const endpoint &target)
    {
        shared.settings.instance.value = "n1";
        shared.settings.host = "127.0.0.1";
        shared.settings.peersPort = freePort();
        initSharedState(shared);
        routing_view view;
        route_row route;
        route.name = "all";
        route.prefix = "/";
        route.pool.value = "desk";
        route.deadline = seconds(2);
        view.routes.push_back(route);
        view.pools[route.pool].row.name = route.pool;
        auto cell = std::make_shared<cell_view>();
        cell->members.push_back(describeSelf(shared));
        cell->members[0].target = {route.pool, target, 1000, 1000, false};
        view.cells[{"c"}] = cell;
        shared.routing.store(std::make_shared<const routing_view>(view));
        shared.admissionControl.target = target;
        shared.admissionControl.admission.hasTarget = true;
        shared.admissionControl.admission.limits.concurrency = 1000;
        last_reason why;
        EXPECT_TRUE(prepareTraffic(shared, traffic, why)) << describe(why);
    }

    [[nodiscard]] endpoint callers() const
    {
        return {"127.0.0.1", traffic.states[0]->callerAcceptor->local_endpoint().port()};
    }

    [[nodiscard]] endpoint peers() const
    {
        return {"127.0.0.1", shared.settings.peersPort};
    }

    asio::awaitable<void> drain(milliseconds limit)
    {
        shared.stopDeadline = clock::now() + limit;
        co_await drainTraffic(shared, traffic);
        drained = true;
    }
};

/** A caller's connection. Reads and writes only when the test says so. */
struct manual_caller
{
    asio::io_context context{1}; ///< Context of the socket.
    tcp::socket socket{context}; ///< Connection.
    std::string received; ///< Bytes received.
    bool ended = false; ///< Whether the connection was closed or reset.

    explicit manual_caller(const endpoint &to)
    {
        socket.connect(toAsioEndpoint<tcp>(to));
        socket.non_blocking(true);
    }

    void send(const std::string &text)
    {
        error_code ignored;
        asio::write(socket, asio::buffer(text), ignored);
    }

    void receive()
    {
        std::array<char, 4096> bytes{};
        error_code code;
        while (!code) {
            const auto length = socket.read_some(asio::buffer(bytes), code);
            received.append(bytes.data(), length);
        }
        ended = ended || code != asio::error::would_block;
    }

    /** Number of complete responses of the recording target. */
    [[nodiscard]] std::size_t responses() const
    {
        std::size_t count = 0;
        for (auto at = received.find("\r\n\r\ndone"); at != std::string::npos;
             at = received.find("\r\n\r\ndone", at + 1)) {
            ++count;
        }
        return count;
    }
};

/** A daemon, its target and the thread of the drain, which run only when the test says so. */
struct manual_stop
{
    recording_target target; ///< Target.
    traffic_daemon daemon{target.at}; ///< Daemon.
    asio::io_context control{1}; ///< Runs the drain.
    steady_time startedAt{}; ///< When the drain was started.

    /** Runs whatever is ready in the traffic thread and the target. */
    void runTrafficOnly()
    {
        auto &context = daemon.traffic.states[0]->context;
        context.restart();
        context.poll();
        target.context.poll();
        std::this_thread::sleep_for(std::chrono::microseconds(200));
    }

    void runAll()
    {
        control.restart();
        control.poll();
        runTrafficOnly();
    }

    void startDrain()
    {
        startedAt = clock::now();
        asio::co_spawn(control, daemon.drain(seconds(3)), asio::detached);
    }

    template <typename Condition>
    bool runUntil(bool withControl, Condition condition, milliseconds timeout = seconds(10))
    {
        const auto until = clock::now() + timeout;
        while (!condition() && clock::now() < until) {
            withControl ? runAll() : runTrafficOnly();
        }
        return condition();
    }

    void runUntilTime(bool withControl, milliseconds afterStart)
    {
        runUntil(withControl, [&] { return clock::now() >= startedAt + afterStart; });
    }

    /** Sends a request and runs until the caller has the response. */
    void serveOne(manual_caller &caller, const std::string &path)
    {
        const auto before = caller.responses();
        caller.send(requestText(path));
        EXPECT_TRUE(runUntil(true, [&] {
            caller.receive();
            return caller.responses() > before;
        }));
    }

    /** Runs until the drain is complete, then reads what the callers have got by then. */
    void finishDrain(const std::vector<manual_caller *> &callers)
    {
        EXPECT_TRUE(runUntil(true, [&] { return daemon.drained; }));
        for (auto *caller : callers) {
            caller->receive();
        }
    }
};

/** Another daemon, which sends one request and runs only when the test says so. */
struct manual_peer
{
    asio::io_context context{1}; ///< Context of the client.
    std::shared_ptr<peer_client> client = makePeerClient(context.get_executor()); ///< Client.
    std::optional<http_response> response; ///< The whole response, once it was received.
    bool ended = false; ///< Whether the request has ended, with or without a response.

    void start(const endpoint &to, routed_request request)
    {
        auto message = encodeRequest(request, clock::now());
        asio::co_spawn(context, call(to, std::move(message)), asio::detached);
    }

    asio::awaitable<void> call(endpoint to, peer_request message)
    {
        const auto opened = co_await openCall(client, to, std::move(message), seconds(5));
        if (opened.call) {
            response = co_await readResponse(opened.call, clock::now() + seconds(5));
        }
        ended = true;
    }
};

/** An attempt at the target of the daemon, as another daemon sends it. */
routed_request peerAttempt(const std::string &path, std::string body)
{
    routed_request request;
    request.http = {"GET", path, {}, std::move(body)};
    request.id = path;
    request.attempt = path;
    request.pool.value = "desk";
    request.deadline = clock::now() + seconds(2);
    return request;
}

} // namespace

TEST(plannedStop, aRequestTakenAfterTheLastCheckForRequestsIsAnswered)
{
    manual_stop stop;
    manual_caller caller(stop.daemon.callers());
    stop.serveOne(caller, "/first");
    stop.startDrain();
    stop.runUntilTime(true, beforeIdleEnd);
    stop.target.holds = true;
    caller.send(requestText("/late"));
    ASSERT_TRUE(stop.runUntil(false, [&] { return stop.target.executedCount("/late") == 1; }));
    stop.runUntilTime(false, afterIdleEnd);
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    EXPECT_FALSE(stop.daemon.drained) << "a request is at the target";
    stop.target.holds = false;
    stop.finishDrain({&caller});
    EXPECT_EQ(caller.responses(), 2U) << caller.received;
}

TEST(plannedStop, aRequestThatHasBegunToArriveIsAnswered)
{
    manual_stop stop;
    manual_caller caller(stop.daemon.callers());
    stop.serveOne(caller, "/first");
    stop.startDrain();
    stop.runUntilTime(true, beforeIdleEnd);
    const auto text = requestText("/split");
    caller.send(text.substr(0, 10));
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    EXPECT_FALSE(stop.daemon.drained) << "a part of a request was read";
    caller.send(text.substr(10));
    stop.finishDrain({&caller});
    EXPECT_EQ(caller.responses(), 2U) << caller.received;
    EXPECT_EQ(stop.target.executedCount("/split"), 1U);
}

TEST(plannedStop, idleConnectionsAreClosedBeforeTheEndAndNoLaterRequestIsExecuted)
{
    manual_stop stop;
    manual_caller idle(stop.daemon.callers());
    manual_caller fresh(stop.daemon.callers());
    manual_caller busy(stop.daemon.callers());
    stop.serveOne(idle, "/first");
    stop.serveOne(busy, "/second");
    stop.startDrain();
    stop.runUntilTime(true, beforeIdleEnd);
    stop.target.holds = true;
    busy.send(requestText("/busy"));
    ASSERT_TRUE(stop.runUntil(false, [&] { return stop.target.executedCount("/busy") == 1; }));
    stop.runUntilTime(false, afterIdleEnd);
    EXPECT_TRUE(stop.runUntil(
        true,
        [&] {
            idle.receive();
            fresh.receive();
            return idle.ended && fresh.ended;
        },
        seconds(1)))
        << "connections without a request stay open";
    idle.send(requestText("/later"));
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    stop.target.holds = false;
    stop.finishDrain({&idle, &busy});
    EXPECT_EQ(idle.responses(), 1U);
    EXPECT_EQ(stop.target.executedCount("/later"), 0U);
    EXPECT_EQ(busy.responses(), 2U) << busy.received;
}

TEST(plannedStop, aRequestThatArrivesAsIdleConnectionsAreClosedIsAnsweredOrNeverExecuted)
{
    manual_stop stop;
    manual_caller caller(stop.daemon.callers());
    stop.serveOne(caller, "/first");
    stop.startDrain();
    stop.runUntilTime(true, beforeIdleEnd);
    // Its bytes are on the socket, but the traffic thread does not run before the drain goes on.
    std::this_thread::sleep_until(clock::forTimers(stop.startedAt + afterIdleEnd));
    caller.send(requestText("/crossing"));
    stop.finishDrain({&caller});
    EXPECT_EQ(caller.responses(), 1 + stop.target.executedCount("/crossing")) << caller.received;
}

TEST(plannedStop, aRequestPipelinedBehindTheLastOneIsAnsweredOrNeverExecuted)
{
    for (const bool beforeTheStop : {true, false}) {
        manual_stop stop;
        manual_caller caller(stop.daemon.callers());
        stop.serveOne(caller, "/first");
        const auto begin = [&] {
            stop.target.holds = true;
            caller.send(requestText("/front") + requestText("/behind"));
            EXPECT_TRUE(stop.runUntil(false, [&] { return stop.target.executedCount("/front") == 1; }));
        };
        if (beforeTheStop) {
            begin();
        }
        stop.startDrain();
        stop.runUntilTime(true, beforeIdleEnd);
        if (!beforeTheStop) {
            begin();
        }
        stop.runUntilTime(true, afterIdleEnd);
        stop.target.holds = false;
        stop.finishDrain({&caller});
        EXPECT_EQ(caller.responses(), 2 + stop.target.executedCount("/behind")) << caller.received;
    }
}

TEST(plannedStop, aConnectionWhoseAcceptCompletesAsTheListenersCloseIsServed)
{
    manual_stop stop;
    manual_caller caller(stop.daemon.callers());
    caller.send(requestText("/accepted"));
    stop.startDrain();
    stop.control.poll(); // Posts the closing of the listeners; the traffic thread has not accepted the connection yet.
    stop.finishDrain({&caller});
    EXPECT_EQ(caller.responses(), stop.target.executedCount("/accepted")) << caller.received;
    EXPECT_TRUE(caller.ended);
}

TEST(plannedStop, aResponseThatAnotherDaemonHasNotReadYetIsWrittenToItsEnd)
{
    manual_stop stop;
    stop.target.body.assign(80000, 'b'); // More than may be in flight to a daemon that reads nothing.
    manual_peer peer;
    peer.start(stop.daemon.peers(), peerAttempt("/large", ""));
    EXPECT_TRUE(stop.runUntil(true, [&] {
        if (stop.target.executedCount("/large") == 0) {
            peer.context.poll();
        }
        return stop.target.executedCount("/large") == 1 && stop.daemon.shared.requestsInFlight == 0;
    }));
    stop.startDrain();
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    EXPECT_FALSE(stop.daemon.drained) << "a part of a response was not written";
    EXPECT_TRUE(stop.runUntil(true, [&] {
        peer.context.poll();
        return stop.daemon.drained;
    }));
    peer.context.run_for(seconds(1));
    ASSERT_TRUE(peer.response.has_value());
    EXPECT_EQ(peer.response->body, stop.target.body);
}

TEST(plannedStop, aRequestOfAnotherDaemonWhoseBodyIsStillArrivingIsAnswered)
{
    constexpr std::size_t bodyBytes = 4000000; // Many flow-control windows.
    manual_stop stop;
    manual_peer peer;
    peer.start(stop.daemon.peers(), peerAttempt("/body", std::string(bodyBytes, 'b')));
    for (int turn = 0; turn < 10; ++turn) {
        peer.context.poll();
        stop.runAll();
    }
    stop.startDrain();
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    EXPECT_FALSE(stop.daemon.drained) << "a part of a request was read";
    EXPECT_EQ(stop.target.executedCount("/body"), 0U);
    EXPECT_TRUE(stop.runUntil(true, [&] {
        peer.context.poll();
        return stop.daemon.drained;
    }));
    peer.context.run_for(seconds(1));
    EXPECT_EQ(stop.target.executedCount("/body"), 1U);
    ASSERT_TRUE(peer.response.has_value());
    EXPECT_EQ(peer.response->body, stop.target.body);
}

namespace {

/** What the callers of the random stops have seen. */
struct stop_results
{
    std::size_t answered = 0; ///< Number of requests with a complete response.
    std::vector<std::string> unanswered; ///< Paths of the requests whose connection ended without one.
};

asio::awaitable<void> stopDaemon(std::shared_ptr<traffic_daemon> daemon)
{
    co_await daemon->drain(seconds(3));
    stopTraffic(daemon->traffic);
    daemon->traffic.states.clear(); // Closes all connections, as the end of the process does.
}

/** Sends one request on a connection that has been in use, and one more at a moment of the stop. */
asio::awaitable<void> callDuringStop(endpoint daemon, std::string path, steady_time sendAt, stop_results &results)
{
    const auto pool = makeHttpConnectionPool();
    last_reason why;
    const http_request warm{"GET", "/warm", {{"Host", "a.example"}}, ""};
    const auto first = co_await sendRequest(pool, daemon, warm, seconds(10), why);
    EXPECT_TRUE(first.has_value()) << describe(why);
    asio::steady_timer timer(co_await asio::this_coro::executor, clock::forTimers(sendAt));
    error_code code;
    co_await timer.async_wait(redirectError(code));
    const http_request request{"GET", path, {{"Host", "a.example"}}, ""};
    const auto response = co_await sendRequest(pool, daemon, request, seconds(10), why);
    if (response) {
        ++results.answered;
    } else {
        results.unanswered.push_back(path);
    }
}

} // namespace

TEST(plannedStop, noRequestIsExecutedAndLeftWithoutAResponseInRandomStops)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr std::size_t daemonCount = 24;
    constexpr std::size_t callersPerDaemon = 4;
    constexpr milliseconds warmUp{1000};
    std::mt19937_64 random(seed);
    recording_target target;
    target.workTime = milliseconds(10);
    std::thread targetThread([&] { target.context.run(); });
    stop_results results;
    {
        asio::io_context control{1};
        std::vector<std::shared_ptr<traffic_daemon>> daemons;
        const auto stopAt = clock::now() + warmUp;
        for (std::size_t number = 0; number < daemonCount; ++number) {
            const auto daemon = daemons.emplace_back(std::make_shared<traffic_daemon>(target.at));
            runTraffic(daemon->traffic);
            for (std::size_t caller = 0; caller < callersPerDaemon; ++caller) {
                const auto path = "/" + std::to_string(number) + "/" + std::to_string(caller);
                const auto sendAt = stopAt + idleTime - milliseconds(30) + milliseconds(random() % 60);
                asio::co_spawn(control, callDuringStop(daemon->callers(), path, sendAt, results), asio::detached);
            }
        }
        asio::steady_timer timer(control, clock::forTimers(stopAt));
        timer.async_wait([&](error_code) {
            for (const auto &daemon : daemons) {
                asio::co_spawn(control, stopDaemon(daemon), asio::detached);
            }
        });
        control.run();
    }
    target.context.stop();
    targetThread.join();
    const auto cut = std::count_if(results.unanswered.begin(), results.unanswered.end(),
                                   [&](const auto &path) { return target.executedCount(path) > 0; });
    std::cout << "figure: seed " << seed << ": " << results.answered << " answered, " << results.unanswered.size()
              << " not, of these " << cut << " executed\n";
    EXPECT_EQ(cut, 0);
    EXPECT_EQ(results.answered + results.unanswered.size(), daemonCount * callersPerDaemon);
}

} // namespace quetzalspool::test
