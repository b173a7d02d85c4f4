/** @file goaway_test.cpp A stream that is reported as refused is never handled: GOAWAY, and bodies that are too long.
 */
#include "manual_peers.h"
#include "peer_client.h"

#include <gtest/gtest.h>
#include <random>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

} // namespace

// An order would run after its caller was told that it had not, if the GOAWAY waits for earlier bytes.
TEST(goaway, aRequestBeyondTheLastStreamOfAGoawayIsNeverHandled)
{
    recording_server server;
    server.responseBody = std::string(8000000, 'b');
    manual_client client(server.at);
    client.request("/large");
    server.pollUntilIdle();
    ASSERT_EQ(server.handled.count("/large"), 1U);
    drainPeerServer(*server.server);
    const auto stream = client.request("/order");
    server.pollUntilIdle();
    client.receiveUntilGoaway(server);
    ASSERT_TRUE(client.goawayReceived);
    const bool refused = stream > client.goawayLastStream;
    EXPECT_FALSE(refused && server.handled.contains("/order"))
        << "stream " << stream << " was handled, but the last stream of the GOAWAY is " << client.goawayLastStream;
}

TEST(goaway, aConnectionThatIsAcceptedDuringADrainGetsAGoaway)
{
    recording_server server;
    manual_client client(server.at);
    asio::post(server.context, [&] { drainPeerServer(*server.server); });
    client.request("/order");
    server.pollUntilIdle();
    client.receiveUntilGoaway(server);
    EXPECT_TRUE(client.goawayReceived);
    EXPECT_EQ(server.handled.count("/order"), client.goawayLastStream > 0 ? 1U : 0U);
}

TEST(goaway, requestsReportedAsNotProcessedWereNeverHandledInRandomStops)
{
    constexpr int rounds = 200;
    constexpr int calls = 12;
    constexpr unsigned seed = 20261204;
    std::cout << "seed " << seed << "\n";
    std::mt19937 random(seed);
    int refused = 0;
    for (int round = 0; round < rounds; ++round) {
        recording_server server;
        server.responseBody = std::string(random() % 2 == 0 ? 10 : 100000, 'b');
        asio::io_context clientContext{1};
        const auto client = makePeerClient(clientContext.get_executor());
        std::vector<std::shared_ptr<peer_call>> opened;
        for (int number = 0; number < calls; ++number) {
            const auto start = [&, number]() -> asio::awaitable<void> {
                co_await sleepFor(milliseconds(random() % 4));
                peer_request request{"/" + std::to_string(number), {}, ""};
                const auto call = co_await openCall(client, server.at, request, seconds(1));
                if (!call.call) {
                    co_return;
                }
                co_await readResponse(call.call, elapsed_clock::now() + milliseconds(50));
                if (classifyFailure(*call.call) == peer_failure::not_processed) {
                    ++refused;
                    EXPECT_FALSE(server.handled.contains(request.path)) << "round " << round << " call " << number;
                }
            };
            asio::co_spawn(clientContext, start, asio::detached);
        }
        const auto drainAfter = static_cast<int>(random() % 40);
        for (int turn = 0; turn < 400; ++turn) {
            if (turn == drainAfter) {
                asio::post(server.context, [&] { drainPeerServer(*server.server); });
            }
            if (random() % 2 == 0) {
                server.context.poll();
            } else {
                clientContext.poll();
            }
            if (turn % 10 == 0) {
                std::this_thread::sleep_for(std::chrono::microseconds(300));
            }
        }
    }
    std::cout << "figure: refused as not processed " << refused << "\n";
}

TEST(goaway, aRequestRefusedForItsSizeIsNeverHandled)
{
    recording_server server;
    const auto client = makePeerClient(server.context.get_executor());
    peer_failure failure = peer_failure::none;
    const auto work = [&]() -> asio::awaitable<void> {
        peer_request request{"/order", {}, std::string(maxRequestBodyBytes + 1, 'b')};
        const auto opened = co_await openCall(client, server.at, std::move(request), seconds(1));
        co_await readResponse(opened.call, elapsed_clock::now() + seconds(5));
        failure = classifyFailure(*opened.call);
        server.context.stop();
    };
    asio::co_spawn(server.context, work, asio::detached);
    server.context.run_for(seconds(20));
    EXPECT_EQ(failure, peer_failure::not_processed);
    EXPECT_TRUE(server.handled.empty());
}

TEST(goaway, aRequestInProgressAtAStopIsNotReportedAsRefused)
{
    recording_server server;
    server.holdsResponses = true;
    manual_client client(server.at);
    const auto first = client.request("/first");
    const auto last = client.request("/last");
    server.pollUntilIdle();
    ASSERT_EQ(server.held.size(), 2U);
    drainPeerServer(*server.server);
    client.receiveUntilGoaway(server);
    EXPECT_EQ(client.goawayLastStream, last);
    server.respondToHeld();
    server.pollUntilIdle();
    client.receive();
    EXPECT_EQ(client.closed,
              (std::map<std::int32_t, std::uint32_t>{{first, NGHTTP2_NO_ERROR}, {last, NGHTTP2_NO_ERROR}}));
}

TEST(goaway, aRequestWhoseBodyArrivesDuringAStopIsHandledAndAnswered)
{
    recording_server server;
    manual_client client(server.at);
    const auto stream = client.beginRequest("/order");
    server.pollUntilIdle();
    drainPeerServer(*server.server);
    client.receiveUntilGoaway(server);
    EXPECT_EQ(client.goawayLastStream, stream);
    client.sendRequestBody(stream, std::string(1000, 'b'));
    server.pollUntilIdle();
    client.receive();
    EXPECT_EQ(server.handled.count("/order"), 1U);
    EXPECT_EQ(client.closed, (std::map<std::int32_t, std::uint32_t>{{stream, NGHTTP2_NO_ERROR}}));
}

TEST(goaway, aSecondStopAcceptsNoStreamThatTheFirstOneRefused)
{
    recording_server server;
    server.responseBody = std::string(8000000, 'b');
    manual_client client(server.at);
    client.request("/large");
    server.pollUntilIdle();
    drainPeerServer(*server.server);
    client.request("/order");
    server.pollUntilIdle();
    drainPeerServer(*server.server);
    client.request("/later");
    server.pollUntilIdle();
    client.receiveUntilGoaway(server);
    for (int round = 0; round < 20; ++round) {
        server.context.poll();
        client.receive();
    }
    EXPECT_EQ(client.announced, (std::vector<std::int32_t>{1, 1}));
    EXPECT_EQ(server.handled, (std::multiset<std::string>{"/large"}));
}

// The session counts as finished once the last frame was taken from nghttp2, while it is still being written.
TEST(goaway, aResponseThatIsStillBeingWrittenDuringAStopIsNotCut)
{
    constexpr std::int32_t windowBytes = 128 * 1024; // As between daemons.
    constexpr int sendBufferBytes = 16384; // The kernel's initial size.
    recording_server server(sendBufferBytes);
    server.holdsResponses = true;
    server.responseBody = std::string(120000, 'b');
    manual_client client(server.at, windowBytes);
    const auto stream = client.request("/large");
    server.pollUntilIdle();
    ASSERT_EQ(server.held.size(), 1U);
    drainPeerServer(*server.server);
    client.receiveUntilGoaway(server);
    server.respondToHeld();
    server.pollUntilIdle();
    const auto until = elapsed_clock::now() + seconds(5);
    while (!client.closed.contains(stream) && elapsed_clock::now() < until && client.socket.is_open()) {
        server.context.poll();
        client.receive();
        client.send();
    }
    EXPECT_EQ(client.bodyBytes[stream], server.responseBody.size());
    EXPECT_TRUE(client.closed.contains(stream));
}

// A new connection to the leaving daemon takes the place of the old one, whose calls are still in progress.
TEST(goaway, aCallInProgressAtAStopKeepsItsKeepalive)
{
    recording_server server;
    server.holdsResponses = true;
    asio::io_context clientContext{1};
    const auto client = makePeerClient(clientContext.get_executor());
    const auto runFor = [&](milliseconds duration, bool serverResponds) {
        const auto until = elapsed_clock::now() + duration;
        while (elapsed_clock::now() < until) {
            serverResponds ? server.context.poll() : 0;
            clientContext.restart();
            clientContext.run_for(milliseconds(1));
        }
    };
    opened_call inProgress;
    opened_call later;
    const auto open = [&](opened_call &call, std::string path) -> asio::awaitable<void> {
        peer_request request{std::move(path), {}, ""};
        call = co_await openCall(client, server.at, std::move(request), seconds(1));
    };
    asio::co_spawn(clientContext, open(inProgress, "/order"), asio::detached);
    runFor(milliseconds(100), true);
    ASSERT_EQ(server.held.size(), 1U);
    drainPeerServer(*server.server);
    runFor(milliseconds(100), true);
    asio::co_spawn(clientContext, open(later, "/later"), asio::detached);
    runFor(milliseconds(100), true);
    ASSERT_FALSE(later.call);
    runFor(seconds(2), false);
    EXPECT_TRUE(isPeerUnresponsive(*inProgress.call));
}

} // namespace quetzalspool::test
