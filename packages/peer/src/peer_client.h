/** @file peer_client.h Client for requests to other daemons. */
#ifndef PEER_CLIENT_H
#define PEER_CLIENT_H

#include "asio_type.h"
#include "peer_type.h"
#include "sent_bytes.h"

#include <memory>

namespace quetzalspool {

/** HTTP/2 sessions to other daemons, one per daemon. Used by one thread only. */
struct peer_client;

/** A request and its response. */
struct peer_call;

/** Where the bytes sent by a client are counted. */
struct client_account
{
    std::shared_ptr<sent_bytes> sent; ///< Counters; null for none.
    byte_kind bodies = byte_kind::request; ///< Kind of the bodies.
    byte_kind others = byte_kind::head; ///< Kind of all other bytes.
};

/**
 * Makes a client. Sessions are opened when they are needed.
 * @param executor Executor of the client.
 * @param memory Memory that received bytes are charged to; null for none.
 * @param account Where the bytes sent are counted.
 * @return The client.
 */
std::shared_ptr<peer_client> makePeerClient(asio::any_io_executor executor,
                                            std::shared_ptr<memory_meter> memory = nullptr,
                                            client_account account = {});

/** Result of opening a call. */
struct opened_call
{
    std::shared_ptr<peer_call> call; ///< The call; null if it could not be opened, and then nothing was sent.
    last_reason why; ///< Why it could not be opened.
};

/**
 * Sends a request, after connecting if there is no usable session.
 * @param client Client.
 * @param to Peer port of the other daemon.
 * @param request Request.
 * @param connectTimeout Time limit for connecting.
 * @param distance Distance to the other daemon. Counts for the session, and the other daemon is told it once.
 * @return The call, or why it could not be opened.
 */
asio::awaitable<opened_call> openCall(std::shared_ptr<peer_client> client, endpoint to, peer_request request,
                                      milliseconds connectTimeout, byte_distance distance = byte_distance::region);

/**
 * Waits for the response head.
 * @param call Call.
 * @param until Deadline.
 * @return The head, or nothing if it did not arrive; see classifyFailure.
 */
asio::awaitable<std::optional<peer_response_head>> readResponseHead(std::shared_ptr<peer_call> call, steady_time until);

/**
 * Waits for a chunk of the response body.
 * @param call Call.
 * @param until Deadline.
 * @return The chunk; empty at the end of the response; nothing if the response was aborted or the deadline passed.
 */
asio::awaitable<std::optional<std::string>> readBodyChunk(std::shared_ptr<peer_call> call, steady_time until);

/**
 * Reads the whole response.
 * @param call Call.
 * @param until Deadline.
 * @return The response, or nothing if it was not received completely.
 */
asio::awaitable<std::optional<http_response>> readResponse(std::shared_ptr<peer_call> call, steady_time until);

/**
 * Tells whether a request without a complete response may have been processed.
 * @param call Call.
 * @return not_processed if the stream was closed with REFUSED_STREAM, else unclear.
 */
peer_failure classifyFailure(const peer_call &call);

/**
 * Describes how a request came to count as not processed, for the log.
 * @param call Call that classifyFailure reports as not processed.
 * @return The stream, and the last stream that the other daemon accepted, if it announced one.
 */
std::string describeRefusal(const peer_call &call);

/**
 * Tells whether the stream of a call is closed.
 * @param call Call.
 * @return Whether nothing more will be received.
 */
bool isClosed(const peer_call &call);

/**
 * Tells whether the other daemon is unresponsive: it, its instance or the network path may have failed.
 * @param call Call.
 * @return Whether a keepalive ping has been unanswered for too long.
 */
bool isPeerUnresponsive(const peer_call &call);

/**
 * Cancels a request: resets its stream.
 * @param call Call.
 */
void cancelCall(peer_call &call);

/**
 * Returns the traffic of all sessions so far.
 * @param client Client.
 * @return Bytes sent and received.
 */
std::uint64_t transferredBytes(const peer_client &client);

} // namespace quetzalspool

#endif // PEER_CLIENT_H
