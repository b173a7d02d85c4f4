/** @file peer_handler.h Answering other daemons: runs, cancellations, documents. */
#ifndef PEER_HANDLER_H
#define PEER_HANDLER_H

#include "outcome_type.h"
#include "traffic_base.h"

namespace quetzalspool {

/**
 * Answers another daemon's request.
 * @param thread Traffic thread.
 * @param request Request.
 * @param responder Where the answer goes.
 * @return An awaitable.
 */
asio::awaitable<void> handlePeerRequest(traffic_thread &thread, peer_request request,
                                        std::shared_ptr<peer_responder> responder);

} // namespace quetzalspool

#endif // PEER_HANDLER_H
