/** @file target_test.cpp Handing over: whole answers, refusals by contract, breaks, answers without an end. */
#include "http_server.h"
#include "target_func.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::seconds;

/** How one exchange went. */
struct exchange_end
{
    bool sent = false; ///< Whether the request was sent.
    std::optional<target_head> head; ///< Head of the answer.
    std::string body; ///< Body read.
    bool whole = false; ///< Whether it was whole.
    last_reason why; ///< Last reason.
};

/** Answers one request with fixed bytes and closes. */
asio::awaitable<void> answerOnce(std::shared_ptr<tcp::acceptor> acceptor, std::string bytes)
{
    error_code code;
    auto socket = co_await acceptor->async_accept(reporting(code));
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", reporting(code));
    co_await asio::async_write(socket, asio::buffer(bytes), reporting(code));
}

exchange_end exchangeWith(const std::string &bytes)
{
    asio::io_context context{1};
    exchange_end end;
    auto acceptor = std::make_shared<tcp::acceptor>(*listenOn(context, {"127.0.0.1", 0}, end.why));
    const endpoint at{"127.0.0.1", acceptor->local_endpoint().port()};
    asio::co_spawn(context, answerOnce(acceptor, bytes), asio::detached);
    auto work = [&]() -> asio::awaitable<void> {
        const auto client = makeTargetClient({"Quetzalspool-Not-Run", "", false});
        const auto exchange = co_await openTarget(client, at, milliseconds(0), seconds(1), end.why);
        http_request request{"GET", "/", {}, ""};
        const auto until = clock::now() + seconds(1);
        end.sent = co_await sendToTarget(exchange, request, until, end.why);
        end.head = co_await readTargetHead(exchange, until, end.why);
        while (end.head) {
            const auto part = co_await readTargetPart(exchange, until, end.why);
            if (!part || part->empty()) {
                end.whole = part.has_value();
                break;
            }
            end.body += *part;
        }
        closeTarget(*client, exchange);
    };
    asio::co_spawn(context, work, asio::detached);
    context.run_for(seconds(5));
    return end;
}

} // namespace

TEST(target, passesAWholeAnswer)
{
    const auto end = exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n\r\nabcd");
    EXPECT_TRUE(end.whole);
    EXPECT_EQ(end.body, "abcd");
    EXPECT_EQ(headerOf(end.head->headers, "x-a"), "b");
}

TEST(target, passesChunks)
{
    const auto end = exchangeWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    EXPECT_TRUE(end.whole);
    EXPECT_EQ(end.body, "ab");
}

TEST(target, aCutAnswerIsNotWhole)
{
    EXPECT_FALSE(exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcd").whole);
    EXPECT_FALSE(exchangeWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab").whole);
}

TEST(target, anAnswerWithoutAnEndIsNoAnswer)
{
    EXPECT_FALSE(exchangeWith("HTTP/1.1 200 OK\r\n\r\nabcd").head.has_value());
}

TEST(target, knowsTheContractsRefusal)
{
    const auto end = exchangeWith("HTTP/1.1 503 No\r\nQuetzalspool-Not-Run: shed\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(end.head->notRun, "shed");
}

} // namespace quetzalspool::test
