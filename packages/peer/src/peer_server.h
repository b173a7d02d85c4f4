/** @file peer_server.h The end that answers other daemons. */
#ifndef PEER_SERVER_H
#define PEER_SERVER_H

#include "asio_type.h"
#include "peer_type.h"

#include <functional>
#include <memory>

namespace quetzalspool {

/** Answers one request. Belongs to one thread. */
struct peer_responder;

/** Handles one request. */
using peer_handler = std::function<asio::awaitable<void>(peer_request, std::shared_ptr<peer_responder>)>;

/** Accepts and serves other daemons on one thread. */
struct peer_server;

/**
 * Makes a server and starts to accept.
 * @param acceptor Listening socket.
 * @param handler Handles requests.
 * @return The server.
 */
std::shared_ptr<peer_server> startPeerServer(tcp::acceptor acceptor, peer_handler handler);

/**
 * Tells all connected daemons that no new request is taken here. Requests under way go on.
 * @param server Server.
 */
void drainPeerServer(peer_server &server);

/**
 * Sends the head of an answer.
 * @param responder Responder.
 * @param status Status code.
 * @param headers Headers, names in lower case.
 */
void sendResponseHead(peer_responder &responder, unsigned status, std::vector<http_header> headers);

/**
 * Makes the rest of an answer's body yield to everything else that is sent over the instance's link.
 * @param responder Responder.
 */
void sendAsBulk(peer_responder &responder);

/**
 * Sends a part of the body; waits while too much is unsent.
 * @param responder Responder.
 * @param part Bytes.
 * @return False if the other daemon is gone or no longer wants it.
 */
asio::awaitable<bool> sendBodyChunk(std::shared_ptr<peer_responder> responder, std::string chunk);

/**
 * Ends the answer as whole.
 * @param responder Responder.
 */
void endResponse(peer_responder &responder);

/**
 * Breaks the answer off, so that it can't be taken as whole.
 * @param responder Responder.
 */
void abortResponse(peer_responder &responder);

/**
 * Tells whether the other daemon has given the request up.
 * @param responder Responder.
 * @return Whether nobody waits for the answer.
 */
bool isCancelled(const peer_responder &responder);

} // namespace quetzalspool

#endif // PEER_SERVER_H
