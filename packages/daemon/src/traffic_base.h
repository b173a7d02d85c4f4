/** @file traffic_base.h What one traffic thread owns. */
#ifndef TRAFFIC_BASE_H
#define TRAFFIC_BASE_H

#include "balance_base.h"
#include "caller_retry_base.h"
#include "http_client.h"
#include "peer_client.h"
#include "peer_server.h"
#include "retry_type.h"
#include "shared_base.h"
#include "target_func.h"

#include <random>

namespace quetzalspool {

/** One traffic thread: its sockets, sessions and evidence. */
struct traffic_thread
{
    daemon_shared *shared = nullptr; ///< Shared state.
    asio::io_context context{1}; ///< Runs on one thread.
    std::shared_ptr<tcp::acceptor> callerAcceptor; ///< Listening socket for callers.
    std::shared_ptr<peer_server> peerServer; ///< Answers other daemons.
    std::shared_ptr<peer_client> peerClient; ///< Asks other daemons.
    std::shared_ptr<target_client> targetClient; ///< Connections to the target.
    caller_retries callerRetries; ///< Callers that come back after a refusal.
    balance_state balance; ///< Evidence about targets of pools not divided by key.
    retry_limits retryLimits; ///< Limits of retries.
    retry_budget budget; ///< Budget of retries.
    std::shared_ptr<http_connection_pool> storePool =
        makeHttpConnectionPool(); ///< Connections to the store, for daemons it turns away.
    request_log_budget logBudget; ///< Lines about the requests that it took.
    std::mt19937_64 random{std::random_device{}()}; ///< For choices and request ids.
};

} // namespace quetzalspool

#endif // TRAFFIC_BASE_H
