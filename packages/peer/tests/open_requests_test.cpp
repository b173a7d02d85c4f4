/** @file open_requests_test.cpp A server has open requests until the last byte of their responses is written. */
#include "h2_session.h"
#include "http_server.h"
#include "peer_server.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

constexpr std::int32_t largeWindow = 1 << 24; ///< Flow-control window of the client, in bytes.
constexpr std::size_t responseBytes = 60000; ///< Body of a response; less than one write.

/** A server that responds at once. */
struct prompt_server
{
    asio::io_context context{1}; ///< Context of the server.
    std::shared_ptr<peer_server> server; ///< Server.
    endpoint at; ///< Address of the server.
    std::size_t handled = 0; ///< Number of requests whose handler has ended.

    prompt_server()
    {
        last_reason why;
        auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
        at = {"127.0.0.1", acceptor->local_endpoint().port()};
        server = startPeerServer(std::move(*acceptor),
                                 [this](peer_request request, std::shared_ptr<peer_responder> responder) {
                                     return respond(std::move(request), std::move(responder));
                                 });
    }

    asio::awaitable<void> respond(peer_request /*request*/, std::shared_ptr<peer_responder> responder)
    {
        sendResponseHead(*responder, 200, {});
        co_await sendBodyChunk(responder, std::string(responseBytes, 'b'));
        endResponse(*responder);
        ++handled;
    }

    void pollUntilIdle()
    {
        constexpr int idleRounds = 20;
        for (int idle = 0; idle < idleRounds;) {
            idle = context.poll() > 0 ? 0 : idle + 1;
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
};

/** A client that sends requests and reads raw bytes only when the test says so. */
struct raw_client
{
    asio::io_context context{1}; ///< Context of the socket.
    tcp::socket socket{context}; ///< Connection.
    nghttp2_session *session = nullptr; ///< Session.
    std::size_t bodyBytes = 0; ///< Bytes of response bodies received.

    explicit raw_client(const endpoint &to)
    {
        socket.connect(toAsioEndpoint<tcp>(to));
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_client_new(&session, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        const nghttp2_settings_entry window{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, largeWindow};
        nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, &window, 1);
        nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, largeWindow);
    }

    raw_client(const raw_client &) = delete;
    raw_client &operator=(const raw_client &) = delete;

    ~raw_client()
    {
        nghttp2_session_del(session);
    }

    static int onData(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t /*stream*/,
                      const std::uint8_t * /*data*/, std::size_t length, void *user)
    {
        static_cast<raw_client *>(user)->bodyBytes += length;
        return 0;
    }

    void request(const std::string &path)
    {
        const std::vector<http_header> headers{
            {":method", "POST"}, {":scheme", "http"}, {":authority", "peer"}, {":path", path}};
        const auto nameValues = toNameValues(headers);
        nghttp2_submit_request(session, nullptr, nameValues.data(), nameValues.size(), nullptr, nullptr);
        const std::uint8_t *data = nullptr;
        for (auto length = nghttp2_session_mem_send(session, &data); length > 0;
             length = nghttp2_session_mem_send(session, &data)) {
            asio::write(socket, asio::buffer(data, static_cast<std::size_t>(length)));
        }
    }

    /** Reads what the server's system has been given to send. */
    void receive()
    {
        constexpr int idleRounds = 20;
        std::string bytes(1 << 20, '\0');
        socket.non_blocking(true);
        for (int idle = 0; idle < idleRounds; ++idle) {
            error_code code;
            while (!code) {
                const auto length = socket.read_some(asio::buffer(bytes), code);
                nghttp2_session_mem_recv(session, reinterpret_cast<const std::uint8_t *>(bytes.data()), length);
                idle = length > 0 ? 0 : idle;
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
        socket.non_blocking(false);
    }
};

} // namespace

TEST(openRequests, aResponseOfWhichAPartIsNotWrittenCountsAsOpen)
{
    constexpr std::size_t mostRequests = largeWindow / responseBytes;
    prompt_server server;
    raw_client client(server.at);
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
    EXPECT_EQ(server.handled, sent) << "all handlers have ended";
    client.receive();
    EXPECT_GE(client.bodyBytes, (sent - 1) * responseBytes) << "a response that did not count as open was not written";
    EXPECT_LT(client.bodyBytes, sent * responseBytes) << "a response that was written counted as open";
    server.pollUntilIdle();
    client.receive();
    EXPECT_EQ(client.bodyBytes, sent * responseBytes);
    EXPECT_FALSE(hasOpenRequests(*server.server, "/run"));
}

} // namespace quetzalspool::test
