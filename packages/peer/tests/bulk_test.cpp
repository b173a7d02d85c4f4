/** @file bulk_test.cpp Large answers between daemons over a slow link: they stay whole, and small ones pass them. */
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

constexpr std::size_t largeBytes = 90000; ///< A large answer.
constexpr double linkBytesPerSecond = 10e6 / 8; ///< 10 Mbit/s.
constexpr std::size_t carriedAtOnce = 4096; ///< Bytes that the link carries in one go.

/** A link that all bytes from the server pass one after the other, to whichever client. */
struct slow_link
{
    asio::io_context &context; ///< Runs it.
    endpoint server; ///< Where the server listens.
    steady_time freeAt{}; ///< When all that was given to it is carried.
    bool stuck = false; ///< Whether it carries nothing.

    asio::awaitable<void> carryDown(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to)
    {
        std::string buffer(carriedAtOnce, '\0');
        for (error_code code; !code;) {
            const auto length = co_await from->async_read_some(asio::buffer(buffer), reporting(code));
            while (stuck) {
                co_await sleepFor(milliseconds(5));
            }
            const std::chrono::duration<double> takes(static_cast<double>(length) / linkBytesPerSecond);
            freeAt = std::max(freeAt, clock::now()) + std::chrono::duration_cast<steady_time::duration>(takes);
            asio::steady_timer timer(context, freeAt);
            error_code ignored;
            co_await timer.async_wait(reporting(ignored));
            co_await asio::async_write(*to, asio::buffer(buffer, length), reporting(ignored));
        }
        error_code ignored;
        to->close(ignored);
    }

    static asio::awaitable<void> carryUp(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to)
    {
        std::string buffer(carriedAtOnce, '\0');
        for (error_code code; !code;) {
            const auto length = co_await from->async_read_some(asio::buffer(buffer), reporting(code));
            error_code ignored;
            co_await asio::async_write(*to, asio::buffer(buffer, length), reporting(ignored));
        }
        error_code ignored;
        to->close(ignored);
    }

    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor)
    {
        for (;;) {
            error_code code;
            const auto client = std::make_shared<tcp::socket>(co_await acceptor->async_accept(reporting(code)));
            const auto upstream = std::make_shared<tcp::socket>(context);
            co_await upstream->async_connect(resolved<tcp>(server), reporting(code));
            if (code) {
                co_return;
            }
            client->set_option(tcp::no_delay(true));
            asio::co_spawn(context, carryDown(upstream, client), asio::detached);
            asio::co_spawn(context, carryUp(client, upstream), asio::detached);
        }
    }
};

/** A server behind the slow link, and daemons that ask it. */
struct linked_peers
{
    asio::io_context context{1}; ///< Runs all.
    std::shared_ptr<peer_server> server; ///< Server.
    slow_link link{context, {}}; ///< Link.
    endpoint at; ///< Where the link listens.
    std::vector<std::shared_ptr<peer_client>> clients; ///< Daemons.
    std::vector<double> smallMs; ///< Times of small answers.
    std::size_t large = 0; ///< Whole large answers.
    std::size_t broken = 0; ///< Answers with other bytes than those sent.
    bool over = false; ///< Whether no more is asked.

    linked_peers()
    {
        last_reason why;
        auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
        link.server = {"127.0.0.1", acceptor->local_endpoint().port()};
        server = startPeerServer(std::move(*acceptor), answer);
        const auto outer = std::make_shared<tcp::acceptor>(*listenOn(context, {"127.0.0.1", 0}, why));
        at = {"127.0.0.1", outer->local_endpoint().port()};
        asio::co_spawn(context, link.accept(outer), asio::detached);
        for (int index = 0; index < 4; ++index) {
            clients.push_back(makePeerClient(context.get_executor()));
        }
    }

    static std::string bodyOf(std::size_t bytes)
    {
        std::string body(bytes, '\0');
        for (std::size_t index = 0; index < bytes; ++index) {
            body[index] = static_cast<char>('a' + index * 7 % 26);
        }
        return body;
    }

    static asio::awaitable<void> answer(peer_request request, std::shared_ptr<peer_responder> responder)
    {
        const bool isLarge = request.path == "/large";
        if (isLarge) {
            sendAsBulk(*responder);
        }
        sendHead(*responder, 200, {});
        co_await sendPart(responder, bodyOf(isLarge ? largeBytes : 400));
        endAnswer(*responder);
    }

    /** Asks for large answers one after the other. */
    asio::awaitable<void> askLarge(std::size_t client)
    {
        while (!over) {
            peer_request request{"/large", {}, ""};
            const auto opened = co_await openCall(clients[client], at, std::move(request), seconds(1));
            const auto reply = co_await readWhole(opened.call, clock::now() + seconds(5));
            if (reply) {
                large += 1;
                broken += reply->body == bodyOf(largeBytes) ? 0 : 1;
            }
        }
    }

    /** Asks for a small answer each 20 ms, through all clients in turn. */
    asio::awaitable<void> askSmall()
    {
        for (std::size_t count = 0; !over; ++count) {
            asio::co_spawn(context, askOne(count % clients.size()), asio::detached);
            co_await sleepFor(milliseconds(20));
        }
    }

    asio::awaitable<void> askOne(std::size_t client)
    {
        const auto since = clock::now();
        peer_request request{"/small", {}, ""};
        const auto opened = co_await openCall(clients[client], at, std::move(request), seconds(1));
        const auto reply = co_await readWhole(opened.call, since + seconds(5));
        smallMs.push_back(std::chrono::duration<double, std::milli>(clock::now() - since).count());
        broken += reply && reply->body == bodyOf(400) ? 0 : 1;
    }
};

} // namespace

// Eight readers of large answers, more than the link carries, beside 50 small answers a second.
TEST(bulk, smallAnswersPassLargeOnesOnASlowLink)
{
    constexpr seconds span{4};
    linked_peers peers;
    for (std::size_t reader = 0; reader < 8; ++reader) {
        asio::co_spawn(peers.context, peers.askLarge(reader % peers.clients.size()), asio::detached);
    }
    asio::co_spawn(peers.context, peers.askSmall(), asio::detached);
    peers.context.run_for(span);
    ASSERT_GT(peers.smallMs.size(), 100U);
    std::sort(peers.smallMs.begin(), peers.smallMs.end());
    const auto p99 = peers.smallMs[peers.smallMs.size() * 99 / 100];
    const auto used = static_cast<double>(peers.large * largeBytes) / linkBytesPerSecond / 4;
    std::printf("figure small answers within %.0f ms at the 99th percentile, the link used to %.2f\n", p99, used);
    EXPECT_LT(p99, 150);
    EXPECT_GT(used, 0.7) << "answers under way at the end don't count";
    EXPECT_EQ(peers.broken, 0U);
}

TEST(bulk, readersThatFallSilentDontKeepTheLinkFromOthers)
{
    linked_peers peers;
    // All connections through the link stand still; another daemon reaches the server without it.
    for (std::size_t reader = 0; reader < 8; ++reader) {
        asio::co_spawn(peers.context, peers.askLarge(reader % peers.clients.size()), asio::detached);
    }
    peers.context.run_for(seconds(1));
    peers.link.stuck = true;
    peers.context.run_for(milliseconds(600));
    std::optional<http_reply> reply;
    const auto other = makePeerClient(peers.context.get_executor());
    auto work = [&]() -> asio::awaitable<void> {
        peer_request request{"/large", {}, ""};
        const auto opened = co_await openCall(other, peers.link.server, std::move(request), seconds(1));
        reply = co_await readWhole(opened.call, clock::now() + seconds(3));
        peers.context.stop();
    };
    asio::co_spawn(peers.context, work, asio::detached);
    peers.context.run_for(seconds(4));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->body, linked_peers::bodyOf(largeBytes));
}

// A permit may expire before its piece could be sent, since the connection took nothing: no ping follows that piece.
TEST(bulk, readersThatWereSilentGetLargeAnswersAgain)
{
    linked_peers peers;
    for (std::size_t reader = 0; reader < 8; ++reader) {
        asio::co_spawn(peers.context, peers.askLarge(reader % peers.clients.size()), asio::detached);
    }
    for (int round = 0; round < 3; ++round) {
        peers.context.run_for(milliseconds(300));
        peers.link.stuck = true;
        peers.context.run_for(milliseconds(900));
        peers.link.stuck = false;
    }
    peers.context.run_for(seconds(1));
    const auto before = peers.large;
    peers.context.run_for(seconds(2));
    EXPECT_GT(peers.large - before, 10U) << "the link carries 27 in this time";
    EXPECT_EQ(peers.broken, 0U);
}

// Whoever waits for a permit while its reader is silent may give up: then nothing of it is sent, and nothing confirmed.
TEST(bulk, aSilentReaderWhoseAnswersAreGivenUpGetsTheNextOnes)
{
    linked_peers peers;
    peers.link.stuck = true;
    const auto client = peers.clients.front();
    std::optional<http_reply> reply;
    auto work = [&]() -> asio::awaitable<void> {
        for (int number = 0; number < 8; ++number) {
            peer_request request{"/large", {}, ""};
            const auto opened = co_await openCall(client, peers.at, std::move(request), seconds(1));
            co_await sleepFor(milliseconds(100));
            abandonCall(*opened.call);
        }
        peers.link.stuck = false;
        co_await sleepFor(milliseconds(300));
        peer_request request{"/large", {}, ""};
        const auto opened = co_await openCall(client, peers.at, std::move(request), seconds(1));
        reply = co_await readWhole(opened.call, clock::now() + seconds(3));
        peers.context.stop();
    };
    asio::co_spawn(peers.context, work, asio::detached);
    peers.context.run_for(seconds(8));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->body, linked_peers::bodyOf(largeBytes));
}

// A permit may expire before its piece could be sent, since the connection took nothing: no ping follows that piece,
// but the reader must get more once it gives a sign of life.
TEST(bulk, aReaderWhosePermitsExpiredUnusedGetsNewOnes)
{
    asio::io_context context{1};
    last_reason why;
    auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
    tcp::socket near(context);
    near.connect(acceptor->local_endpoint());
    const auto server = std::make_shared<h2_session>(acceptor->accept());
    const auto reader = std::make_shared<h2_session>(std::move(near));
    server->bulk = std::make_shared<bulk_sender>(context.get_executor());
    server->bulk->share.windowBytes = 1; // One piece at a time.
    startSession(server, true);
    startSession(reader, false);
    asio::co_spawn(context, readLoop(server), asio::detached);
    asio::co_spawn(context, readLoop(reader), asio::detached);
    std::vector<std::shared_ptr<h2_stream>> streams;
    for (int number = 0; number < 2; ++number) {
        streams.push_back(std::make_shared<h2_stream>(context.get_executor()));
        streams.back()->outgoing = linked_peers::bodyOf(largeBytes);
        beginBulk(*server->bulk, *streams.back());
        EXPECT_FALSE(mayReadBulk(*server, *streams.back()));
    }
    context.run_for(milliseconds(50));
    EXPECT_NE(streams[0]->bulkPermit, 0U);
    EXPECT_EQ(streams[1]->bulkPermit, 0U);
    // The first piece is never read from its stream.
    context.run_for(server->bulk->share.limits.deliveryTimeout + milliseconds(200));
    EXPECT_FALSE(server->silent);
    EXPECT_NE(streams[1]->bulkPermit, 0U);
    closeSession(server);
    closeSession(reader);
    context.run_for(milliseconds(50));
}

} // namespace quetzalspool::test
