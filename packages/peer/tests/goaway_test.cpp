/** @file goaway_test.cpp A stream that is reported as refused is never handled: GOAWAY, and bodies that are too long.
 */
#include "elapsed_clock.h"
#include "h2_session.h"
#include "http_server.h"
#include "peer_client.h"
#include "peer_server.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <limits>
#include <map>
#include <random>
#include <set>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

/** A server that records which requests were handled, by their paths. */
struct recording_server
{
    asio::io_context context{1}; ///< Context of the server.
    std::shared_ptr<peer_server> server; ///< Server.
    endpoint at; ///< Address of the server.
    std::multiset<std::string> handled; ///< Paths of the requests that were handled.
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
    static constexpr int receiveBuffer = 4096; ///< Bytes; small, so that the server's writes soon wait.
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

    explicit manual_client(const endpoint &to, std::int32_t windowBytes = largeWindow)
    {
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
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
        const auto nameValues = toNameValues(headers);
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
        const auto nameValues = toNameValues(headers);
        const auto stream =
            nghttp2_submit_request(session, nullptr, nameValues.data(), nameValues.size(), nullptr, nullptr);
        send();
        return stream;
    }

    /** Reads what has arrived. */
    void receive()
    {
        std::string bytes(receiveBuffer, '\0');
        error_code code;
        socket.non_blocking(true);
        for (auto length = socket.read_some(asio::buffer(bytes), code); !code;
             length = socket.read_some(asio::buffer(bytes), code)) {
            nghttp2_session_mem_recv(session, reinterpret_cast<const std::uint8_t *>(bytes.data()), length);
        }
        socket.non_blocking(false);
    }

    void receiveUntilGoaway(recording_server &server)
    {
        const auto until = elapsed_clock::now() + seconds(5);
        while (!goawayReceived && elapsed_clock::now() < until) {
            server.context.poll();
            receive();
        }
    }
};

} // namespace

// An order would run after its caller was told that it had not, if the GOAWAY waits for earlier bytes.
TEST(goaway, aRequestBeyondTheLastStreamOfAGoawayIsNeverHandled)
{
    recording_server server;
    server.responseBody = std::string(8000000, 'b');
    manual_client client(server.at);
    client.request("/large");
    server.pollUntilIdle();
    ASSERT_EQ(server.handled.count("/large"), 1U);
    drainPeerServer(*server.server);
    const auto stream = client.request("/order");
    server.pollUntilIdle();
    client.receiveUntilGoaway(server);
    ASSERT_TRUE(client.goawayReceived);
    const bool refused = stream > client.goawayLastStream;
    EXPECT_FALSE(refused && server.handled.contains("/order"))
        << "stream " << stream << " was handled, but the last stream of the GOAWAY is " << client.goawayLastStream;
}

TEST(goaway, aConnectionThatIsAcceptedDuringADrainGetsAGoaway)
{
    recording_server server;
    manual_client client(server.at);
    asio::post(server.context, [&] { drainPeerServer(*server.server); });
    client.request("/order");
    server.pollUntilIdle();
    client.receiveUntilGoaway(server);
    EXPECT_TRUE(client.goawayReceived);
    EXPECT_EQ(server.handled.count("/order"), client.goawayLastStream > 0 ? 1U : 0U);
}

TEST(goaway, requestsReportedAsNotProcessedWereNeverHandledInRandomStops)
{
    constexpr int rounds = 200;
    constexpr int calls = 12;
    constexpr unsigned seed = 20261204;
    std::cout << "seed " << seed << "\n";
    std::mt19937 random(seed);
    int refused = 0;
    for (int round = 0; round < rounds; ++round) {
        recording_server server;
        server.responseBody = std::string(random() % 2 == 0 ? 10 : 100000, 'b');
        asio::io_context clientContext{1};
        const auto client = makePeerClient(clientContext.get_executor());
        std::vector<std::shared_ptr<peer_call>> opened;
        for (int number = 0; number < calls; ++number) {
            const auto start = [&, number]() -> asio::awaitable<void> {
                co_await sleepFor(milliseconds(random() % 4));
                peer_request request{"/" + std::to_string(number), {}, ""};
                const auto call = co_await openCall(client, server.at, request, seconds(1));
                if (!call.call) {
                    co_return;
                }
                co_await readResponse(call.call, elapsed_clock::now() + milliseconds(50));
                if (classifyFailure(*call.call) == peer_failure::not_processed) {
                    ++refused;
                    EXPECT_FALSE(server.handled.contains(request.path)) << "round " << round << " call " << number;
                }
            };
            asio::co_spawn(clientContext, start, asio::detached);
        }
        const auto drainAfter = static_cast<int>(random() % 40);
        for (int turn = 0; turn < 400; ++turn) {
            if (turn == drainAfter) {
                asio::post(server.context, [&] { drainPeerServer(*server.server); });
            }
            if (random() % 2 == 0) {
                server.context.poll();
            } else {
                clientContext.poll();
            }
            if (turn % 10 == 0) {
                std::this_thread::sleep_for(std::chrono::microseconds(300));
            }
        }
    }
    std::cout << "figure: refused as not processed " << refused << "\n";
}

TEST(goaway, aRequestRefusedForItsSizeIsNeverHandled)
{
    recording_server server;
    const auto client = makePeerClient(server.context.get_executor());
    peer_failure failure = peer_failure::none;
    const auto work = [&]() -> asio::awaitable<void> {
        peer_request request{"/order", {}, std::string(maxRequestBodyBytes + 1, 'b')};
        const auto opened = co_await openCall(client, server.at, std::move(request), seconds(1));
        co_await readResponse(opened.call, elapsed_clock::now() + seconds(5));
        failure = classifyFailure(*opened.call);
        server.context.stop();
    };
    asio::co_spawn(server.context, work, asio::detached);
    server.context.run_for(seconds(20));
    EXPECT_EQ(failure, peer_failure::not_processed);
    EXPECT_TRUE(server.handled.empty());
}

TEST(goaway, aRequestInProgressAtAStopIsNotReportedAsRefused)
{
    recording_server server;
    server.holdsResponses = true;
    manual_client client(server.at);
    const auto first = client.request("/first");
    const auto last = client.request("/last");
    server.pollUntilIdle();
    ASSERT_EQ(server.held.size(), 2U);
    drainPeerServer(*server.server);
    client.receiveUntilGoaway(server);
    EXPECT_EQ(client.goawayLastStream, last);
    server.respondToHeld();
    server.pollUntilIdle();
    client.receive();
    EXPECT_EQ(client.closed,
              (std::map<std::int32_t, std::uint32_t>{{first, NGHTTP2_NO_ERROR}, {last, NGHTTP2_NO_ERROR}}));
}

TEST(goaway, aRequestWhoseBodyArrivesDuringAStopIsHandledAndAnswered)
{
    recording_server server;
    manual_client client(server.at);
    const auto stream = client.beginRequest("/order");
    server.pollUntilIdle();
    drainPeerServer(*server.server);
    client.receiveUntilGoaway(server);
    EXPECT_EQ(client.goawayLastStream, stream);
    client.sendRequestBody(stream, std::string(1000, 'b'));
    server.pollUntilIdle();
    client.receive();
    EXPECT_EQ(server.handled.count("/order"), 1U);
    EXPECT_EQ(client.closed, (std::map<std::int32_t, std::uint32_t>{{stream, NGHTTP2_NO_ERROR}}));
}

TEST(goaway, aSecondStopAcceptsNoStreamThatTheFirstOneRefused)
{
    recording_server server;
    server.responseBody = std::string(8000000, 'b');
    manual_client client(server.at);
    client.request("/large");
    server.pollUntilIdle();
    drainPeerServer(*server.server);
    client.request("/order");
    server.pollUntilIdle();
    drainPeerServer(*server.server);
    client.request("/later");
    server.pollUntilIdle();
    client.receiveUntilGoaway(server);
    for (int round = 0; round < 20; ++round) {
        server.context.poll();
        client.receive();
    }
    EXPECT_EQ(client.announced, (std::vector<std::int32_t>{1, 1}));
    EXPECT_EQ(server.handled, (std::multiset<std::string>{"/large"}));
}

// The session counts as finished once the last frame was taken from nghttp2, while it is still being written.
TEST(goaway, aResponseThatIsStillBeingWrittenDuringAStopIsNotCut)
{
    constexpr std::int32_t windowBytes = 128 * 1024; // As between daemons.
    constexpr int sendBufferBytes = 16384; // The kernel's initial size.
    recording_server server(sendBufferBytes);
    server.holdsResponses = true;
    server.responseBody = std::string(120000, 'b');
    manual_client client(server.at, windowBytes);
    const auto stream = client.request("/large");
    server.pollUntilIdle();
    ASSERT_EQ(server.held.size(), 1U);
    drainPeerServer(*server.server);
    client.receiveUntilGoaway(server);
    server.respondToHeld();
    server.pollUntilIdle();
    const auto until = elapsed_clock::now() + seconds(5);
    while (!client.closed.contains(stream) && elapsed_clock::now() < until && client.socket.is_open()) {
        server.context.poll();
        client.receive();
        client.send();
    }
    EXPECT_EQ(client.bodyBytes[stream], server.responseBody.size());
    EXPECT_TRUE(client.closed.contains(stream));
}

// A new connection to the leaving daemon takes the place of the old one, whose calls are still in progress.
TEST(goaway, aCallInProgressAtAStopKeepsItsKeepalive)
{
    recording_server server;
    server.holdsResponses = true;
    asio::io_context clientContext{1};
    const auto client = makePeerClient(clientContext.get_executor());
    const auto runFor = [&](milliseconds duration, bool serverResponds) {
        const auto until = elapsed_clock::now() + duration;
        while (elapsed_clock::now() < until) {
            serverResponds ? server.context.poll() : 0;
            clientContext.restart();
            clientContext.run_for(milliseconds(1));
        }
    };
    opened_call inProgress;
    opened_call later;
    const auto open = [&](opened_call &call, std::string path) -> asio::awaitable<void> {
        peer_request request{std::move(path), {}, ""};
        call = co_await openCall(client, server.at, std::move(request), seconds(1));
    };
    asio::co_spawn(clientContext, open(inProgress, "/order"), asio::detached);
    runFor(milliseconds(100), true);
    ASSERT_EQ(server.held.size(), 1U);
    drainPeerServer(*server.server);
    runFor(milliseconds(100), true);
    asio::co_spawn(clientContext, open(later, "/later"), asio::detached);
    runFor(milliseconds(100), true);
    ASSERT_FALSE(later.call);
    runFor(seconds(2), false);
    EXPECT_TRUE(isPeerUnresponsive(*inProgress.call));
}

} // namespace quetzalspool::test
