/** @file open_requests_test.cpp A server has open requests until the last byte of their responses is written. */
#include "manual_peers.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

constexpr std::size_t responseBytes = 60000; ///< Body of a response; less than one write.

} // namespace

TEST(openRequests, aResponseOfWhichAPartIsNotWrittenCountsAsOpen)
{
    constexpr std::size_t mostRequests = manual_client::largeWindow / responseBytes;
    recording_server server;
    server.responseBody = std::string(responseBytes, 'b');
    manual_client client(server.at, manual_client::largeWindow, std::nullopt);
    server.pollUntilIdle();
    EXPECT_FALSE(hasOpenRequests(*server.server, "/run"));
    // The client reads nothing: sooner or later the socket takes no more, in the middle of the last response.
    std::size_t sent = 0;
    while (sent < mostRequests && !hasOpenRequests(*server.server, "/run")) {
        client.request("/run");
        ++sent;
        server.pollUntilIdle();
    }
    ASSERT_LT(sent, mostRequests);
    EXPECT_EQ(server.ended, sent) << "all handlers have ended";
    client.receiveUntilIdle();
    EXPECT_GE(client.allBodyBytes(), (sent - 1) * responseBytes)
        << "a response that did not count as open was not written";
    EXPECT_LT(client.allBodyBytes(), sent * responseBytes) << "a response that was written counted as open";
    server.pollUntilIdle();
    client.receiveUntilIdle();
    EXPECT_EQ(client.allBodyBytes(), sent * responseBytes);
    EXPECT_FALSE(hasOpenRequests(*server.server, "/run"));
}

} // namespace quetzalspool::test
