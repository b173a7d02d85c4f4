/** @file peer_test.cpp Requests between daemons: concurrent responses, aborts, GOAWAY, and unresponsive peers. */
#include "elapsed_clock.h"
#include "http_server.h"
#include "peer_client.h"
#include "peer_server.h"

#include <gtest/gtest.h>
#include <iostream>
#include <thread>

namespace quetzalspool::test {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::seconds;

/** A server and a client on one thread. */
struct peer_pair
{
    asio::io_context context{1}; ///< Context of server and client.
    std::shared_ptr<peer_server> server; ///< Server.
    std::shared_ptr<peer_client> client; ///< Client.
    endpoint at; ///< Address of the server.

    explicit peer_pair(peer_handler handler)
    {
        last_reason why;
        auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
        at = {"127.0.0.1", acceptor->local_endpoint().port()};
        server = startPeerServer(std::move(*acceptor), std::move(handler));
        client = makePeerClient(context.get_executor());
    }

    template <typename Work>
    void run(Work work)
    {
        asio::co_spawn(context, work(), [this](const std::exception_ptr &) { context.stop(); });
        context.restart();
        context.run_for(seconds(20));
    }
};

/** Responds with the body of the request; path "/slow" responds late, "/break" aborts the response. */
asio::awaitable<void> echo(peer_request request, std::shared_ptr<peer_responder> responder)
{
    if (request.path == "/slow") {
        co_await sleepFor(milliseconds(100));
    }
    sendResponseHead(*responder, 200, {{"x-path", request.path}});
    co_await sendBodyChunk(responder, request.body);
    if (request.path == "/break") {
        co_await sleepFor(milliseconds(20));
        abortResponse(*responder);
        co_return;
    }
    endResponse(*responder);
}

} // namespace

TEST(peer, outOfOrderResponsesReachTheirRequests)
{
    peer_pair pair(echo);
    int right = 0;
    pair.run([&]() -> asio::awaitable<void> {
        std::vector<std::shared_ptr<peer_call>> calls;
        for (int number = 0; number < 20; ++number) {
            peer_request request{number % 2 == 0 ? "/slow" : "/fast", {}, std::to_string(number)};
            auto opened = co_await openCall(pair.client, pair.at, request, seconds(1));
            calls.push_back(opened.call);
        }
        for (int number = 19; number >= 0; --number) {
            const auto response = co_await readResponse(calls[number], clock::now() + seconds(2));
            right += response && response->body == std::to_string(number) ? 1 : 0;
        }
    });
    EXPECT_EQ(right, 20);
}

TEST(peer, aLargeBodyStreamsBothWays)
{
    peer_pair pair(echo);
    const std::string body(3000000, 'b');
    std::optional<http_response> response;
    pair.run([&]() -> asio::awaitable<void> {
        peer_request request{"/fast", {}, body};
        auto opened = co_await openCall(pair.client, pair.at, request, seconds(1));
        response = co_await readResponse(opened.call, clock::now() + seconds(5));
    });
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->body.size(), body.size());
}

TEST(peer, anAbortedResponseIsNeverComplete)
{
    peer_pair pair(echo);
    std::optional<http_response> response;
    peer_failure failure = peer_failure::none;
    pair.run([&]() -> asio::awaitable<void> {
        peer_request request{"/break", {}, "half"};
        auto opened = co_await openCall(pair.client, pair.at, request, seconds(1));
        response = co_await readResponse(opened.call, clock::now() + seconds(2));
        failure = classifyFailure(*opened.call);
    });
    EXPECT_FALSE(response.has_value());
    EXPECT_EQ(failure, peer_failure::unclear);
}

TEST(peer, aRequestAfterGoawayGoesToANewConnectionOrIsProvedNotProcessed)
{
    peer_pair pair(echo);
    std::optional<http_response> under;
    pair.run([&]() -> asio::awaitable<void> {
        peer_request request{"/slow", {}, "under way"};
        auto opened = co_await openCall(pair.client, pair.at, request, seconds(1));
        co_await sleepFor(milliseconds(20));
        drainPeerServer(*pair.server);
        peer_request late{"/fast", {}, "late"};
        auto second = co_await openCall(pair.client, pair.at, late, seconds(1));
        const auto response = co_await readResponse(second.call, clock::now() + seconds(1));
        EXPECT_TRUE(response.has_value() || classifyFailure(*second.call) == peer_failure::not_processed);
        under = co_await readResponse(opened.call, clock::now() + seconds(2));
    });
    ASSERT_TRUE(under.has_value()) << "requests in progress must not be aborted";
    EXPECT_EQ(under->body, "under way");
}

TEST(peer, aFailedConnectSendsNothing)
{
    peer_pair pair(echo);
    opened_call opened;
    pair.run([&]() -> asio::awaitable<void> {
        peer_request request{"/fast", {}, ""};
        const endpoint nobody{"127.0.0.1", 1};
        opened = co_await openCall(pair.client, nobody, request, milliseconds(300));
    });
    EXPECT_EQ(opened.call, nullptr);
    EXPECT_EQ(opened.why.step, "connect");
}

TEST(peer, anUnresponsiveDaemonIsDetectedAndGetsNoNewRequests)
{
    asio::io_context context{1};
    last_reason why;
    // The kernel accepts connections and data, but nothing responds, like an instance that is frozen.
    auto acceptor = std::make_shared<tcp::acceptor>(*listenOn(context, {"127.0.0.1", 0}, why));
    const endpoint at{"127.0.0.1", acceptor->local_endpoint().port()};
    const auto client = makePeerClient(context.get_executor());
    bool early = true;
    bool unresponsive = false;
    bool refused = false;
    auto work = [&]() -> asio::awaitable<void> {
        peer_request request{"/x", {}, ""};
        const auto first = co_await openCall(client, at, request, seconds(1));
        co_await sleepFor(milliseconds(500));
        early = isPeerUnresponsive(*first.call);
        co_await sleepFor(milliseconds(1000));
        unresponsive = isPeerUnresponsive(*first.call);
        const auto second = co_await openCall(client, at, request, seconds(1));
        refused = second.call == nullptr;
        context.stop();
    };
    asio::co_spawn(context, work, asio::detached);
    context.run_for(seconds(10));
    EXPECT_FALSE(early) << "half a second without bytes is too short";
    EXPECT_TRUE(unresponsive);
    EXPECT_TRUE(refused) << "nothing may be sent, so that the request is known as not executed";
}

TEST(peer, aSlowDaemonIsNotUnresponsive)
{
    peer_pair pair([](peer_request request, std::shared_ptr<peer_responder> responder) -> asio::awaitable<void> {
        co_await sleepFor(milliseconds(3000));
        co_await echo(std::move(request), responder);
    });
    bool unresponsive = true;
    std::optional<http_response> response;
    pair.run([&]() -> asio::awaitable<void> {
        peer_request request{"/x", {}, ""};
        const auto opened = co_await openCall(pair.client, pair.at, request, seconds(1));
        co_await sleepFor(milliseconds(2800));
        unresponsive = isPeerUnresponsive(*opened.call);
        // Another call must not close the idle session as unresponsive.
        const auto other = co_await openCall(pair.client, pair.at, request, seconds(1));
        response = co_await readResponse(opened.call, clock::now() + seconds(5));
        cancelCall(*other.call);
    });
    EXPECT_FALSE(unresponsive);
    EXPECT_TRUE(response.has_value());
}

TEST(peer, aConnectRacingItsTimeoutIsSafe)
{
    peer_pair pair(echo);
    int answered = 0;
    for (int round = 0; round < 300; ++round) {
        const auto client = makePeerClient(pair.context.get_executor());
        auto work = [&]() -> asio::awaitable<void> {
            peer_request request{"/quick", {}, "x"};
            const auto opened = co_await openCall(client, pair.at, std::move(request), milliseconds(2));
            if (opened.call) {
                const auto response = co_await readResponse(opened.call, elapsed_clock::now() + seconds(1));
                answered += response && response->status == 200 ? 1 : 0;
            }
        };
        asio::co_spawn(pair.context, work, asio::detached);
        pair.context.restart();
        pair.context.poll_one(); // Starts connecting; then the connection and its timeout complete together.
        std::this_thread::sleep_for(milliseconds(4));
        pair.context.run_for(milliseconds(5));
    }
    std::cout << "figure answered " << answered << " of 300\n";
    EXPECT_GT(answered, 0) << "connections made in time are used";
}

} // namespace quetzalspool::test
