/** @file peer_server.h Server for requests from other daemons. */
#ifndef PEER_SERVER_H
#define PEER_SERVER_H

#include "asio_type.h"
#include "peer_type.h"
#include "sent_bytes.h"

#include <functional>
#include <memory>

namespace quetzalspool {

/** Sends the response to one request. Used by one thread only. */
struct peer_responder;

/** Handles one request; responds through the responder. */
using peer_handler = std::function<asio::awaitable<void>(peer_request, std::shared_ptr<peer_responder>)>;

/** Accepts connections from other daemons and serves them on one thread. */
struct peer_server;

/** Limits of the requests of other daemons. */
struct peer_server_limits
{
    std::size_t bodyBytes = 8388608; ///< Most bytes of a body; a request with more is refused.
    std::shared_ptr<memory_meter> memory; ///< Memory that received bodies are charged to; null for none.
    std::shared_ptr<sent_bytes> sent; ///< Counters of the bytes sent; null for none.
    std::function<bool(const std::string &path)> isControl; ///< Whether a request is an exchange of control threads,
                                                            ///< whose sessions carry nothing else; may be empty.
};

/**
 * Makes a server and starts accepting connections.
 * @param acceptor Listening socket.
 * @param handler Handles requests.
 * @param limits Limits of the requests.
 * @return The server.
 */
std::shared_ptr<peer_server> startPeerServer(tcp::acceptor acceptor, peer_handler handler,
                                             peer_server_limits limits = {});

/** Connections of a server at the time at which it is drained. */
struct drained_sessions
{
    std::size_t sessions = 0; ///< Sessions.
    std::size_t openStreams = 0; ///< Streams open on them.
};

/**
 * Stops accepting connections and sends GOAWAY on all sessions. Requests in progress continue.
 * @param server Server.
 * @return What was open.
 */
drained_sessions drainPeerServer(peer_server &server);

/**
 * Tells whether a session has an open stream for a path or bytes to write. A stream is open from the first header of
 * its request until the end of its response was passed to the session.
 * @param server Server.
 * @param path Path of the requests that count.
 * @return Whether the end of the server would cut a request or a response.
 */
bool hasOpenRequests(const peer_server &server, const std::string &path);

/**
 * Sends the response head.
 * @param responder Responder.
 * @param status Status code.
 * @param headers Headers, names in lower case.
 */
void sendResponseHead(peer_responder &responder, unsigned status, std::vector<http_header> headers);

/**
 * Sends a response without a body, in one frame.
 * @param responder Responder.
 * @param status Status code.
 * @param headers Headers, names in lower case.
 */
void sendEmptyResponse(peer_responder &responder, unsigned status, std::vector<http_header> headers);

/**
 * Marks the rest of the response body as bulk: it yields to all other traffic on the instance's link.
 * @param responder Responder.
 */
void sendAsBulk(peer_responder &responder);

/**
 * Sends a chunk of the response body; waits while too much of the body is unsent.
 * @param responder Responder.
 * @param chunk Bytes.
 * @return False if the request was cancelled or the session was closed.
 */
asio::awaitable<bool> sendBodyChunk(std::shared_ptr<peer_responder> responder, std::string chunk);

/**
 * Ends a complete response.
 * @param responder Responder.
 */
void endResponse(peer_responder &responder);

/**
 * Aborts the response by resetting its stream, so that the client can't take it as complete.
 * @param responder Responder.
 */
void abortResponse(peer_responder &responder);

/**
 * Tells whether the request was cancelled or its session closed.
 * @param responder Responder.
 * @return Whether no client waits for the response.
 */
bool isCancelled(const peer_responder &responder);

} // namespace quetzalspool

#endif // PEER_SERVER_H
