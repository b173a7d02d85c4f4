/** @file not_run.h Targets and daemons for tests of what is said of requests that did not run. */
#ifndef NOT_RUN_H
#define NOT_RUN_H

#include "dedup_func.h"
#include "elapsed_clock.h"
#include "http_server.h"
#include "local_attempt.h"
#include "peer_handler.h"
#include "peer_wire.h"
#include "request_router.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <random>
#include <set>
#include <thread>

namespace quetzalspool::test {

using std::chrono::seconds;
using clock = elapsed_clock;

inline const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

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

inline std::shared_ptr<response_sink> makeSink(std::shared_ptr<bool> cancelled = std::make_shared<bool>(false))
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

inline std::shared_ptr<routed_request> makeOrder(const std::string &id, const std::string &attempt = "attempt")
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
inline peer_handler loseAndRespond(unsigned status, std::vector<http_header> headers)
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
inline peer_handler respondWith(std::vector<http_header> headers)
{
    return [headers](peer_request request, std::shared_ptr<peer_responder> responder) -> asio::awaitable<void> {
        sendResponseHead(*responder, 200,
                         request.path == attemptPath ? headers : std::vector<http_header>{{"qs-cancelled", "0"}});
        endResponse(*responder);
        co_return;
    };
}

inline request_outcome outcomeOfLostOrder(unsigned status, std::vector<http_header> headers)
{
    routing_daemon daemon;
    daemon.add("other", loseAndRespond(status, std::move(headers)));
    return daemon.route(*makeOrder("order"));
}

} // namespace quetzalspool::test

#endif // NOT_RUN_H
