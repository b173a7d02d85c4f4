/** @file head_bytes_test.cpp Bytes of the heads of requests and responses between two daemons. */
#include "elapsed_clock.h"
#include "http_server.h"
#include "peer_client.h"
#include "peer_server.h"
#include "peer_wire.h"

#include <gtest/gtest.h>
#include <iostream>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

constexpr std::size_t bodyBytes = 200; ///< Body of each request and response.
constexpr int warmUp = 10; ///< Requests of a session before the usual ones.
constexpr int usualCount = 90; ///< Usual requests of a session.
constexpr int laterCount = 900; ///< Requests after them, when ids have passed through the whole table of HPACK.

std::string digits(int number, std::size_t width)
{
    std::string text = std::to_string(number * 7919L + 1000003L);
    return std::string(width > text.size() ? width - text.size() : 0, '0') + text;
}

/** A token of 24 hexadecimal digits, as callers send them for ids. */
std::string hexToken(int number)
{
    static const char hex[] = "0123456789abcdef";
    std::string token;
    std::uint64_t state = static_cast<std::uint64_t>(number) * 0x9e3779b97f4a7c15U + 12345;
    for (int digit = 0; digit < 24; ++digit) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        token += hex[state >> 60U];
    }
    return token;
}

/** Header names of a deployment whose targets get the ids of callers. */
header_profile platformNames()
{
    header_profile names;
    names.requestId = "X-Caller-Ref";
    names.composeRequestIds = false;
    return names;
}

/** A request of a caller as a daemon forwards it: keyed, with an id and the headers of a usual client. */
routed_request ordinaryRequest(int number, steady_time now)
{
    routed_request request;
    const auto key = "customer-" + digits(number, 8);
    request.http = {"POST",
                    "/orders/" + key,
                    {{"Host", "orders.example"},
                     {"User-Agent", "order-client/2.4"},
                     {"Accept", "application/json"},
                     {"Content-Type", "application/json"},
                     {"X-Caller-Ref", hexToken(number)}},
                    std::string(bodyBytes, 'q')};
    request.id = hexToken(number);
    request.attempt = makeToken(static_cast<std::uint64_t>(number + 1) * 0x9e3779b97f4a7c15U);
    request.route = "orders";
    request.pool.value = "orders";
    request.key = key;
    request.slot = fenced_slot{request.pool, {static_cast<std::uint32_t>(number * 37 % 1024)}, {4000U + number % 5}};
    request.kind = request_class::order;
    request.deadline = now + milliseconds(5000 - number % 40);
    request.goal = now + milliseconds(250 - number % 40);
    return request;
}

/** Head bytes of one request and its response. */
struct head_bytes
{
    double request = 0; ///< Of the request.
    double response = 0; ///< Of the response.
};

/** Two daemons' ends of a session. */
struct daemon_pair
{
    asio::io_context context{1}; ///< Context of both.
    std::shared_ptr<sent_bytes> forwarding = std::make_shared<sent_bytes>(); ///< Sent by the forwarding daemon.
    std::shared_ptr<sent_bytes> serving = std::make_shared<sent_bytes>(); ///< Sent by the daemon beside the target.
    std::shared_ptr<peer_server> server; ///< Of the daemon beside the target.
    std::shared_ptr<peer_client> client; ///< Of the forwarding daemon.
    endpoint at; ///< Address of the server.
    int next = 0; ///< Number of the next request.

    daemon_pair()
    {
        last_reason why;
        auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
        at = {"127.0.0.1", acceptor->local_endpoint().port()};
        peer_server_limits limits;
        limits.sent = serving;
        server = startPeerServer(std::move(*acceptor), respond, limits);
        client = makePeerClient(context.get_executor(), nullptr, {forwarding});
    }

    /** Responds as a daemon does for its target. */
    static asio::awaitable<void> respond(peer_request message, std::shared_ptr<peer_responder> responder)
    {
        const auto request = decodeRequest(std::move(message), platformNames(), elapsed_clock::now());
        EXPECT_TRUE(request && !request->id.empty());
        const auto number = static_cast<int>(request->slot->slot.value);
        auto headers = encodeResponseHeaders({{"Content-Type", "application/json"},
                                              {"Server", "orders/1.9"},
                                              {"X-Caller-Ref", request->id},
                                              {"X-Target-Load", std::to_string(number % 8) + " 0 8"}},
                                             bodyBytes, number % 8 / 8.0, 90 + number % 20);
        sendResponseHead(*responder, 200, std::move(headers));
        co_await sendBodyChunk(responder, std::string(bodyBytes, 'r'));
        endResponse(*responder);
    }

    asio::awaitable<void> forward(int count)
    {
        for (int done = 0; done < count; ++done) {
            const auto now = elapsed_clock::now();
            const auto request = ordinaryRequest(next++, now);
            auto message = encodeRequest(request, platformNames(), now);
            message.headers.emplace_back(senderHeader, "10.1.2.3:7003");
            message.headers.emplace_back(routeHeader, request.route);
            const auto opened = co_await openCall(client, at, std::move(message), seconds(1));
            const auto response = co_await readResponse(opened.call, elapsed_clock::now() + seconds(5));
            EXPECT_TRUE(response && response->body.size() == bodyBytes);
            EXPECT_EQ(findHeader(response->headers, "x-caller-ref"), request.id);
        }
        co_await sleepFor(milliseconds(20)); // The last write is counted when it has completed.
    }

    /** Forwards requests and returns the mean bytes of their heads. */
    head_bytes measure(int count)
    {
        const auto requestHeads = counterOf(forwarding, byte_kind::head, byte_distance::region);
        const auto responseHeads = counterOf(serving, byte_kind::head, byte_distance::region);
        const auto requestsBefore = requestHeads->load();
        const auto responsesBefore = responseHeads->load();
        context.restart();
        asio::co_spawn(context, forward(count), [this](const std::exception_ptr &) { context.stop(); });
        context.run_for(seconds(20));
        return {static_cast<double>(*requestHeads - requestsBefore) / count,
                static_cast<double>(*responseHeads - responsesBefore) / count};
    }
};

} // namespace

// Guards against heads that grow: between regions they may be more bytes than the bodies.
TEST(headBytes, headsOfOrdinaryRequestsAreSmall)
{
    daemon_pair daemons;
    const auto first = daemons.measure(1);
    const auto second = daemons.measure(1);
    daemons.measure(warmUp);
    const auto usual = daemons.measure(usualCount);
    const auto later = daemons.measure(laterCount);
    std::cout << "head bytes of the request: first of a session " << first.request << ", second " << second.request
              << ", usual " << usual.request << ", later " << later.request << "\nhead bytes of the response: first "
              << first.response << ", second " << second.response << ", usual " << usual.response << ", later "
              << later.response << "\n";
    EXPECT_LE(first.request, 460);
    EXPECT_LE(second.request, 128);
    EXPECT_LE(usual.request, 128);
    EXPECT_LE(later.request, 128);
    EXPECT_LE(first.response, 196); // Names the protocol level, once for each session.
    EXPECT_LE(second.response, 62);
    EXPECT_LE(usual.response, 50);
    EXPECT_LE(later.response, 50);
}

} // namespace quetzalspool::test
