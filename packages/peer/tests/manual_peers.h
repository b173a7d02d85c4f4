/** @file manual_peers.h A server that records its requests, and an HTTP/2 client that the test drives step by step. */
#ifndef MANUAL_PEERS_H
#define MANUAL_PEERS_H

#include "elapsed_clock.h"
#include "h2_session.h"
#include "http_server.h"
#include "peer_server.h"

#include <boost/asio/write.hpp>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <thread>

namespace quetzalspool::test {

/** A server that records which requests were handled, by their paths. */
struct recording_server
{
    asio::io_context context{1}; ///< Context of the server.
    std::shared_ptr<peer_server> server; ///< Server.
    endpoint at; ///< Address of the server.
    std::multiset<std::string> handled; ///< Paths of the requests that were handled.
    std::size_t ended = 0; ///< Number of requests whose handler has ended.
    std::string responseBody; ///< Body of each response.
    bool holdsResponses = false; ///< Whether requests stay in progress until respondToHeld.
    std::vector<std::shared_ptr<peer_responder>> held; ///< Requests in progress.

    explicit recording_server(std::optional<int> sendBuffer = std::nullopt)
    {
        last_reason why;
        auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
        if (sendBuffer) {
            acceptor->set_option(asio::socket_base::send_buffer_size(*sendBuffer)); // Connections inherit it.
        }
        at = {"127.0.0.1", acceptor->local_endpoint().port()};
        server = startPeerServer(std::move(*acceptor),
                                 [this](peer_request request, std::shared_ptr<peer_responder> responder) {
                                     return respond(std::move(request), std::move(responder));
                                 });
    }

    asio::awaitable<void> respond(peer_request request, std::shared_ptr<peer_responder> responder)
    {
        handled.insert(request.path);
        if (holdsResponses) {
            held.push_back(std::move(responder));
            co_return;
        }
        co_await writeResponse(std::move(responder));
    }

    asio::awaitable<void> writeResponse(std::shared_ptr<peer_responder> responder)
    {
        sendResponseHead(*responder, 200, {});
        co_await sendBodyChunk(responder, responseBody);
        endResponse(*responder);
        ++ended;
    }

    void respondToHeld()
    {
        for (auto &responder : held) {
            asio::co_spawn(context, writeResponse(std::move(responder)), asio::detached);
        }
        held.clear();
    }

    /** Processes whatever is ready until nothing has been ready for a while. */
    void pollUntilIdle()
    {
        constexpr int idleRounds = 20;
        for (int idle = 0; idle < idleRounds;) {
            idle = context.poll() > 0 ? 0 : idle + 1;
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
};

/** An HTTP/2 client that sends and reads only when the test says so. */
struct manual_client
{
    static constexpr int smallBuffer = 4096; ///< Bytes that the socket buffers; the server's writes soon wait.
    static constexpr std::size_t readBytes = 4096; ///< Bytes that are read at once.
    static constexpr std::int32_t largeWindow = 1 << 24; ///< Flow-control window in bytes.

    asio::io_context context{1}; ///< Context of the socket.
    tcp::socket socket{context}; ///< Connection.
    nghttp2_session *session = nullptr; ///< Session.
    std::int32_t goawayLastStream = std::numeric_limits<std::int32_t>::max(); ///< Lowest last stream of all GOAWAYs.
    bool goawayReceived = false; ///< Whether a GOAWAY was received.
    std::vector<std::int32_t> announced; ///< Last streams of all GOAWAYs, in order.
    std::map<std::int32_t, std::uint32_t> closed; ///< Error codes of closed streams.
    std::map<std::int32_t, std::size_t> bodyBytes; ///< Bytes of the response bodies.
    std::string requestBody; ///< Body of a request that is sent in two parts.
    bool requestBodyReady = false; ///< Whether it may be sent.

    explicit manual_client(const endpoint &to, std::int32_t windowBytes = largeWindow,
                           std::optional<int> receiveBuffer = smallBuffer)
    {
        socket.open(tcp::v4());
        if (receiveBuffer) {
            socket.set_option(asio::socket_base::receive_buffer_size(*receiveBuffer));
        }
        socket.connect(toAsioEndpoint<tcp>(to));
        socket.set_option(tcp::no_delay(true));
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onClose);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_client_new(&session, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        const nghttp2_settings_entry window{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                                            static_cast<std::uint32_t>(windowBytes)};
        nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, &window, 1);
        nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, largeWindow);
    }

    manual_client(const manual_client &) = delete;
    manual_client &operator=(const manual_client &) = delete;

    ~manual_client()
    {
        nghttp2_session_del(session);
    }

    static int onFrame(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
    {
        auto &client = *static_cast<manual_client *>(user);
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            client.goawayReceived = true;
            client.announced.push_back(frame->goaway.last_stream_id);
            client.goawayLastStream = std::min(client.goawayLastStream, frame->goaway.last_stream_id);
        }
        return 0;
    }

    static int onClose(nghttp2_session * /*session*/, std::int32_t id, std::uint32_t errorCode, void *user)
    {
        static_cast<manual_client *>(user)->closed[id] = errorCode;
        return 0;
    }

    static int onData(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t id,
                      const std::uint8_t * /*data*/, std::size_t length, void *user)
    {
        static_cast<manual_client *>(user)->bodyBytes[id] += length;
        return 0;
    }

    static ssize_t readBody(nghttp2_session * /*session*/, std::int32_t /*id*/, std::uint8_t *buffer,
                            std::size_t length, std::uint32_t *flags, nghttp2_data_source *source, void * /*user*/)
    {
        auto &client = *static_cast<manual_client *>(source->ptr);
        if (!client.requestBodyReady) {
            return NGHTTP2_ERR_DEFERRED;
        }
        const auto count = std::min(length, client.requestBody.size());
        std::copy_n(client.requestBody.begin(), count, buffer);
        client.requestBody.erase(0, count);
        *flags |= client.requestBody.empty() ? NGHTTP2_DATA_FLAG_EOF : NGHTTP2_DATA_FLAG_NONE;
        return static_cast<ssize_t>(count);
    }

    /** Sends the head of a request; its body follows with sendRequestBody. */
    std::int32_t beginRequest(const std::string &path)
    {
        const std::vector<http_header> headers{
            {":method", "POST"}, {":scheme", "http"}, {":authority", "peer"}, {":path", path}};
        header_history history;
        const auto nameValues = toNameValues(history, headers);
        nghttp2_data_provider body{};
        body.source.ptr = this;
        body.read_callback = readBody;
        const auto stream =
            nghttp2_submit_request(session, nullptr, nameValues.data(), nameValues.size(), &body, nullptr);
        send();
        return stream;
    }

    void sendRequestBody(std::int32_t stream, std::string body)
    {
        requestBody = std::move(body);
        requestBodyReady = true;
        nghttp2_session_resume_data(session, stream);
        send();
    }

    /** Sends what the session has pending. */
    void send()
    {
        const std::uint8_t *data = nullptr;
        for (auto length = nghttp2_session_mem_send(session, &data); length > 0;
             length = nghttp2_session_mem_send(session, &data)) {
            error_code code; // A server that has closed the connection is seen by what it didn't send.
            asio::write(socket, asio::buffer(data, static_cast<std::size_t>(length)), code);
        }
    }

    std::int32_t request(const std::string &path)
    {
        const std::vector<http_header> headers{
            {":method", "POST"}, {":scheme", "http"}, {":authority", "peer"}, {":path", path}};
        header_history history;
        const auto nameValues = toNameValues(history, headers);
        const auto stream =
            nghttp2_submit_request(session, nullptr, nameValues.data(), nameValues.size(), nullptr, nullptr);
        send();
        return stream;
    }

    /** Reads what has arrived. Returns the number of bytes. */
    std::size_t receive()
    {
        std::string bytes(readBytes, '\0');
        error_code code;
        std::size_t total = 0;
        socket.non_blocking(true);
        for (auto length = socket.read_some(asio::buffer(bytes), code); !code;
             length = socket.read_some(asio::buffer(bytes), code)) {
            nghttp2_session_mem_recv(session, reinterpret_cast<const std::uint8_t *>(bytes.data()), length);
            total += length;
        }
        socket.non_blocking(false);
        return total;
    }

    /** Reads until nothing has arrived for a while. */
    void receiveUntilIdle()
    {
        constexpr int idleRounds = 20;
        for (int idle = 0; idle < idleRounds;) {
            idle = receive() > 0 ? 0 : idle + 1;
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    /** Bytes of all response bodies received. */
    [[nodiscard]] std::size_t allBodyBytes() const
    {
        std::size_t total = 0;
        for (const auto &[stream, bytes] : bodyBytes) {
            total += bytes;
        }
        return total;
    }

    void receiveUntilGoaway(recording_server &server)
    {
        const auto until = elapsed_clock::now() + std::chrono::seconds(5);
        while (!goawayReceived && elapsed_clock::now() < until) {
            server.context.poll();
            receive();
        }
    }
};

} // namespace quetzalspool::test

#endif // MANUAL_PEERS_H
