/** @file caller_input_test.cpp Tests that malformed requests are refused and the daemon keeps serving. */
#include "asio_type.h"
#include "fleet.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace quetzalspool {

namespace {

using std::chrono::seconds;

/** Connects and sends bytes. The connection stays open, because a half-closed connection cancels the request. */
tcp::socket sendBytes(asio::io_context &context, const endpoint &to, const std::string &bytes)
{
    tcp::socket socket(context);
    error_code code;
    socket.connect(toAsioEndpoint<tcp>(to), code);
    asio::write(socket, asio::buffer(bytes), code);
    return socket;
}

/** Sends bytes and reads until the peer closes the connection. Returns the bytes received. */
std::string exchangeRaw(const endpoint &to, const std::string &bytes)
{
    asio::io_context context;
    auto socket = sendBytes(context, to, bytes);
    error_code code;
    std::string received;
    asio::read(socket, asio::dynamic_buffer(received), code);
    return received;
}

/** Sends a request and returns the status line of the response. */
std::string requestStatusLine(const endpoint &to, const std::string &bytes)
{
    asio::io_context context;
    auto socket = sendBytes(context, to, bytes);
    error_code code;
    std::string received(512, '\0');
    received.resize(socket.read_some(asio::buffer(received), code));
    return received.substr(0, received.find('\r'));
}

class caller_input : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        auto plan = twoRegionPlan(3, 2);
        plan.basePort = 19000;
        plan.binaries = BINARIES;
        running = new fleet(std::move(plan));
        started = running->start(seconds(30));
    }

    static void TearDownTestSuite()
    {
        delete running;
        running = nullptr;
    }

    void SetUp() override
    {
        ASSERT_TRUE(started);
        callerEndpoint = running->portsOf("key-1").callers;
    }

    void TearDown() override
    {
        EXPECT_EQ(requestStatusLine(callerEndpoint, "GET /formulas/k1 HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 200 OK");
    }

    static fleet *running;
    static bool started;
    endpoint callerEndpoint;
};

fleet *caller_input::running = nullptr;
bool caller_input::started = false;

} // namespace

TEST_F(caller_input, unknownRoute)
{
    EXPECT_EQ(requestStatusLine(callerEndpoint, "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 404 Not Found");
}

TEST_F(caller_input, missingKey)
{
    EXPECT_EQ(requestStatusLine(callerEndpoint, "GET /formulas HTTP/1.1\r\nHost: a\r\n\r\n"),
              "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(requestStatusLine(callerEndpoint, "GET /formulas/%zz HTTP/1.1\r\nHost: a\r\n\r\n"),
              "HTTP/1.1 400 Bad Request");
}

TEST_F(caller_input, oversizedHeaders)
{
    const auto oversized = "GET /formulas/k1 HTTP/1.1\r\nHost: a\r\nX-Big: " + std::string(20000, 'x') + "\r\n\r\n";
    EXPECT_EQ(requestStatusLine(callerEndpoint, oversized).substr(0, 12), "HTTP/1.1 431");
}

TEST_F(caller_input, oversizedBodies)
{
    EXPECT_EQ(
        requestStatusLine(callerEndpoint, "POST /releases/k1 HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n")
            .substr(0, 12),
        "HTTP/1.1 413");
}

TEST_F(caller_input, smuggledLengths)
{
    EXPECT_EQ(requestStatusLine(callerEndpoint,
                                "POST /releases/k1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n0\r\n\r\n")
                  .substr(0, 12),
              "HTTP/1.1 400");
    EXPECT_EQ(
        requestStatusLine(callerEndpoint,
                          "POST /releases/k1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd")
            .substr(0, 12),
        "HTTP/1.1 400");
}

TEST_F(caller_input, badFraming)
{
    EXPECT_EQ(exchangeRaw(callerEndpoint, "nonsense\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(exchangeRaw(callerEndpoint, std::string("\0\1\2\3\r\n\r\n", 8)).substr(0, 12), "HTTP/1.1 400");
}

// Endless chunk extensions or trailers don't count towards the body limit, so the daemon must close the connection
// after a bounded number of bytes.
TEST_F(caller_input, framingWithoutEnd)
{
    const std::string head = "POST /releases/k1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(65536, 'x');
    constexpr std::size_t maxBytes = 32 * 1024 * 1024; // More than socket buffers hold, and far below the memory limit.
    for (const std::string start : {"5;", "5\r\nabcde\r\n0\r\nX-T: "}) {
        asio::io_context context;
        auto socket = sendBytes(context, callerEndpoint, head + start);
        error_code code;
        std::size_t written = 0;
        while (!code && written < 2 * maxBytes) {
            written += asio::write(socket, asio::buffer(filler), code);
        }
        EXPECT_LT(written, maxBytes) << start;
    }
}

TEST_F(caller_input, callersFenceHeadersAreRemoved)
{
    const auto statusLine =
        requestStatusLine(callerEndpoint, "GET /formulas/k1 HTTP/1.1\r\nHost: a\r\nQuetzalspool-Fence: 1\r\n\r\n");
    EXPECT_EQ(statusLine, "HTTP/1.1 200 OK"); // A target that saw fence 1 would refuse it as stale.
}

TEST_F(caller_input, aLargeResponseIsCompleteAfterTwoHops)
{
    constexpr std::size_t size = 3000000;
    for (const auto &name : {"key-1", "key-3"}) {
        const auto received = exchangeRaw(running->portsOf(name).callers,
                                          "GET /formulas/k5?bytes=" + std::to_string(size)
                                              + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        EXPECT_GT(received.size(), size) << name;
    }
}

} // namespace quetzalspool
