/** @file h2_session.h An nghttp2 session over a socket, for client and server. Internal to the package. */
#ifndef H2_SESSION_H
#define H2_SESSION_H

#include "asio_type.h"
#include "async_condition.h"
#include "bulk_window_base.h"
#include "header_history.h"
#include "peer_type.h"
#include "sent_bytes.h"

#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <unordered_map>

namespace quetzalspool {

struct bulk_sender;

/** Most bytes of a request body, unless the server names another limit. */
constexpr std::size_t maxRequestBodyBytes = 8388608;

/** A stream of a session: one request and its response. */
struct h2_stream : std::enable_shared_from_this<h2_stream>
{
    std::int32_t id = 0; ///< Stream id.
    std::vector<http_header> headers; ///< Headers received.
    unsigned status = 0; ///< Status code received by the client.
    std::string path; ///< Path received by the server.
    std::string received; ///< Body of a response received and not yet read.
    shared_body request; ///< Body of a request: received by the server, or sent by the client.
    std::vector<std::string_view> unsentParts; ///< Parts of it that the client has not sent completely.
    std::size_t sentParts = 0; ///< Number of parts that were sent completely.
    memory_charge charge; ///< Bytes of `received`, at the client.
    std::size_t receivedTotal = 0; ///< Body bytes received in total.
    bool headersComplete = false; ///< Whether the header block was received.
    bool endStreamReceived = false; ///< Whether END_STREAM was received.
    bool refused = false; ///< Whether the server refused the request because of its size.
    bool closed = false; ///< Whether the stream is closed.
    std::uint32_t errorCode = NGHTTP2_NO_ERROR; ///< HTTP/2 error code with which it was closed.
    std::string outgoing; ///< Buffered body to send.
    std::size_t outgoingSent = 0; ///< Bytes of the buffer that were already sent.
    bool outgoingComplete = false; ///< Whether the buffer holds the end of the body.
    bool outgoingDeferred = false; ///< Whether sending waits for more body or for a permit.
    std::uint64_t bulkOrder = 0; ///< Position among the bulk responses; 0 if it is not a bulk response.
    std::uint64_t bulkPermit = 0; ///< Number of the frame that it may send; 0 without a permit.
    async_condition changed; ///< Notified when the state of the stream changes.

    explicit h2_stream(const asio::any_io_executor &executor)
        : changed(executor)
    { }
};

/** Where the bytes that a session sends are counted. */
struct session_account
{
    byte_counter bodies; ///< Bytes of bodies; null to count nothing.
    byte_counter others; ///< All other bytes; null to count nothing.
    bool known = false; ///< Whether the counters are chosen. A server learns them with the first request.
    std::uint64_t pendingBodies = 0; ///< Bytes of bodies that were sent and are not counted yet.
    std::uint64_t pendingTotal = 0; ///< All bytes that were sent and are not counted yet.
};

/** An HTTP/2 session. Used by one thread only. */
struct h2_session : std::enable_shared_from_this<h2_session>
{
    explicit h2_session(tcp::socket connected);
    ~h2_session();
    h2_session(const h2_session &) = delete;
    h2_session &operator=(const h2_session &) = delete;

    tcp::socket socket; ///< TCP connection.
    nghttp2_session *session = nullptr; ///< Session of nghttp2.
    bool server = false; ///< Whether this is the server.
    bool writing = false; ///< Whether a write loop is running.
    bool transportClosed = false; ///< Whether the connection has failed or been closed.
    bool goawayReceived = false; ///< Whether GOAWAY was received: the peer accepts no new streams.
    std::int32_t lastAcceptedStream =
        std::numeric_limits<std::int32_t>::max(); ///< At the server: requests on later streams are ignored.
    std::int32_t goawayLastStream = 0; ///< At the client: last stream that the server accepted, as its GOAWAY says.
    steady_time lastReceived{}; ///< When bytes were last received.
    steady_time pingSentAt{}; ///< When the last keepalive ping was sent.
    std::shared_ptr<bulk_sender> bulk; ///< Flow control of bulk responses; null at the client.
    bool unresponsive = false; ///< Whether a bulk frame expired: no permits until a ping is acknowledged.
    path_delay path; ///< Delay to the peer, measured by the delivery of bulk responses.
    std::size_t requestBodyLimit = maxRequestBodyBytes; ///< Most bytes of a request body at the server.
    std::shared_ptr<memory_meter> memory; ///< Memory that received bodies are charged to; null for none.
    std::uint64_t bytesReceived = 0; ///< Bytes received.
    std::uint64_t bytesSent = 0; ///< Bytes sent.
    session_account account; ///< Where they are counted.
    header_history headers; ///< Headers sent, for their compression.
    unsigned peerLevel = 0; ///< At the client: protocol level that the server has named.
    bool levelNamed = false; ///< At the server: whether it has named its level.
    std::unordered_map<std::int32_t, std::shared_ptr<h2_stream>> streams; ///< Open streams.
    std::function<void(std::shared_ptr<h2_stream>)> onRequest; ///< Called at the server for each whole request.
};

/** Most buffered body bytes of a stream before its writer waits. */
constexpr std::size_t maxOutgoingBytes = 65536;

/**
 * Starts a session on a connected socket.
 * @param session Session.
 * @param server Whether this is the server.
 */
void startSession(const std::shared_ptr<h2_session> &session, bool server);

/**
 * Processes received bytes until the connection ends, then closes the session and all streams.
 * @param session Session.
 * @return An awaitable.
 */
asio::awaitable<void> readLoop(std::shared_ptr<h2_session> session);

/**
 * Starts writing the frames that nghttp2 has pending, unless a write loop is running.
 * @param session Session.
 */
void flush(const std::shared_ptr<h2_session> &session);

/**
 * Accepts no streams later than the present ones and sends a GOAWAY that says so. The GOAWAY may have to wait for bytes
 * queued before it; streams that arrive meanwhile are already ignored, since the client takes them for not processed.
 * @param session Session of a server.
 */
void refuseLaterStreams(const std::shared_ptr<h2_session> &session);

/**
 * Closes the connection and all streams.
 * @param session Session.
 */
void closeSession(const std::shared_ptr<h2_session> &session);

/**
 * Takes the received body bytes of a stream and enlarges its flow-control window by them.
 * @param session Session.
 * @param stream Stream.
 * @return The bytes.
 */
std::string consumeReceived(const std::shared_ptr<h2_session> &session, h2_stream &stream);

/**
 * Converts headers that a session is about to send to name-value pairs of nghttp2.
 * @param history Headers that the session sent before.
 * @param headers Headers; they must outlive the result.
 * @return Name-value pairs, which refer to the headers.
 */
std::vector<nghttp2_nv> toNameValues(header_history &history, const std::vector<http_header> &headers);

/**
 * Makes a data provider that sends the outgoing body of a stream.
 * @param stream Stream; it must outlive the transfer.
 * @return The data provider.
 */
nghttp2_data_provider makeDataProvider(h2_stream &stream);

} // namespace quetzalspool

#endif // H2_SESSION_H
