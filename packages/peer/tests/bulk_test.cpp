/** @file bulk_test.cpp Bulk responses between daemons over a slow link: they stay intact and yield to small ones. */
#include "bulk_sender.h"
#include "elapsed_clock.h"
#include "h2_session.h"
#include "http_server.h"
#include "peer_client.h"
#include "peer_server.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using clock = elapsed_clock;
using std::chrono::seconds;

constexpr std::size_t largeBytes = 90000; ///< Body bytes of a large response.
constexpr double linkBytesPerSecond = 10e6 / 8; ///< 10 Mbit/s.
constexpr std::size_t forwardBytes = 4096; ///< Most bytes that the link forwards at once.

/** A proxy with limited bandwidth from the server, which all clients share. */
struct slow_link
{
    asio::io_context &context; ///< Context of the proxy.
    endpoint server; ///< Address of the server.
    steady_time idleAt{}; ///< When all bytes received so far are forwarded.
    bool stalled = false; ///< Whether it forwards nothing from the server.

    asio::awaitable<void> forwardFromServer(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to)
    {
        std::string buffer(forwardBytes, '\0');
        for (error_code code; !code;) {
            const auto length = co_await from->async_read_some(asio::buffer(buffer), redirectError(code));
            while (stalled) {
                co_await sleepFor(milliseconds(5));
            }
            const std::chrono::duration<double> takes(static_cast<double>(length) / linkBytesPerSecond);
            idleAt = std::max(idleAt, clock::now()) + std::chrono::duration_cast<steady_time::duration>(takes);
            asio::steady_timer timer(context, idleAt);
            error_code ignored;
            co_await timer.async_wait(redirectError(ignored));
            co_await asio::async_write(*to, asio::buffer(buffer, length), redirectError(ignored));
        }
        error_code ignored;
        to->close(ignored);
    }

    static asio::awaitable<void> forwardToServer(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to)
    {
        std::string buffer(forwardBytes, '\0');
        for (error_code code; !code;) {
            const auto length = co_await from->async_read_some(asio::buffer(buffer), redirectError(code));
            error_code ignored;
            co_await asio::async_write(*to, asio::buffer(buffer, length), redirectError(ignored));
        }
        error_code ignored;
        to->close(ignored);
    }

    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor)
    {
        for (;;) {
            error_code code;
            const auto client = std::make_shared<tcp::socket>(co_await acceptor->async_accept(redirectError(code)));
            const auto upstream = std::make_shared<tcp::socket>(context);
            co_await upstream->async_connect(toAsioEndpoint<tcp>(server), redirectError(code));
            if (code) {
                co_return;
            }
            client->set_option(tcp::no_delay(true));
            asio::co_spawn(context, forwardFromServer(upstream, client), asio::detached);
            asio::co_spawn(context, forwardToServer(client, upstream), asio::detached);
        }
    }
};

/** A server behind the slow link, and clients that send it requests. */
struct slow_link_peers
{
    asio::io_context context{1}; ///< Context of server, link and clients.
    std::shared_ptr<peer_server> server; ///< Server.
    slow_link link{context, {}}; ///< Link to the server.
    endpoint at; ///< Address of the link.
    std::vector<std::shared_ptr<peer_client>> clients; ///< Clients, one per daemon.
    std::vector<double> smallLatenciesMs; ///< Latencies of small responses, in milliseconds.
    std::size_t largeCompleted = 0; ///< Large responses received.
    std::size_t corrupted = 0; ///< Responses that differ from those sent, and small ones that are missing.

    slow_link_peers()
    {
        last_reason why;
        auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
        link.server = {"127.0.0.1", acceptor->local_endpoint().port()};
        server = startPeerServer(std::move(*acceptor), respond);
        const auto outer = std::make_shared<tcp::acceptor>(*listenOn(context, {"127.0.0.1", 0}, why));
        at = {"127.0.0.1", outer->local_endpoint().port()};
        asio::co_spawn(context, link.accept(outer), asio::detached);
        for (int index = 0; index < 4; ++index) {
            clients.push_back(makePeerClient(context.get_executor()));
        }
    }

    static std::string makeBody(std::size_t bytes)
    {
        std::string body(bytes, '\0');
        for (std::size_t index = 0; index < bytes; ++index) {
            body[index] = static_cast<char>('a' + index * 7 % 26);
        }
        return body;
    }

    static asio::awaitable<void> respond(peer_request request, std::shared_ptr<peer_responder> responder)
    {
        const bool isLarge = request.path == "/large";
        if (isLarge) {
            sendAsBulk(*responder);
        }
        sendResponseHead(*responder, 200, {});
        co_await sendBodyChunk(responder, makeBody(isLarge ? largeBytes : 400));
        endResponse(*responder);
    }

    /** Requests one large response. */
    static asio::awaitable<std::optional<http_response>> requestLarge(std::shared_ptr<peer_client> client, endpoint to,
                                                                      seconds timeout)
    {
        peer_request request{"/large", {}, ""};
        const auto opened = co_await openCall(client, to, std::move(request), seconds(1));
        co_return co_await readResponse(opened.call, clock::now() + timeout);
    }

    /** Starts eight readers of large responses, which saturate the link. */
    void startLargeReaders()
    {
        for (std::size_t reader = 0; reader < 8; ++reader) {
            asio::co_spawn(context, sendLargeRequests(reader % clients.size()), asio::detached);
        }
    }

    /** Requests large responses one after the other. */
    asio::awaitable<void> sendLargeRequests(std::size_t client)
    {
        for (;;) {
            const auto response = co_await requestLarge(clients[client], at, seconds(5));
            if (response) {
                largeCompleted += 1;
                corrupted += response->body == makeBody(largeBytes) ? 0 : 1;
            }
        }
    }

    /** Requests a small response every 20 ms, through all clients in turn. */
    asio::awaitable<void> sendSmallRequests()
    {
        for (std::size_t count = 0;; ++count) {
            asio::co_spawn(context, sendSmallRequest(count % clients.size()), asio::detached);
            co_await sleepFor(milliseconds(20));
        }
    }

    asio::awaitable<void> sendSmallRequest(std::size_t client)
    {
        const auto since = clock::now();
        peer_request request{"/small", {}, ""};
        const auto opened = co_await openCall(clients[client], at, std::move(request), seconds(1));
        const auto response = co_await readResponse(opened.call, since + seconds(5));
        smallLatenciesMs.push_back(std::chrono::duration<double, std::milli>(clock::now() - since).count());
        corrupted += response && response->body == makeBody(400) ? 0 : 1;
    }
};

} // namespace

// Eight readers of large responses saturate the link, beside 50 small responses a second.
TEST(bulk, smallResponsesOvertakeLargeOnesOnASlowLink)
{
    constexpr seconds span{4};
    slow_link_peers peers;
    peers.startLargeReaders();
    asio::co_spawn(peers.context, peers.sendSmallRequests(), asio::detached);
    peers.context.run_for(span);
    ASSERT_GT(peers.smallLatenciesMs.size(), 100U);
    std::sort(peers.smallLatenciesMs.begin(), peers.smallLatenciesMs.end());
    const auto p99 = peers.smallLatenciesMs[peers.smallLatenciesMs.size() * 99 / 100];
    const auto used = static_cast<double>(peers.largeCompleted * largeBytes) / linkBytesPerSecond / 4;
    std::printf("figure small answers within %.0f ms at the 99th percentile, the link used to %.2f\n", p99, used);
    EXPECT_LT(p99, 150);
    EXPECT_GT(used, 0.7) << "responses in progress at the end don't count";
    EXPECT_EQ(peers.corrupted, 0U);
}

TEST(bulk, unresponsiveReadersDontBlockOthers)
{
    slow_link_peers peers;
    // All connections through the link stall; another daemon connects to the server directly.
    peers.startLargeReaders();
    peers.context.run_for(seconds(1));
    peers.link.stalled = true;
    peers.context.run_for(milliseconds(600));
    std::optional<http_response> response;
    const auto other = makePeerClient(peers.context.get_executor());
    auto work = [&]() -> asio::awaitable<void> {
        response = co_await slow_link_peers::requestLarge(other, peers.link.server, seconds(3));
        peers.context.stop();
    };
    asio::co_spawn(peers.context, work, asio::detached);
    peers.context.run_for(seconds(4));
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->body, slow_link_peers::makeBody(largeBytes));
}

// A permit expires unused if the connection accepts no data in time: then no frame and no ping follow. The reader must
// still get permits after the stall.
TEST(bulk, readersGetLargeResponsesAgainAfterAStall)
{
    slow_link_peers peers;
    peers.startLargeReaders();
    for (int round = 0; round < 3; ++round) {
        peers.context.run_for(milliseconds(300));
        peers.link.stalled = true;
        peers.context.run_for(milliseconds(900));
        peers.link.stalled = false;
    }
    peers.context.run_for(seconds(1));
    const auto before = peers.largeCompleted;
    peers.context.run_for(seconds(2));
    EXPECT_GT(peers.largeCompleted - before, 10U) << "the link carries 27 in this time";
    EXPECT_EQ(peers.corrupted, 0U);
}

// Responses that wait for a permit while their reader is unresponsive may be cancelled: then no frame of them is sent,
// and no ping acknowledged. Later responses must still get permits.
TEST(bulk, cancelledResponsesOfAnUnresponsiveReaderDontBlockLaterOnes)
{
    slow_link_peers peers;
    peers.link.stalled = true;
    const auto client = peers.clients.front();
    std::optional<http_response> response;
    auto work = [&]() -> asio::awaitable<void> {
        for (int number = 0; number < 8; ++number) {
            peer_request request{"/large", {}, ""};
            const auto opened = co_await openCall(client, peers.at, std::move(request), seconds(1));
            co_await sleepFor(milliseconds(100));
            cancelCall(*opened.call);
        }
        peers.link.stalled = false;
        co_await sleepFor(milliseconds(300));
        response = co_await slow_link_peers::requestLarge(client, peers.at, seconds(3));
        peers.context.stop();
    };
    asio::co_spawn(peers.context, work, asio::detached);
    peers.context.run_for(seconds(8));
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->body, slow_link_peers::makeBody(largeBytes));
}

// A permit expires unused if the connection accepts no data in time: then no frame and no ping follow. Waiting
// responses must get new permits once the reader acknowledges a ping.
TEST(bulk, permitsThatExpireUnusedAreReplaced)
{
    asio::io_context context{1};
    last_reason why;
    auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
    tcp::socket near(context);
    near.connect(acceptor->local_endpoint());
    const auto server = std::make_shared<h2_session>(acceptor->accept());
    const auto reader = std::make_shared<h2_session>(std::move(near));
    server->bulk = std::make_shared<bulk_sender>(context.get_executor());
    server->bulk->window.windowBytes = 1; // One frame at a time.
    startSession(server, true);
    startSession(reader, false);
    asio::co_spawn(context, readLoop(server), asio::detached);
    asio::co_spawn(context, readLoop(reader), asio::detached);
    std::vector<std::shared_ptr<h2_stream>> streams;
    for (int number = 0; number < 2; ++number) {
        streams.push_back(std::make_shared<h2_stream>(context.get_executor()));
        streams.back()->outgoing = slow_link_peers::makeBody(largeBytes);
        beginBulk(*server->bulk, *streams.back());
        EXPECT_FALSE(acquirePermit(*server, *streams.back()));
    }
    context.run_for(milliseconds(50));
    EXPECT_NE(streams[0]->bulkPermit, 0U);
    EXPECT_EQ(streams[1]->bulkPermit, 0U);
    // The first frame is never read from its stream.
    context.run_for(server->bulk->window.limits.deliveryTimeout + milliseconds(200));
    EXPECT_FALSE(server->unresponsive);
    EXPECT_NE(streams[1]->bulkPermit, 0U);
    closeSession(server);
    closeSession(reader);
    context.run_for(milliseconds(50));
}

} // namespace quetzalspool::test
