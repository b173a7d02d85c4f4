/** @file peer_server.cpp Server for requests from other daemons. */
#include "peer_server.h"

#include "bulk_sender.h"
#include "elapsed_clock.h"
#include "h2_session.h"
#include "tcp_keepalive.h"

#include <algorithm>
#include <set>

namespace quetzalspool {

namespace {

constexpr std::size_t maxBulkBufferedBytes = 16384; ///< Buffered bytes of a bulk response before its writer waits.
constexpr std::chrono::hours sendRecheckInterval{
    1}; ///< A blocked writer rechecks the stream; normally a change of it wakes it.

} // namespace

struct peer_responder
{
    std::shared_ptr<h2_session> session; ///< Session.
    std::shared_ptr<h2_stream> stream; ///< Stream.
    bool responseHeadSent = false; ///< Whether the response head was sent.
};

struct peer_server
{
    explicit peer_server(tcp::acceptor listening)
        : acceptor(std::move(listening))
        , bulk(std::make_shared<bulk_sender>(acceptor.get_executor()))
    { }

    tcp::acceptor acceptor; ///< Listening socket.
    peer_handler handler; ///< Handles requests.
    std::set<std::shared_ptr<h2_session>> sessions; ///< Sessions of connected daemons.
    peer_server_limits limits; ///< Limits of the requests.
    std::shared_ptr<bulk_sender> bulk; ///< Flow control of the bulk responses on all sessions.
};

namespace {

asio::awaitable<void> serveSession(std::shared_ptr<peer_server> server, std::shared_ptr<h2_session> session)
{
    co_await readLoop(session);
    session->onRequest = nullptr;
    server->sessions.erase(session);
}

/** Chooses the counters of a session by its first request. A client that names no distance counts as in the region. */
void chooseAccount(const peer_server_limits &limits, session_account &account, const h2_stream &first)
{
    const auto distance = distanceNamed(findHeader(first.headers, distanceHeader));
    const bool control = limits.isControl && limits.isControl(first.path);
    account.bodies = counterOf(limits.sent, control ? byte_kind::control : byte_kind::response, distance);
    account.others = counterOf(limits.sent, control ? byte_kind::control : byte_kind::head, distance);
    account.known = true;
}

void dispatchRequest(const std::shared_ptr<peer_server> &server, const std::shared_ptr<h2_session> &session,
                     const std::shared_ptr<h2_stream> &stream)
{
    if (!session->account.known) {
        chooseAccount(server->limits, session->account, *stream);
    }
    auto responder = std::make_shared<peer_responder>();
    responder->session = session;
    responder->stream = stream;
    peer_request request{stream->path, std::move(stream->headers), std::move(stream->request)};
    asio::co_spawn(session->socket.get_executor(), server->handler(std::move(request), responder), asio::detached);
}

asio::awaitable<void> acceptLoop(std::shared_ptr<peer_server> server)
{
    while (server->acceptor.is_open()) {
        error_code code;
        auto socket = co_await server->acceptor.async_accept(redirectError(code));
        if (code == asio::error::operation_aborted) {
            break;
        }
        if (code) {
            co_await sleepFor(milliseconds(10));
            continue;
        }
        enableKeepalive(socket);
        auto session = std::make_shared<h2_session>(std::move(socket));
        const std::weak_ptr<h2_session> weak = session;
        session->onRequest = [server, weak](const std::shared_ptr<h2_stream> &stream) {
            if (const auto locked = weak.lock()) {
                dispatchRequest(server, locked, stream);
            }
        };
        session->bulk = server->bulk;
        session->memory = server->limits.memory;
        session->requestBodyLimit = server->limits.bodyBytes;
        startSession(session, true);
        server->sessions.insert(session);
        if (!server->acceptor.is_open()) {
            refuseLaterStreams(session); // The connection was accepted just before the server was drained.
        }
        asio::co_spawn(server->acceptor.get_executor(), serveSession(server, session), asio::detached);
    }
}

} // namespace

std::shared_ptr<peer_server> startPeerServer(tcp::acceptor acceptor, peer_handler handler, peer_server_limits limits)
{
    auto server = std::make_shared<peer_server>(std::move(acceptor));
    server->limits = std::move(limits);
    server->handler = std::move(handler);
    asio::co_spawn(server->acceptor.get_executor(), acceptLoop(server), asio::detached);
    return server;
}

drained_sessions drainPeerServer(peer_server &server)
{
    drained_sessions drained;
    // Closed first: a connection whose accept has already completed sees it and refuses all streams.
    error_code ignored;
    server.acceptor.close(ignored);
    for (const auto &session : server.sessions) {
        refuseLaterStreams(session);
        ++drained.sessions;
        drained.openStreams += session->streams.size();
    }
    return drained;
}

bool hasOpenRequests(const peer_server &server, const std::string &path)
{
    // A stream without a path is one whose headers are still arriving.
    const auto counts = [&](const auto &entry) { return entry.second->path.empty() || entry.second->path == path; };
    return std::any_of(server.sessions.begin(), server.sessions.end(), [&](const auto &session) {
        return session->writing || std::any_of(session->streams.begin(), session->streams.end(), counts);
    });
}

namespace {

/** Sends a response head; without a source of a body, it ends the response. */
void submitHead(peer_responder &responder, unsigned status, std::vector<http_header> headers,
                const nghttp2_data_provider *source)
{
    if (responder.session->transportClosed || responder.stream->closed) {
        return;
    }
    headers.insert(headers.begin(), {":status", std::to_string(status)});
    if (!std::exchange(responder.session->levelNamed, true)) {
        headers.emplace_back(levelHeader, std::to_string(protocolLevel));
    }
    const auto nameValues = toNameValues(responder.session->headers, headers);
    responder.responseHeadSent = true;
    nghttp2_submit_response(responder.session->session, responder.stream->id, nameValues.data(), nameValues.size(),
                            source);
    flush(responder.session);
}

} // namespace

void sendResponseHead(peer_responder &responder, unsigned status, std::vector<http_header> headers)
{
    const auto source = makeDataProvider(*responder.stream);
    submitHead(responder, status, std::move(headers), &source);
}

void sendEmptyResponse(peer_responder &responder, unsigned status, std::vector<http_header> headers)
{
    responder.stream->outgoingComplete = true;
    submitHead(responder, status, std::move(headers), nullptr);
}

void sendAsBulk(peer_responder &responder)
{
    if (responder.stream->bulkOrder == 0) {
        beginBulk(*responder.session->bulk, *responder.stream);
    }
}

asio::awaitable<bool> sendBodyChunk(std::shared_ptr<peer_responder> responder, std::string chunk)
{
    auto &stream = *responder->stream;
    // Little of a bulk response is buffered here: the target then finishes sending only shortly before the transfer
    // ends, so that its end can be taken for the end of the transfer.
    const auto limit = stream.bulkOrder != 0 ? maxBulkBufferedBytes : maxOutgoingBytes;
    while (!stream.closed && stream.outgoing.size() - stream.outgoingSent > limit) {
        co_await stream.changed.waitUntil(elapsed_clock::now() + sendRecheckInterval);
    }
    if (stream.closed) {
        co_return false;
    }
    stream.outgoing.append(chunk);
    if (stream.outgoingDeferred) {
        stream.outgoingDeferred = false;
        nghttp2_session_resume_data(responder->session->session, stream.id);
    }
    flush(responder->session);
    co_return true;
}

void endResponse(peer_responder &responder)
{
    auto &stream = *responder.stream;
    stream.outgoingComplete = true;
    if (!responder.session->transportClosed && !stream.closed) {
        stream.outgoingDeferred = false;
        nghttp2_session_resume_data(responder.session->session, stream.id);
        flush(responder.session);
    }
}

void abortResponse(peer_responder &responder)
{
    if (!responder.session->transportClosed && !responder.stream->closed) {
        nghttp2_submit_rst_stream(responder.session->session, NGHTTP2_FLAG_NONE, responder.stream->id,
                                  NGHTTP2_INTERNAL_ERROR);
        flush(responder.session);
    }
}

bool isCancelled(const peer_responder &responder)
{
    return responder.session->transportClosed || responder.stream->closed;
}

} // namespace quetzalspool
