/** @file caller_input_test.cpp Bad input from callers is refused and leaves the daemon as it was. */
#include "asio_type.h"
#include "fleet.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace quetzalspool {

namespace {

using std::chrono::seconds;

/** Connects and sends bytes. The connection stays open, since a caller that closes its end has given up. */
tcp::socket sendBytes(asio::io_context &context, const endpoint &to, const std::string &bytes)
{
    tcp::socket socket(context);
    error_code code;
    socket.connect(toAsioEndpoint<tcp>(to), code);
    asio::write(socket, asio::buffer(bytes), code);
    return socket;
}

/** Sends bytes and reads until the other end closes. Returns what came. */
std::string sendRaw(const endpoint &to, const std::string &bytes)
{
    asio::io_context context;
    auto socket = sendBytes(context, to, bytes);
    error_code code;
    std::string got;
    asio::read(socket, asio::dynamic_buffer(got), code);
    return got;
}

/** Sends a request and returns the first line of the answer. */
std::string statusOf(const endpoint &to, const std::string &bytes)
{
    asio::io_context context;
    auto socket = sendBytes(context, to, bytes);
    error_code code;
    std::string got(512, '\0');
    got.resize(socket.read_some(asio::buffer(got), code));
    return got.substr(0, got.find('\r'));
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
        at = running->portsOf("key-1").callers;
    }

    void TearDown() override
    {
        EXPECT_EQ(statusOf(at, "GET /formulas/k1 HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 200 OK");
    }

    static fleet *running;
    static bool started;
    endpoint at;
};

fleet *caller_input::running = nullptr;
bool caller_input::started = false;

} // namespace

TEST_F(caller_input, unknownRoute)
{
    EXPECT_EQ(statusOf(at, "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 404 Not Found");
}

TEST_F(caller_input, missingKey)
{
    EXPECT_EQ(statusOf(at, "GET /formulas HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(statusOf(at, "GET /formulas/%zz HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 400 Bad Request");
}

TEST_F(caller_input, oversizedHeaders)
{
    const auto big = "GET /formulas/k1 HTTP/1.1\r\nHost: a\r\nX-Big: " + std::string(20000, 'x') + "\r\n\r\n";
    EXPECT_EQ(statusOf(at, big).substr(0, 12), "HTTP/1.1 431");
}

TEST_F(caller_input, oversizedBodies)
{
    EXPECT_EQ(statusOf(at, "POST /releases/k1 HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n").substr(0, 12),
              "HTTP/1.1 413");
}

TEST_F(caller_input, smuggledLengths)
{
    EXPECT_EQ(statusOf(at,
                       "POST /releases/k1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n0\r\n\r\n")
                  .substr(0, 12),
              "HTTP/1.1 400");
    EXPECT_EQ(
        statusOf(at, "POST /releases/k1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd")
            .substr(0, 12),
        "HTTP/1.1 400");
}

TEST_F(caller_input, badFraming)
{
    EXPECT_EQ(sendRaw(at, "nonsense\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(sendRaw(at, std::string("\0\1\2\3\r\n\r\n", 8)).substr(0, 12), "HTTP/1.1 400");
}

// A chunk's extensions or a trailer without an end are no body: the caller is let go after a bounded number of bytes.
TEST_F(caller_input, framingWithoutEnd)
{
    const std::string head = "POST /releases/k1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(65536, 'x');
    constexpr std::size_t boundedBytes = 32 * 1024 * 1024; // What sockets hold, and far less than a daemon may use.
    for (const std::string start : {"5;", "5\r\nabcde\r\n0\r\nX-T: "}) {
        asio::io_context context;
        auto socket = sendBytes(context, at, head + start);
        error_code code;
        std::size_t written = 0;
        while (!code && written < 2 * boundedBytes) {
            written += asio::write(socket, asio::buffer(filler), code);
        }
        EXPECT_LT(written, boundedBytes) << start;
    }
}

TEST_F(caller_input, aCallersGrantHeadersAreTakenOut)
{
    const auto answer = statusOf(at, "GET /formulas/k1 HTTP/1.1\r\nHost: a\r\nQuetzalspool-Fence: 1\r\n\r\n");
    EXPECT_EQ(answer, "HTTP/1.1 200 OK"); // A target that saw fence 1 would refuse it as stale.
}

TEST_F(caller_input, aLargeAnswerComesWholeThroughTwoHops)
{
    constexpr std::size_t size = 3000000;
    for (const auto &name : {"key-1", "key-3"}) {
        const auto got = sendRaw(running->portsOf(name).callers,
                                 "GET /formulas/k5?bytes=" + std::to_string(size)
                                     + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        EXPECT_GT(got.size(), size) << name;
    }
}

} // namespace quetzalspool
