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

} // namespace quetzalspool

#endif // PEER_HANDLER_H
