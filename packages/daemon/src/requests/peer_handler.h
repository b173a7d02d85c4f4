/** @file peer_handler.h Handlers of requests from other daemons. */
#ifndef PEER_HANDLER_H
#define PEER_HANDLER_H

#include "outcome_type.h"
#include "traffic_base.h"

namespace quetzalspool {

/**
 * Handles another daemon's request.
 * @param thread Traffic thread.
 * @param request Request.
 * @param responder Where the response is written.
 * @return An awaitable.
 */
asio::awaitable<void> handlePeerRequest(traffic_thread &thread, peer_request request,
                                        std::shared_ptr<peer_responder> responder);

/**
 * Tells whether a path belongs to the exchanges between control threads; all others belong to requests of callers.
 * @param path Path of a request.
 * @return Whether it does.
 */
bool isControlPath(const std::string &path);

} // namespace quetzalspool

#endif // PEER_HANDLER_H
