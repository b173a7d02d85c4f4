/** @file peer_client.cpp The end that asks other daemons. */
#include "peer_client.h"

#include "elapsed_clock.h"
#include "h2_session.h"
#include "socket_guard.h"

#include <map>

namespace quetzalspool {

namespace {

constexpr milliseconds quietLimit{2500}; ///< A session that leaves a ping unanswered for this long is dropped.
constexpr milliseconds pingAfter{250}; ///< Without a byte for this long, while calls are open, a sign of life is asked.
constexpr milliseconds pingLimit{700}; ///< Without one for this long, the other daemon counts as silent.
constexpr milliseconds watchInterval{150}; ///< Between two looks at sessions with open calls.
constexpr milliseconds unreachableTime{400}; ///< After a connection timed out, no other one is tried for this long.

constexpr std::chrono::seconds idleLimit{10}; ///< A session without calls is closed after this long.
constexpr std::chrono::seconds idleCheck{1}; ///< Between two looks for idle sessions.

} // namespace

struct peer_link
{
    explicit peer_link(const asio::any_io_executor &executor)
        : connected(executor)
    { }

    std::shared_ptr<h2_session> session; ///< Session, if connected.
    bool connecting = false; ///< Whether a connection is being made.
    last_reason why; ///< Why the last connection failed.
    steady_time unreachableUntil{}; ///< No connection is tried before.
    wake_event connected; ///< Wakes those that wait for the connection.
};

struct peer_client
{
    asio::any_io_executor executor; ///< Where it runs.
    std::map<endpoint, std::shared_ptr<peer_link>> links; ///< By peer.
    std::uint64_t closedBytes = 0; ///< Bytes of sessions that are closed.
    steady_time nextIdleCheck{}; ///< When to look for idle sessions next.
    bool watching = false; ///< Whether sessions with open calls are being watched.
};

struct peer_call
{
    std::shared_ptr<h2_session> session; ///< Session.
    std::shared_ptr<h2_stream> stream; ///< Stream.
};

namespace {

bool isUsable(const peer_link &link)
{
    return link.session && !link.session->dead && !link.session->goingAway;
}

/** Reads until the session ends, then forgets it. */
asio::awaitable<void> runSession(std::shared_ptr<peer_client> client, std::shared_ptr<h2_session> session)
{
    co_await readLoop(session);
    client->closedBytes += session->bytesIn + session->bytesOut;
}

asio::awaitable<void> connectLink(std::shared_ptr<peer_client> client, std::shared_ptr<peer_link> link, endpoint to,
                                  milliseconds timeout)
{
    link->connecting = true;
    // Shared with the timer: its handler may be queued already when the connection is made, and can't be cancelled
    // then.
    const auto socket = std::make_shared<tcp::socket>(client->executor);
    asio::steady_timer limit(client->executor, timeout);
    limit.async_wait([socket](error_code code) {
        if (!code) {
            error_code ignored;
            socket->close(ignored);
        }
    });
    error_code code;
    co_await socket->async_connect(resolved<tcp>(to), reporting(code));
    limit.cancel();
    link->connecting = false;
    if (code || !socket->is_open()) {
        failed(link->why, "connect", toString(to), code ? code.message() : "timeout");
        if (code != asio::error::connection_refused) {
            link->unreachableUntil = elapsed_clock::now() + unreachableTime;
        }
        link->session = nullptr;
    } else {
        guardSocket(*socket);
        link->session = std::make_shared<h2_session>(std::move(*socket));
        startSession(link->session, false);
        asio::co_spawn(client->executor, runSession(client, link->session), asio::detached);
    }
    link->connected.wake();
}

/** How long the other end has left a ping unanswered. */
milliseconds silenceOf(const h2_session &session, steady_time now)
{
    const bool unanswered = session.pingSentAt > session.lastReceived;
    return unanswered ? std::chrono::duration_cast<milliseconds>(now - session.pingSentAt) : milliseconds(0);
}

/** Drops a session whose other end seems gone. */
void dropQuiet(peer_link &link, steady_time now)
{
    if (link.session && !link.session->dead && silenceOf(*link.session, now) > quietLimit) {
        closeSession(link.session);
    }
}

bool needsWatch(const peer_link &link)
{
    return link.session && !link.session->dead && !link.session->streams.empty();
}

/** Asks the other ends of quiet sessions with open calls for signs of life. */
asio::awaitable<void> watchSessions(std::shared_ptr<peer_client> client)
{
    for (bool any = true; any;) {
        co_await sleepFor(watchInterval);
        const auto now = elapsed_clock::now();
        any = false;
        for (const auto &[to, link] : client->links) {
            if (!needsWatch(*link)) {
                continue;
            }
            any = true;
            auto &session = *link->session;
            if (now - session.lastReceived > pingAfter && session.pingSentAt <= session.lastReceived) {
                session.pingSentAt = now;
                nghttp2_submit_ping(session.session, NGHTTP2_FLAG_NONE, nullptr);
                flush(link->session);
            }
        }
    }
    client->watching = false;
}

/** Closes sessions that nobody uses, since a daemon may come to talk to all others in turn. */
void closeIdle(peer_client &client, steady_time now)
{
    if (now < client.nextIdleCheck) {
        return;
    }
    client.nextIdleCheck = now + idleCheck;
    for (const auto &[to, link] : client.links) {
        const auto &session = link->session;
        if (session && !session->dead && session->streams.empty() && now - session->lastReceived > idleLimit) {
            closeSession(session);
        }
    }
    std::erase_if(client.links, [](const auto &entry) {
        const auto &link = *entry.second;
        return !link.connecting && (!link.session || link.session->dead);
    });
}

std::shared_ptr<peer_call> submit(const std::shared_ptr<h2_session> &session, const peer_request &request,
                                  const endpoint &to)
{
    auto call = std::make_shared<peer_call>();
    call->session = session;
    call->stream = std::make_shared<h2_stream>(session->socket.get_executor());
    std::vector<http_header> headers{
        {":method", "POST"}, {":scheme", "http"}, {":authority", to.host}, {":path", request.path}};
    headers.insert(headers.end(), request.headers.begin(), request.headers.end());
    const auto rows = toRows(headers);
    call->stream->outgoing = request.body;
    call->stream->outgoingDone = true;
    const auto source = outgoingSource(*call->stream);
    if (session->streams.empty()) {
        session->lastReceived = elapsed_clock::now(); // Quiet time counts from the first open call.
    }
    call->stream->id = nghttp2_submit_request(session->session, nullptr, rows.data(), rows.size(),
                                              request.body.empty() ? nullptr : &source, nullptr);
    if (call->stream->id < 0) {
        return nullptr;
    }
    session->streams[call->stream->id] = call->stream;
    flush(session);
    return call;
}

} // namespace

std::shared_ptr<peer_client> makePeerClient(asio::any_io_executor executor)
{
    auto client = std::make_shared<peer_client>();
    client->executor = std::move(executor);
    return client;
}

asio::awaitable<opened_call> openCall(std::shared_ptr<peer_client> client, endpoint to, peer_request request,
                                      milliseconds connectTimeout)
{
    closeIdle(*client, elapsed_clock::now());
    auto &slot = client->links[to];
    if (!slot) {
        slot = std::make_shared<peer_link>(client->executor);
    }
    auto link = slot;
    dropQuiet(*link, elapsed_clock::now());
    opened_call opened;
    const auto now = elapsed_clock::now();
    if (now < link->unreachableUntil || (isUsable(*link) && silenceOf(*link->session, now) > pingLimit)) {
        failed(opened.why, "connect", toString(to), "it gives no sign of life");
        co_return opened;
    }
    if (!isUsable(*link)) {
        if (!link->connecting) {
            co_await connectLink(client, link, to, connectTimeout);
        }
        const auto until = elapsed_clock::now() + connectTimeout;
        while (link->connecting && elapsed_clock::now() < until) {
            co_await link->connected.waitUntil(until);
        }
    }
    if (!isUsable(*link)) {
        opened.why = link->why;
        if (opened.why.text.empty()) {
            failed(opened.why, "connect", toString(to), "no connection in time");
        }
        co_return opened;
    }
    opened.call = submit(link->session, request, to);
    if (!opened.call) {
        failed(opened.why, "open a stream", toString(to), "the session takes no more streams");
    } else if (!client->watching) {
        client->watching = true;
        asio::co_spawn(client->executor, watchSessions(client), asio::detached);
    }
    co_return opened;
}

asio::awaitable<std::optional<peer_head>> readHead(std::shared_ptr<peer_call> call, steady_time until)
{
    auto &stream = *call->stream;
    while (!stream.headDone && !stream.closed && elapsed_clock::now() < until) {
        co_await stream.changed.waitUntil(until);
    }
    if (!stream.headDone) {
        co_return std::nullopt;
    }
    co_return peer_head{stream.status, std::move(stream.headers)};
}

asio::awaitable<std::optional<std::string>> readPart(std::shared_ptr<peer_call> call, steady_time until)
{
    auto &stream = *call->stream;
    while (stream.received.empty() && !stream.remoteDone && !stream.closed && elapsed_clock::now() < until) {
        co_await stream.changed.waitUntil(until);
    }
    if (!stream.received.empty()) {
        co_return takeReceived(call->session, stream);
    }
    if (stream.remoteDone) {
        co_return std::string();
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<http_reply>> readWhole(std::shared_ptr<peer_call> call, steady_time until)
{
    auto head = co_await readHead(call, until);
    if (!head) {
        co_return std::nullopt;
    }
    http_reply reply{head->status, std::move(head->headers), ""};
    for (;;) {
        const auto part = co_await readPart(call, until);
        if (!part) {
            co_return std::nullopt;
        }
        if (part->empty()) {
            co_return reply;
        }
        reply.body += *part;
    }
}

peer_failure failureOf(const peer_call &call)
{
    if (call.stream->closed && call.stream->errorCode == NGHTTP2_REFUSED_STREAM) {
        return peer_failure::not_processed;
    }
    return peer_failure::unclear;
}

bool isClosed(const peer_call &call)
{
    return call.stream->closed;
}

bool isSilent(const peer_call &call)
{
    return silenceOf(*call.session, elapsed_clock::now()) > pingLimit;
}

void abandonCall(peer_call &call)
{
    if (!call.session->dead && !call.stream->closed) {
        nghttp2_submit_rst_stream(call.session->session, NGHTTP2_FLAG_NONE, call.stream->id, NGHTTP2_CANCEL);
        flush(call.session);
    }
}

std::uint64_t bytesCarried(const peer_client &client)
{
    auto bytes = client.closedBytes;
    for (const auto &[to, link] : client.links) {
        bytes += link->session && !link->session->dead ? link->session->bytesIn + link->session->bytesOut : 0;
    }
    return bytes;
}

} // namespace quetzalspool
