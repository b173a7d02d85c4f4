/** @file peer_client.cpp Client for requests to other daemons. */
#include "peer_client.h"

#include "elapsed_clock.h"
#include "h2_session.h"
#include "tcp_keepalive.h"

#include <map>
#include <set>

namespace quetzalspool {

namespace {

constexpr milliseconds pingTimeout{2500}; ///< A session that leaves a ping unanswered for this long is closed.
constexpr milliseconds pingIdleTime{250}; ///< With open calls, a ping is sent after this long without received bytes.
constexpr milliseconds unresponsiveTimeout{700}; ///< A daemon with a ping unanswered for this long is unresponsive.
constexpr milliseconds keepaliveInterval{150}; ///< Time between keepalive checks.
constexpr milliseconds reconnectDelay{400}; ///< Delay before reconnecting, unless the connection was refused.

constexpr std::chrono::seconds idleTimeout{10}; ///< A session without calls is closed after this long.
constexpr std::chrono::seconds idleCheckInterval{1}; ///< Time between checks for idle sessions.

} // namespace

/** Connection to one daemon, and the state of reconnecting. */
struct peer_connection
{
    explicit peer_connection(const asio::any_io_executor &executor)
        : connected(executor)
    { }

    std::shared_ptr<h2_session> session; ///< Session; null before the first connection and after a failed one.
    bool connecting = false; ///< Whether a connection is being made.
    last_reason why; ///< Why the last connection failed.
    steady_time noConnectBefore{}; ///< No connection is tried before this time.
    async_condition connected; ///< Notified when a connection attempt ends.
};

struct peer_client
{
    asio::any_io_executor executor; ///< Executor of the client.
    std::map<endpoint, std::shared_ptr<peer_connection>> connections; ///< Connections by peer port of the daemon.
    std::set<std::shared_ptr<h2_session>> sessions; ///< Open sessions, also those that were replaced after a GOAWAY.
    std::shared_ptr<memory_meter> memory; ///< Memory that received bytes are charged to; null for none.
    client_account account; ///< Where the bytes sent are counted.
    std::uint64_t closedBytes = 0; ///< Bytes sent and received by closed sessions.
    steady_time nextIdleCheck{}; ///< Time of the next check for idle sessions.
    bool keepaliveRunning = false; ///< Whether the keepalive loop is running.
};

struct peer_call
{
    std::shared_ptr<h2_session> session; ///< Session.
    std::shared_ptr<h2_stream> stream; ///< Stream.
};

namespace {

bool isUsable(const peer_connection &connection)
{
    return connection.session && !connection.session->transportClosed && !connection.session->goawayReceived;
}

/** Runs the read loop of a session and adds its traffic to the total at the end. */
asio::awaitable<void> runSession(std::shared_ptr<peer_client> client, std::shared_ptr<h2_session> session)
{
    client->sessions.insert(session);
    co_await readLoop(session);
    client->sessions.erase(session);
    client->closedBytes += session->bytesReceived + session->bytesSent;
}

asio::awaitable<void> openConnection(std::shared_ptr<peer_client> client, std::shared_ptr<peer_connection> connection,
                                     endpoint to, milliseconds timeout, byte_distance distance)
{
    connection->connecting = true;
    // The timer's handler shares the socket: it may already be queued when the connection is made, and can't be
    // cancelled then.
    const auto socket = std::make_shared<tcp::socket>(client->executor);
    asio::steady_timer limit(client->executor, timeout);
    limit.async_wait([socket](error_code code) {
        if (!code) {
            error_code ignored;
            socket->close(ignored);
        }
    });
    error_code code;
    co_await socket->async_connect(toAsioEndpoint<tcp>(to), redirectError(code));
    limit.cancel();
    connection->connecting = false;
    if (code || !socket->is_open()) {
        failed(connection->why, "connect", toString(to), code ? code.message() : "timeout");
        if (code != asio::error::connection_refused) {
            connection->noConnectBefore = elapsed_clock::now() + reconnectDelay;
        }
        connection->session = nullptr;
    } else {
        enableKeepalive(*socket);
        connection->session = std::make_shared<h2_session>(std::move(*socket));
        connection->session->memory = client->memory;
        const auto &account = client->account;
        connection->session->account = {counterOf(account.sent, account.bodies, distance),
                                        counterOf(account.sent, account.others, distance), true};
        startSession(connection->session, false);
        asio::co_spawn(client->executor, runSession(client, connection->session), asio::detached);
    }
    connection->connected.notifyAll();
}

/** Returns for how long the last ping has been unanswered; 0 if bytes were received since. */
milliseconds unansweredPingTime(const h2_session &session, steady_time now)
{
    const bool unanswered = session.pingSentAt > session.lastReceived;
    return unanswered ? std::chrono::duration_cast<milliseconds>(now - session.pingSentAt) : milliseconds(0);
}

/** Closes a session that has left a ping unanswered for too long. */
void closeUnresponsive(peer_connection &connection, steady_time now)
{
    if (connection.session && !connection.session->transportClosed
        && unansweredPingTime(*connection.session, now) > pingTimeout) {
        closeSession(connection.session);
    }
}

bool needsKeepalive(const h2_session &session)
{
    return !session.transportClosed && !session.streams.empty();
}

/** Sends keepalive pings on sessions with open calls that receive nothing, while there are open calls. */
asio::awaitable<void> keepaliveLoop(std::shared_ptr<peer_client> client)
{
    for (bool any = true; any;) {
        co_await sleepFor(keepaliveInterval);
        const auto now = elapsed_clock::now();
        any = false;
        for (const auto &session : client->sessions) {
            if (!needsKeepalive(*session)) {
                continue;
            }
            any = true;
            if (now - session->lastReceived > pingIdleTime && session->pingSentAt <= session->lastReceived) {
                session->pingSentAt = now;
                nghttp2_submit_ping(session->session, NGHTTP2_FLAG_NONE, nullptr);
                flush(session);
            }
        }
    }
    client->keepaliveRunning = false;
}

/** Closes idle sessions: over time a daemon may open one to every other daemon. */
void closeIdleSessions(peer_client &client, steady_time now)
{
    if (now < client.nextIdleCheck) {
        return;
    }
    client.nextIdleCheck = now + idleCheckInterval;
    for (const auto &[to, connection] : client.connections) {
        const auto &session = connection->session;
        if (session && !session->transportClosed && session->streams.empty()
            && now - session->lastReceived > idleTimeout) {
            closeSession(session);
        }
    }
    std::erase_if(client.connections, [](const auto &entry) {
        const auto &connection = *entry.second;
        return !connection.connecting && (!connection.session || connection.session->transportClosed);
    });
}

std::shared_ptr<peer_call> submitRequest(const std::shared_ptr<h2_session> &session, const peer_request &request,
                                         const endpoint &to, byte_distance distance)
{
    auto call = std::make_shared<peer_call>();
    call->session = session;
    call->stream = std::make_shared<h2_stream>(session->socket.get_executor());
    std::vector<http_header> headers{
        {":method", "POST"}, {":scheme", "http"}, {":authority", to.host}, {":path", request.path}};
    headers.insert(headers.end(), request.headers.begin(), request.headers.end());
    if (session->peerLevel < protocolLevel) {
        headers.insert(headers.end(), request.derivable.begin(), request.derivable.end());
    }
    const bool first = nghttp2_session_get_next_stream_id(session->session) == 1;
    if (first && distance != byte_distance::region) {
        headers.emplace_back(distanceHeader, nameOf(distance));
    }
    const auto nameValues = toNameValues(session->headers, headers);
    call->stream->charge.chargeTo(session->memory);
    call->stream->request = request.body;
    call->stream->unsentParts = request.body.parts();
    call->stream->outgoingComplete = true;
    const auto source = makeDataProvider(*call->stream);
    if (session->streams.empty()) {
        session->lastReceived = elapsed_clock::now(); // Idle time counts from the first open call.
    }
    call->stream->id = nghttp2_submit_request(session->session, nullptr, nameValues.data(), nameValues.size(),
                                              request.body.empty() ? nullptr : &source, nullptr);
    if (call->stream->id < 0) {
        return nullptr;
    }
    session->streams[call->stream->id] = call->stream;
    flush(session);
    return call;
}

} // namespace

std::shared_ptr<peer_client> makePeerClient(asio::any_io_executor executor, std::shared_ptr<memory_meter> memory,
                                            client_account account)
{
    auto client = std::make_shared<peer_client>();
    client->account = std::move(account);
    client->memory = std::move(memory);
    client->executor = std::move(executor);
    return client;
}

asio::awaitable<opened_call> openCall(std::shared_ptr<peer_client> client, endpoint to, peer_request request,
                                      milliseconds connectTimeout, byte_distance distance)
{
    closeIdleSessions(*client, elapsed_clock::now());
    auto &entry = client->connections[to];
    if (!entry) {
        entry = std::make_shared<peer_connection>(client->executor);
    }
    auto connection = entry;
    closeUnresponsive(*connection, elapsed_clock::now());
    opened_call opened;
    const auto now = elapsed_clock::now();
    if (now < connection->noConnectBefore
        || (isUsable(*connection) && unansweredPingTime(*connection->session, now) > unresponsiveTimeout)) {
        failed(opened.why, "connect", toString(to), "the daemon is unresponsive");
        co_return opened;
    }
    if (!isUsable(*connection)) {
        if (!connection->connecting) {
            co_await openConnection(client, connection, to, connectTimeout, distance);
        }
        const auto until = elapsed_clock::now() + connectTimeout;
        while (connection->connecting && elapsed_clock::now() < until) {
            co_await connection->connected.waitUntil(until);
        }
    }
    if (!isUsable(*connection)) {
        opened.why = connection->why;
        if (opened.why.text.empty()) {
            failed(opened.why, "connect", toString(to), "the connection was not made in time");
        }
        co_return opened;
    }
    opened.call = submitRequest(connection->session, request, to, distance);
    if (!opened.call) {
        failed(opened.why, "open a stream", toString(to), "the session accepts no more streams");
    } else if (!client->keepaliveRunning) {
        client->keepaliveRunning = true;
        asio::co_spawn(client->executor, keepaliveLoop(client), asio::detached);
    }
    co_return opened;
}

asio::awaitable<std::optional<peer_response_head>> readResponseHead(std::shared_ptr<peer_call> call, steady_time until)
{
    auto &stream = *call->stream;
    while (!stream.headersComplete && !stream.closed && elapsed_clock::now() < until) {
        co_await stream.changed.waitUntil(until);
    }
    if (!stream.headersComplete) {
        co_return std::nullopt;
    }
    co_return peer_response_head{stream.status, std::move(stream.headers)};
}

asio::awaitable<std::optional<std::string>> readBodyChunk(std::shared_ptr<peer_call> call, steady_time until)
{
    auto &stream = *call->stream;
    while (stream.received.empty() && !stream.endStreamReceived && !stream.closed && elapsed_clock::now() < until) {
        co_await stream.changed.waitUntil(until);
    }
    if (!stream.received.empty()) {
        co_return consumeReceived(call->session, stream);
    }
    if (stream.endStreamReceived) {
        co_return std::string();
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<http_response>> readResponse(std::shared_ptr<peer_call> call, steady_time until)
{
    auto head = co_await readResponseHead(call, until);
    if (!head) {
        co_return std::nullopt;
    }
    http_response response{head->status, std::move(head->headers), ""};
    for (;;) {
        const auto chunk = co_await readBodyChunk(call, until);
        if (!chunk) {
            co_return std::nullopt;
        }
        if (chunk->empty()) {
            co_return response;
        }
        response.body += *chunk;
    }
}

peer_failure classifyFailure(const peer_call &call)
{
    if (call.stream->closed && call.stream->errorCode == NGHTTP2_REFUSED_STREAM) {
        return peer_failure::not_processed;
    }
    return peer_failure::unclear;
}

std::string describeRefusal(const peer_call &call)
{
    auto stream = "stream " + std::to_string(call.stream->id);
    if (!call.session->goawayReceived) {
        return stream;
    }
    return stream + ", last accepted " + std::to_string(call.session->goawayLastStream);
}

bool isClosed(const peer_call &call)
{
    return call.stream->closed;
}

bool isPeerUnresponsive(const peer_call &call)
{
    return unansweredPingTime(*call.session, elapsed_clock::now()) > unresponsiveTimeout;
}

void cancelCall(peer_call &call)
{
    if (!call.session->transportClosed && !call.stream->closed) {
        nghttp2_submit_rst_stream(call.session->session, NGHTTP2_FLAG_NONE, call.stream->id, NGHTTP2_CANCEL);
        flush(call.session);
    }
}

std::uint64_t transferredBytes(const peer_client &client)
{
    auto bytes = client.closedBytes;
    for (const auto &session : client.sessions) {
        bytes += session->bytesReceived + session->bytesSent;
    }
    return bytes;
}

} // namespace quetzalspool
