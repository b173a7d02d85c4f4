/** @file byte_account_test.cpp Account of the bytes that sessions between daemons send. */
#include "elapsed_clock.h"
#include "http_server.h"
#include "peer_client.h"
#include "peer_server.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

constexpr std::size_t requestBytes = 3000; ///< Body of a request.
constexpr std::size_t responseBytes = 40000; ///< Body of a response; more than one DATA frame.

/** Bytes sent by a client and by a server, each with an account of its own. */
struct exchange_accounts
{
    std::shared_ptr<sent_bytes> client = std::make_shared<sent_bytes>(); ///< Sent by the client.
    std::shared_ptr<sent_bytes> server = std::make_shared<sent_bytes>(); ///< Sent by the server.
    std::uint64_t transferred = 0; ///< Bytes that the client sent and received.
};

asio::awaitable<void> respond(peer_request /*request*/, std::shared_ptr<peer_responder> responder)
{
    sendResponseHead(*responder, 200, {{"x-some", "header"}});
    co_await sendBodyChunk(responder, std::string(responseBytes, 'r'));
    endResponse(*responder);
}

asio::awaitable<void> exchange(std::shared_ptr<peer_client> client, endpoint at, std::string path,
                               byte_distance distance, int count)
{
    for (int number = 0; number < count; ++number) {
        peer_request request{path, {{"x-other", "header"}}, std::string(requestBytes, 'q')};
        auto opened = co_await openCall(client, at, std::move(request), seconds(1), distance);
        const auto response = co_await readResponse(opened.call, elapsed_clock::now() + seconds(5));
        EXPECT_TRUE(response && response->body.size() == responseBytes);
    }
    co_await sleepFor(milliseconds(20)); // The last write is counted when it has completed.
}

/** Sends requests on one session and returns the bytes counted at both ends. */
exchange_accounts countExchange(const std::string &path, byte_distance distance, client_account account, int count)
{
    exchange_accounts accounts;
    account.sent = accounts.client;
    asio::io_context context{1};
    last_reason why;
    auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
    const endpoint at{"127.0.0.1", acceptor->local_endpoint().port()};
    peer_server_limits limits;
    limits.sent = accounts.server;
    limits.isControl = [](const std::string &asked) { return asked == "/control"; };
    const auto server = startPeerServer(std::move(*acceptor), respond, limits);
    const auto client = makePeerClient(context.get_executor(), nullptr, account);
    asio::co_spawn(context, exchange(client, at, path, distance, count),
                   [&](const std::exception_ptr &) { context.stop(); });
    context.run_for(seconds(20));
    accounts.transferred = transferredBytes(*client);
    return accounts;
}

std::uint64_t counted(const std::shared_ptr<sent_bytes> &sent, byte_kind kind, byte_distance distance)
{
    return *counterOf(sent, kind, distance);
}

std::uint64_t total(const std::shared_ptr<sent_bytes> &sent)
{
    std::uint64_t bytes = 0;
    for (const auto kind : byteKinds) {
        for (const auto distance : byteDistances) {
            bytes += counted(sent, kind, distance);
        }
    }
    return bytes;
}

} // namespace

// Guards against bytes counted twice, not at all, as the wrong kind, or at a distance that only one end knows.
TEST(byteAccount, bodiesAndHeadsOfRequestsAreCountedApartAtBothEnds)
{
    for (const auto distance : byteDistances) {
        const auto accounts = countExchange("/run", distance, {}, 3);
        EXPECT_EQ(counted(accounts.client, byte_kind::request, distance), 3 * requestBytes) << nameOf(distance);
        EXPECT_EQ(counted(accounts.server, byte_kind::response, distance), 3 * responseBytes) << nameOf(distance);
        const auto clientHeads = counted(accounts.client, byte_kind::head, distance);
        const auto serverHeads = counted(accounts.server, byte_kind::head, distance);
        EXPECT_GT(clientHeads, 0U);
        EXPECT_GT(serverHeads, 0U);
        EXPECT_EQ(total(accounts.client), 3 * requestBytes + clientHeads) << "nothing at another distance";
        EXPECT_EQ(total(accounts.server), 3 * responseBytes + serverHeads) << "nothing at another distance";
        EXPECT_EQ(total(accounts.client) + total(accounts.server), accounts.transferred) << "all bytes of the session";
    }
}

// Guards against exchanges of control threads that count as traffic of callers.
TEST(byteAccount, exchangesOfControlThreadsAreControl)
{
    const client_account account{nullptr, byte_kind::control, byte_kind::control};
    const auto accounts = countExchange("/control", byte_distance::remote, account, 2);
    EXPECT_EQ(counted(accounts.client, byte_kind::control, byte_distance::remote), total(accounts.client));
    EXPECT_EQ(counted(accounts.server, byte_kind::control, byte_distance::remote), total(accounts.server));
    EXPECT_GT(total(accounts.client), 2 * requestBytes);
    EXPECT_GT(total(accounts.server), 2 * responseBytes);
}

} // namespace quetzalspool::test
