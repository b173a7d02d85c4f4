/** @file h2_session.cpp An nghttp2 session over a socket. */
#include "h2_session.h"

#include "bulk_sender.h"
#include "elapsed_clock.h"
#include "memory_budget_func.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>

namespace quetzalspool {

namespace {

constexpr std::uint32_t streamWindow = 128 * 1024; ///< Flow-control window of a stream, in bytes.
constexpr std::int32_t sessionWindow = 16 * 1024 * 1024; ///< Flow-control window of a connection, in bytes.
constexpr std::uint32_t maxStreams = 4096; ///< Most concurrent streams of a session.
constexpr std::size_t readSize = 16384; ///< Most bytes of one read.
constexpr std::size_t unreadResponseBytes = 65536; ///< A response with as many bytes kept is not being read.
constexpr std::size_t writeBatch = 131072; ///< Target size of one write, in bytes.

h2_session &sessionOf(void *user)
{
    return *static_cast<h2_session *>(user);
}

std::shared_ptr<h2_stream> findStream(h2_session &session, std::int32_t id)
{
    const auto found = session.streams.find(id);
    return found == session.streams.end() ? nullptr : found->second;
}

int onBeginHeaders(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
{
    auto &session = sessionOf(user);
    const bool accepted = frame->hd.stream_id <= session.lastAcceptedStream;
    if (session.server && frame->headers.cat == NGHTTP2_HCAT_REQUEST && accepted) {
        auto stream = std::make_shared<h2_stream>(session.socket.get_executor());
        stream->id = frame->hd.stream_id;
        stream->request.chargeTo(session.memory);
        session.streams[stream->id] = std::move(stream);
    }
    return 0;
}

/** Whether the memory of the process has room for more bytes of a stream. */
bool hasMemory(const h2_session &session, std::size_t length, std::size_t total)
{
    return !session.memory
        || admitsBytes({session.memory->limit, session.memory->reserved}, session.memory->used, length, total);
}

/**
 * Keeps body bytes of a request. A stream that is over a limit is refused: its request has not been passed to a handler
 * and never will.
 */
void receiveRequestBody(h2_session &session, h2_stream &stream, const char *data, std::size_t length)
{
    // Requests are buffered whole, up to a limit; the window of a response grows as its reader consumes it.
    nghttp2_session_consume_stream(session.session, stream.id, length);
    if (stream.refused) {
        return;
    }
    stream.refused =
        stream.receivedTotal > session.requestBodyLimit || !hasMemory(session, length, stream.receivedTotal);
    if (stream.refused) {
        stream.request = {};
        nghttp2_submit_rst_stream(session.session, NGHTTP2_FLAG_NONE, stream.id, NGHTTP2_REFUSED_STREAM);
    } else {
        stream.request.append(data, length);
    }
}

/** Keeps body bytes of a response. One that is not read is given up when the memory is used up. */
void receiveResponseBody(h2_session &session, h2_stream &stream, const char *data, std::size_t length)
{
    stream.received.append(data, length);
    stream.charge.add(length);
    if (stream.received.size() >= unreadResponseBytes && !hasMemory(session, 0, stream.receivedTotal)) {
        nghttp2_submit_rst_stream(session.session, NGHTTP2_FLAG_NONE, stream.id, NGHTTP2_CANCEL);
    }
}

int onHeader(nghttp2_session * /*session*/, const nghttp2_frame *frame, const std::uint8_t *name,
             std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength, std::uint8_t /*flags*/,
             void *user)
{
    const auto stream = findStream(sessionOf(user), frame->hd.stream_id);
    if (!stream) {
        return 0;
    }
    std::string key(reinterpret_cast<const char *>(name), nameLength);
    std::string text(reinterpret_cast<const char *>(value), valueLength);
    if (key == ":status") {
        stream->status = static_cast<unsigned>(std::atoi(text.c_str()));
    } else if (key == ":path") {
        stream->path = std::move(text);
    } else if (key == levelHeader) {
        sessionOf(user).peerLevel = static_cast<unsigned>(std::atoi(text.c_str()));
    } else if (!key.starts_with(':')) {
        stream->headers.emplace_back(std::move(key), std::move(text));
    }
    return 0;
}

int onFrame(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
{
    auto &session = sessionOf(user);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        session.goawayReceived = true;
        session.goawayLastStream = frame->goaway.last_stream_id;
        return 0;
    }
    if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0 && session.bulk) {
        const auto number = boost::endian::load_big_u64(frame->ping.opaque_data);
        recordFrameAcknowledged(session, number, elapsed_clock::now());
        return 0;
    }
    const auto stream = findStream(session, frame->hd.stream_id);
    if (!stream || (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)) {
        return 0;
    }
    if (frame->hd.type == NGHTTP2_HEADERS) {
        stream->headersComplete = true;
    }
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        stream->endStreamReceived = true;
        if (session.server && session.onRequest && !stream->refused) {
            session.onRequest(stream);
        }
    }
    stream->changed.notifyAll();
    return 0;
}

int onData(nghttp2_session *raw, std::uint8_t /*flags*/, std::int32_t id, const std::uint8_t *data, std::size_t length,
           void *user)
{
    auto &session = sessionOf(user);
    const auto stream = findStream(session, id);
    nghttp2_session_consume_connection(raw, length);
    if (!stream) {
        return 0;
    }
    stream->receivedTotal += length;
    const auto *bytes = reinterpret_cast<const char *>(data);
    session.server ? receiveRequestBody(session, *stream, bytes, length)
                   : receiveResponseBody(session, *stream, bytes, length);
    stream->changed.notifyAll();
    return 0;
}

int onClose(nghttp2_session * /*session*/, std::int32_t id, std::uint32_t errorCode, void *user)
{
    auto &session = sessionOf(user);
    const auto stream = findStream(session, id);
    if (stream) {
        stream->closed = true;
        stream->errorCode = errorCode;
        stream->changed.notifyAll();
        removeBulkStream(session, *stream);
        session.streams.erase(id);
    }
    return 0;
}

/** Sends the next bytes of the parts of a request's body. */
ssize_t readRequestBody(h2_session &session, h2_stream &stream, std::uint8_t *buffer, std::size_t length,
                        std::uint32_t *flags)
{
    auto &part = stream.unsentParts[stream.sentParts];
    const auto count = std::min(part.size(), length);
    std::memcpy(buffer, part.data(), count);
    session.account.pendingBodies += count;
    part.remove_prefix(count);
    stream.sentParts += part.empty() ? 1 : 0;
    if (stream.sentParts == stream.unsentParts.size()) {
        stream.request = {};
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

ssize_t readOutgoing(nghttp2_session * /*session*/, std::int32_t /*id*/, std::uint8_t *buffer, std::size_t length,
                     std::uint32_t *flags, nghttp2_data_source *source, void *user)
{
    auto &stream = *static_cast<h2_stream *>(source->ptr);
    if (stream.sentParts < stream.unsentParts.size()) {
        return readRequestBody(sessionOf(user), stream, buffer, length, flags);
    }
    const auto available = stream.outgoing.size() - stream.outgoingSent;
    const bool needsPermit = stream.bulkOrder != 0 && available > 0;
    if ((available == 0 && !stream.outgoingComplete) || (needsPermit && !acquirePermit(sessionOf(user), stream))) {
        stream.outgoingDeferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    const auto count = std::min(available, length);
    if (needsPermit) {
        recordFrameSent(sessionOf(user), stream, count, elapsed_clock::now());
    }
    std::memcpy(buffer, stream.outgoing.data() + stream.outgoingSent, count);
    sessionOf(user).account.pendingBodies += count;
    stream.outgoingSent += count;
    if (stream.outgoingSent == stream.outgoing.size()) {
        stream.outgoing.clear();
        stream.outgoingSent = 0;
        if (stream.outgoingComplete) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        stream.changed.notifyAll();
    }
    return static_cast<ssize_t>(count);
}

bool isDraining(const h2_session &session)
{
    return session.lastAcceptedStream != std::numeric_limits<std::int32_t>::max();
}

/**
 * Whether this side may close the connection: the session has ended, and its bytes were written, which the library
 * counts as sent as soon as it hands them out. A draining server leaves it to the client, which closes the connection
 * once it has received all responses; before that, a reset could destroy some of them.
 */
bool mayClose(const h2_session &session)
{
    return !session.writing && !isDraining(session) && nghttp2_session_want_read(session.session) == 0
        && nghttp2_session_want_write(session.session) == 0;
}

/** Counts sent bytes, as soon as it is known where. */
void countSent(session_account &account, std::uint64_t bytes)
{
    account.pendingTotal += bytes;
    if (account.known) {
        const auto bodies = std::min(std::exchange(account.pendingBodies, 0), account.pendingTotal);
        countBytes(account.bodies, bodies);
        countBytes(account.others, std::exchange(account.pendingTotal, 0) - bodies);
    }
}

asio::awaitable<void> writeLoop(std::shared_ptr<h2_session> session)
{
    std::string batch;
    while (!session->transportClosed) {
        batch.clear();
        const std::uint8_t *data = nullptr;
        ssize_t length = 0;
        while (batch.size() < writeBatch && (length = nghttp2_session_mem_send(session->session, &data)) > 0) {
            batch.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
        }
        if (batch.empty()) {
            break;
        }
        error_code code;
        co_await asio::async_write(session->socket, asio::buffer(batch), redirectError(code));
        session->bytesSent += batch.size();
        countSent(session->account, batch.size());
        if (code) {
            closeSession(session);
        }
    }
    session->writing = false;
    if (mayClose(*session)) {
        closeSession(session);
    }
}

nghttp2_session_callbacks *sharedCallbacks()
{
    static nghttp2_session_callbacks *callbacks = [] {
        nghttp2_session_callbacks *made = nullptr;
        nghttp2_session_callbacks_new(&made);
        nghttp2_session_callbacks_set_on_begin_headers_callback(made, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(made, onHeader);
        nghttp2_session_callbacks_set_on_frame_recv_callback(made, onFrame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(made, onData);
        nghttp2_session_callbacks_set_on_stream_close_callback(made, onClose);
        return made;
    }();
    return callbacks;
}

} // namespace

h2_session::h2_session(tcp::socket connected)
    : socket(std::move(connected))
{ }

h2_session::~h2_session()
{
    nghttp2_session_del(session);
}

void startSession(const std::shared_ptr<h2_session> &session, bool server)
{
    session->server = server;
    session->lastReceived = elapsed_clock::now();
    error_code ignored;
    session->socket.set_option(tcp::no_delay(true), ignored);
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    if (server) {
        nghttp2_session_server_new2(&session->session, sharedCallbacks(), session.get(), option);
    } else {
        nghttp2_session_client_new2(&session->session, sharedCallbacks(), session.get(), option);
    }
    nghttp2_option_del(option);
    const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams},
                                               {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindow}};
    nghttp2_submit_settings(session->session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(session->session, NGHTTP2_FLAG_NONE, 0, sessionWindow);
    flush(session);
}

asio::awaitable<void> readLoop(std::shared_ptr<h2_session> session)
{
    std::string buffer(readSize, '\0');
    while (!session->transportClosed) {
        error_code code;
        const auto length = co_await session->socket.async_read_some(asio::buffer(buffer), redirectError(code));
        if (code) {
            break;
        }
        session->bytesReceived += length;
        session->lastReceived = elapsed_clock::now();
        const auto taken =
            nghttp2_session_mem_recv(session->session, reinterpret_cast<const std::uint8_t *>(buffer.data()), length);
        flush(session);
        if (taken < 0 || mayClose(*session)) {
            break;
        }
    }
    closeSession(session);
}

void flush(const std::shared_ptr<h2_session> &session)
{
    if (!session->writing && !session->transportClosed && nghttp2_session_want_write(session->session) != 0) {
        session->writing = true;
        asio::co_spawn(session->socket.get_executor(), writeLoop(session), asio::detached);
    }
}

void refuseLaterStreams(const std::shared_ptr<h2_session> &session)
{
    // A second call must not accept a stream that the first one refused.
    session->lastAcceptedStream =
        std::min(session->lastAcceptedStream, nghttp2_session_get_last_proc_stream_id(session->session));
    nghttp2_submit_goaway(session->session, NGHTTP2_FLAG_NONE, session->lastAcceptedStream, NGHTTP2_NO_ERROR, nullptr,
                          0);
    flush(session);
}

void closeSession(const std::shared_ptr<h2_session> &session)
{
    if (session->transportClosed) {
        return;
    }
    session->transportClosed = true;
    error_code ignored;
    session->socket.close(ignored);
    auto streams = std::move(session->streams);
    session->streams.clear();
    removeBulkSession(*session);
    for (auto &[id, stream] : streams) {
        removeBulkStream(*session, *stream);
        stream->closed = true;
        stream->errorCode = NGHTTP2_INTERNAL_ERROR;
        stream->changed.notifyAll();
    }
}

std::string consumeReceived(const std::shared_ptr<h2_session> &session, h2_stream &stream)
{
    auto bytes = std::move(stream.received);
    stream.received.clear();
    stream.charge.release(bytes.size());
    if (!session->transportClosed && !stream.closed && !bytes.empty()) {
        nghttp2_session_consume_stream(session->session, stream.id, bytes.size());
        flush(session);
    }
    return bytes;
}

std::vector<nghttp2_nv> toNameValues(header_history &history, const std::vector<http_header> &headers)
{
    std::vector<nghttp2_nv> nameValues;
    nameValues.reserve(headers.size());
    for (const auto &[name, value] : headers) {
        // Never indexed: for nghttp2 this is the only way to send a literal that refers to a name in the table.
        const auto flags = shouldIndex(history, name, value) ? NGHTTP2_NV_FLAG_NONE : NGHTTP2_NV_FLAG_NO_INDEX;
        nameValues.push_back({reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
                              reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
                              value.size(), static_cast<std::uint8_t>(flags)});
    }
    return nameValues;
}

nghttp2_data_provider makeDataProvider(h2_stream &stream)
{
    nghttp2_data_provider provider{};
    provider.source.ptr = &stream;
    provider.read_callback = readOutgoing;
    return provider;
}

} // namespace quetzalspool
