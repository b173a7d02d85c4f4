/** @file h2_session.h One nghttp2 session over a socket, for both ends. Internal to the package. */
#ifndef H2_SESSION_H
#define H2_SESSION_H

#include "asio_type.h"
#include "async_condition.h"
#include "bulk_window_base.h"
#include "peer_type.h"

#include <deque>
#include <functional>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <unordered_map>

namespace quetzalspool {

struct bulk_sender;

/** One stream of a session. */
struct h2_stream : std::enable_shared_from_this<h2_stream>
{
    std::int32_t id = 0; ///< Stream id.
    std::vector<http_header> headers; ///< Headers received.
    unsigned status = 0; ///< Status received, at the client.
    std::string path; ///< Path received, at the server.
    std::string received; ///< Body received and not yet read.
    std::size_t receivedTotal = 0; ///< Bytes of body received in all.
    bool headersComplete = false; ///< Whether all headers were received.
    bool endStreamReceived = false; ///< Whether the other end has sent everything.
    bool closed = false; ///< Whether the stream is closed.
    std::uint32_t errorCode = NGHTTP2_NO_ERROR; ///< Why it was closed.
    std::string outgoing; ///< Body to be sent.
    std::size_t outgoingSent = 0; ///< Bytes of it already sent.
    bool outgoingComplete = false; ///< Whether no more will be added.
    bool outgoingDeferred = false; ///< Whether sending waits for more, or for a permit.
    std::uint64_t bulkOrder = 0; ///< Place among large answers; 0 if it is none.
    std::uint64_t bulkPermit = 0; ///< Number of the piece that it may send; 0 if it has no permit.
    async_condition changed; ///< Wakes whoever waits for any of this.

    explicit h2_stream(const asio::any_io_executor &executor)
        : changed(executor)
    { }
};

/** One session. All members belong to one thread. */
struct h2_session : std::enable_shared_from_this<h2_session>
{
    explicit h2_session(tcp::socket connected);
    ~h2_session();
    h2_session(const h2_session &) = delete;
    h2_session &operator=(const h2_session &) = delete;

    tcp::socket socket; ///< Transport.
    nghttp2_session *session = nullptr; ///< The library's session.
    bool server = false; ///< Which end this is.
    bool writing = false; ///< Whether a write is under way.
    bool transportClosed = false; ///< Whether the transport has failed or been closed.
    bool goawayReceived = false; ///< Whether the other end accepts no new streams.
    steady_time lastReceived{}; ///< Last time that anything came.
    steady_time pingSentAt{}; ///< When the other end was last asked for a sign of life.
    std::shared_ptr<bulk_sender> bulk; ///< Gives permits to send large answers; null at the end that asks.
    bool unresponsive =
        false; ///< Whether the other end has confirmed nothing for long: it gets no large answers meanwhile.
    path_delay path; ///< What the delivery of large answers has shown of the way to the other end.
    std::uint64_t bytesReceived = 0; ///< Bytes received.
    std::uint64_t bytesSent = 0; ///< Bytes sent.
    std::unordered_map<std::int32_t, std::shared_ptr<h2_stream>> streams; ///< Open streams.
    std::function<void(std::shared_ptr<h2_stream>)> onRequest; ///< Called at the server for each whole request.
};

/** Bytes of a body that wait to be sent at most; a writer waits beyond. */
constexpr std::size_t maxOutgoingBytes = 65536;
/** Bytes of a whole request body at most. */
constexpr std::size_t maxRequestBodyBytes = 8388608;

/**
 * Starts a session on a connected socket.
 * @param session Session.
 * @param server Which end this is.
 */
void startSession(const std::shared_ptr<h2_session> &session, bool server);

/**
 * Reads from the transport until it fails. Closes all streams at the end.
 * @param session Session.
 * @return An awaitable.
 */
asio::awaitable<void> readLoop(std::shared_ptr<h2_session> session);

/**
 * Sends what the library has to send.
 * @param session Session.
 */
void flush(const std::shared_ptr<h2_session> &session);

/**
 * Closes the transport and all streams.
 * @param session Session.
 */
void closeSession(const std::shared_ptr<h2_session> &session);

/**
 * Takes received body from a stream and lets the other end send more.
 * @param session Session.
 * @param stream Stream.
 * @return The bytes.
 */
std::string consumeReceived(const std::shared_ptr<h2_session> &session, h2_stream &stream);

/**
 * Makes the library's form of headers.
 * @param headers Headers; they must outlive the result.
 * @return Name-value rows.
 */
std::vector<nghttp2_nv> toNameValues(const std::vector<http_header> &headers);

/**
 * Makes a data source that sends a stream's outgoing body.
 * @param stream Stream; it must outlive the sending.
 * @return The source.
 */
nghttp2_data_provider makeDataProvider(h2_stream &stream);

} // namespace quetzalspool

#endif // H2_SESSION_H
