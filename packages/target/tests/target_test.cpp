/** @file target_test.cpp Tests of the target client: complete, refused, truncated and endless responses. */
#include "http_server.h"
#include "target_func.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::seconds;

/** Result of one exchange. */
struct exchange_result
{
    bool sent = false; ///< Whether the request was sent.
    std::optional<target_head> head; ///< Head of the response.
    std::string body; ///< Received body.
    bool complete = false; ///< Whether the response was complete.
    last_reason why; ///< Reason for the last failure.
};

/** Responds to one request with fixed bytes and closes the connection. */
asio::awaitable<void> respondOnce(std::shared_ptr<tcp::acceptor> acceptor, std::string bytes)
{
    error_code code;
    auto socket = co_await acceptor->async_accept(redirectError(code));
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", redirectError(code));
    co_await asio::async_write(socket, asio::buffer(bytes), redirectError(code));
}

/** Responds to one request with some bytes, then repeats others until the client closes the connection. */
asio::awaitable<void> respondEndlessly(std::shared_ptr<tcp::acceptor> acceptor, std::string first, std::string again,
                                       std::shared_ptr<std::size_t> written)
{
    error_code code;
    auto socket = co_await acceptor->async_accept(redirectError(code));
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", redirectError(code));
    co_await asio::async_write(socket, asio::buffer(first), redirectError(code));
    while (!code) {
        *written += co_await asio::async_write(socket, asio::buffer(again), redirectError(code));
    }
}

exchange_result exchangeWith(const std::string &bytes, bool unframed = false)
{
    asio::io_context context{1};
    exchange_result result;
    auto acceptor = std::make_shared<tcp::acceptor>(*listenOn(context, {"127.0.0.1", 0}, result.why));
    const endpoint at{"127.0.0.1", acceptor->local_endpoint().port()};
    asio::co_spawn(context, respondOnce(acceptor, bytes), asio::detached);
    auto work = [&]() -> asio::awaitable<void> {
        const auto client = makeTargetClient({"Quetzalspool-Not-Run", "", unframed});
        const auto exchange = co_await openTarget(client, at, "", milliseconds(0), seconds(1), result.why);
        http_request request{"GET", "/", {}, ""};
        const auto deadline = clock::now() + seconds(1);
        result.sent = co_await sendToTarget(exchange, request, deadline, result.why);
        result.head = co_await readTargetHead(exchange, deadline, result.why);
        while (result.head) {
            const auto part = co_await readTargetPart(exchange, deadline, result.why);
            if (!part || part->empty()) {
                result.complete = part.has_value();
                break;
            }
            result.body += *part;
        }
        closeTarget(*client, exchange);
    };
    asio::co_spawn(context, work, asio::detached);
    context.run_for(seconds(5));
    return result;
}

/** Result of an exchange with a target that never stops sending. */
struct endless_result
{
    bool head = false; ///< Whether a head was received.
    bool complete = false; ///< Whether the response was considered complete.
    milliseconds took = milliseconds::max(); ///< Time until the client gave up.
    std::size_t written = 0; ///< Bytes that the target could send.
};

endless_result exchangeWithoutEnd(const std::string &first, const std::string &again)
{
    asio::io_context context{1};
    endless_result result;
    last_reason why;
    auto acceptor = std::make_shared<tcp::acceptor>(*listenOn(context, {"127.0.0.1", 0}, why));
    const endpoint at{"127.0.0.1", acceptor->local_endpoint().port()};
    const auto written = std::make_shared<std::size_t>(0);
    asio::co_spawn(context, respondEndlessly(acceptor, first, again, written), asio::detached);
    auto work = [&]() -> asio::awaitable<void> {
        const auto client = makeTargetClient({"Quetzalspool-Not-Run", "", true});
        const auto exchange = co_await openTarget(client, at, "", milliseconds(0), seconds(1), why);
        http_request request{"GET", "/", {}, ""};
        const auto since = clock::now();
        const auto deadline = since + seconds(2);
        co_await sendToTarget(exchange, request, deadline, why);
        const auto head = co_await readTargetHead(exchange, deadline, why);
        result.head = head.has_value();
        while (head) {
            const auto part = co_await readTargetPart(exchange, deadline, why);
            if (!part || part->empty()) {
                result.complete = part.has_value();
                break;
            }
        }
        result.took = std::chrono::duration_cast<milliseconds>(clock::now() - since);
        closeTarget(*client, exchange);
        context.stop();
    };
    asio::co_spawn(context, work, asio::detached);
    context.run_for(seconds(5));
    result.written = *written;
    return result;
}

} // namespace

// A target may send malformed bytes endlessly, in the head or in the chunk framing. The client must give up after a
// bounded number of bytes, long before the deadline.
TEST(target, abandonsEndlessMalformedResponsesEarly)
{
    const std::string filler(65536, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> cases{
        {"", filler},
        {"HTTP/1.1 200 OK\r\nX-A: ", filler},
        {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {head + "5;", filler},
        {head + "5\r\nabcde\r\n0\r\nX-T: ", filler},
        {head + "5\r\nabcdefgh", filler},
    };
    constexpr std::size_t boundedBytes =
        32 * 1024 * 1024; // Socket buffers of both ends, far below the daemon's memory limit.
    for (const auto &[first, again] : cases) {
        const auto result = exchangeWithoutEnd(first, again);
        EXPECT_FALSE(result.complete) << first;
        EXPECT_LT(result.took, milliseconds(1000)) << first;
        EXPECT_LT(result.written, boundedBytes) << first;
    }
}

// An endless body without a length can't be distinguished from a long one. The client reads it in bounded parts until
// the deadline and must never consider it complete.
TEST(target, endlessBodyIsIncompleteAtTheDeadline)
{
    const auto result = exchangeWithoutEnd("HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x'));
    EXPECT_TRUE(result.head);
    EXPECT_FALSE(result.complete);
    EXPECT_LT(result.took, milliseconds(2500));
}

TEST(target, readsACompleteResponse)
{
    const auto result = exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n\r\nabcd");
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.body, "abcd");
    EXPECT_EQ(findHeader(result.head->headers, "x-a"), "b");
}

TEST(target, readsAChunkedResponse)
{
    const auto result = exchangeWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.body, "ab");
}

TEST(target, aTruncatedResponseIsIncomplete)
{
    EXPECT_FALSE(exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcd").complete);
    EXPECT_FALSE(exchangeWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab").complete);
}

// Only a response that announces no end can be complete when its connection closes, once its head is.
TEST(target, aResponseThatStopsAnywhereIsNeverComplete)
{
    const std::string length = "HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 4\r\nX-A: b\r\n\r\nabcd";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    const std::string unframed = "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-A: b\r\n\r\nabcd";
    for (const auto &whole : {length, chunked, unframed}) {
        const auto headEnd = whole.find("\r\n\r\n") + 4;
        for (std::size_t cut = 0; cut < whole.size(); ++cut) {
            const auto result = exchangeWith(whole.substr(0, cut), true);
            EXPECT_EQ(result.head.has_value(), cut >= headEnd) << whole.substr(0, cut);
            EXPECT_EQ(result.complete, whole == unframed && cut >= headEnd) << whole.substr(0, cut);
        }
        EXPECT_TRUE(exchangeWith(whole, true).complete);
    }
}

TEST(target, rejectsAnUnframedResponse)
{
    EXPECT_FALSE(exchangeWith("HTTP/1.1 200 OK\r\n\r\nabcd").head.has_value());
}

TEST(target, recognizesTheNotRunHeader)
{
    const auto result = exchangeWith("HTTP/1.1 503 No\r\nQuetzalspool-Not-Run: shed\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(result.head->notRun, "shed");
}

} // namespace quetzalspool::test
