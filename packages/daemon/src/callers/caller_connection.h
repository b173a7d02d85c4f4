/** @file caller_connection.h Connection of a caller and the responses written to it. */
#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include "asio_type.h"
#include "header_profile.h"
#include "http_type.h"
#include "outcome_type.h"

#include <boost/beast/core.hpp>

namespace quetzalspool {

/** Time limit for receiving a body or writing a response. */
constexpr std::chrono::seconds callerTransferTimeout{30};

/** Connection of a caller. */
struct caller_connection
{
    explicit caller_connection(tcp::socket socket)
        : stream(std::move(socket))
    { }

    boost::beast::tcp_stream stream; ///< Transport.
    const header_profile *names = nullptr; ///< Header names.
    boost::beast::flat_buffer buffer; ///< Bytes read ahead.
    std::string address; ///< IP address of the caller.
    bool keepAlive = true; ///< Whether another request may follow.
    bool chunked = false; ///< Whether the current response is chunked.
    bool broken = false; ///< Whether a response was aborted or could not be written.
    bool unread = false; ///< Whether the rest of a refused request was not read.
    bool evicted = false; ///< Whether it was closed in favour of other callers.
    std::uint64_t held = 0; ///< Bytes kept for it that its eviction releases; 0 while it can't be evicted.
    steady_time lastProgress{}; ///< When bytes were last received from it or accepted by it.
    memory_charge charge; ///< Bytes of its buffer and its state.
    bool awaitingRequest = false; ///< Whether it waits for the first byte of a request.
    bool headOnly = false; ///< Whether the current response has no body because of the request's method.
};

/**
 * Tells whether the caller has closed its connection. Peeks without consuming bytes.
 * @param connection Connection.
 * @return Whether it is closed, or a response could not be written.
 */
bool isDisconnected(caller_connection &connection);

/**
 * Makes a sink that writes a target's response to the caller.
 * @param connection Connection.
 * @param deadline Time by which the response must be written.
 * @return The sink.
 */
std::shared_ptr<response_sink> makeCallerSink(const std::shared_ptr<caller_connection> &connection,
                                              steady_time deadline);

/**
 * Writes the end of a response that the sink wrote, if its body is chunked.
 * @param connection Connection.
 * @return An awaitable.
 */
asio::awaitable<void> writeLastChunk(std::shared_ptr<caller_connection> connection);

/**
 * Writes a whole response.
 * @param connection Connection.
 * @param response Response.
 * @return An awaitable.
 */
asio::awaitable<void> writeResponse(std::shared_ptr<caller_connection> connection, http_response response);

/**
 * Closes a connection. After an aborted response it is reset, so that the response is not taken for a complete one.
 * @param connection Connection.
 */
void closeConnection(caller_connection &connection);

/**
 * Reads and drops what the caller still sends after a refusal, for a short time: closing a connection with unread bytes
 * resets it, and the caller may lose the refusal.
 * @param connection Connection.
 * @return An awaitable.
 */
asio::awaitable<void> discardUnread(std::shared_ptr<caller_connection> connection);

} // namespace quetzalspool

#endif // CALLER_CONNECTION_H
