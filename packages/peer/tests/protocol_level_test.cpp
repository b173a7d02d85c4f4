/** @file protocol_level_test.cpp Headers that only daemons of an earlier build need. */
#include "elapsed_clock.h"
#include "http_server.h"
#include "peer_client.h"
#include "peer_server.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

/** A server that records which requests had the derivable header. */
struct level_pair
{
    asio::io_context context{1}; ///< Context of server and client.
    std::shared_ptr<peer_server> server; ///< Server.
    std::shared_ptr<peer_client> client; ///< Client.
    endpoint at; ///< Address of the server.
    std::vector<bool> received; ///< Whether each request had the header, in order.

    level_pair()
    {
        last_reason why;
        auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
        at = {"127.0.0.1", acceptor->local_endpoint().port()};
        server = startPeerServer(std::move(*acceptor),
                                 [this](peer_request request, std::shared_ptr<peer_responder> responder) {
                                     return respond(std::move(request), std::move(responder));
                                 });
        client = makePeerClient(context.get_executor());
    }

    asio::awaitable<void> respond(peer_request request, std::shared_ptr<peer_responder> responder)
    {
        received.push_back(!findHeader(request.headers, "qs-some").empty());
        sendEmptyResponse(*responder, 200, {});
        co_return;
    }

    asio::awaitable<std::shared_ptr<peer_call>> open()
    {
        peer_request request{"/run", {}, "", {{"qs-some", "value"}}};
        const auto opened = co_await openCall(client, at, std::move(request), seconds(1));
        co_return opened.call;
    }

    asio::awaitable<void> expectResponse(std::shared_ptr<peer_call> call)
    {
        const auto response = co_await readResponse(std::move(call), elapsed_clock::now() + seconds(2));
        EXPECT_TRUE(response && response->status == 200);
    }

    template <typename Work>
    void run(Work work)
    {
        asio::co_spawn(context, work(), [this](const std::exception_ptr &) { context.stop(); });
        context.restart();
        context.run_for(seconds(20));
    }
};

} // namespace

// Guards against a daemon of an earlier build that gets a request without a header that it needs: such a daemon never
// names a level, as no session has before its first response.
TEST(protocolLevel, derivableHeadersAreSentUntilTheServerNamesItsLevel)
{
    level_pair pair;
    pair.run([&]() -> asio::awaitable<void> {
        const auto first = co_await pair.open();
        const auto second = co_await pair.open();
        co_await pair.expectResponse(first);
        co_await pair.expectResponse(second);
        co_await pair.expectResponse(co_await pair.open());
    });
    EXPECT_EQ(pair.received, (std::vector{true, true, false}));
}

// Guards against a level that is remembered for an address: the daemon there may be replaced by one of an earlier
// build.
TEST(protocolLevel, eachSessionBeginsWithoutALevel)
{
    level_pair pair;
    pair.run([&]() -> asio::awaitable<void> {
        co_await pair.expectResponse(co_await pair.open());
        pair.client = makePeerClient(pair.context.get_executor());
        co_await pair.expectResponse(co_await pair.open());
    });
    EXPECT_EQ(pair.received, (std::vector{true, true}));
}

} // namespace quetzalspool::test
