/** @file planned_stop.h Daemon, target, caller and peer for tests of planned stops, driven step by step. */
#ifndef PLANNED_STOP_H
#define PLANNED_STOP_H

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

using clock = elapsed_clock;
using std::chrono::seconds;

inline constexpr milliseconds idleTime{300}; ///< A drain ends after this time without requests.
inline constexpr milliseconds beforeIdleEnd{150}; ///< Well before that time is over.
inline constexpr milliseconds afterIdleEnd{360}; ///< After that time is over.

inline std::string requestText(const std::string &path)
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

inline std::uint16_t freePort()
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
        auto message = encodeRequest(request, {}, clock::now());
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
inline routed_request peerAttempt(const std::string &path, std::string body)
{
    routed_request request;
    request.http = {"GET", path, {}, std::move(body)};
    request.id = path;
    request.attempt = path;
    request.pool.value = "desk";
    request.deadline = clock::now() + seconds(2);
    return request;
}

} // namespace quetzalspool::test

#endif // PLANNED_STOP_H
