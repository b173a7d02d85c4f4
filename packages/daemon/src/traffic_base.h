/** @file traffic_base.h State of one traffic thread. */
#ifndef TRAFFIC_BASE_H
#define TRAFFIC_BASE_H

#include "balance_base.h"
#include "caller_retry_base.h"
#include "http_client.h"
#include "log_func.h"
#include "peer_client.h"
#include "peer_server.h"
#include "retry_type.h"
#include "shared_base.h"
#include "target_func.h"

#include <random>
#include <set>

namespace quetzalspool {

/** Connection of a caller. */
struct caller_connection;

/** A response to another daemon while a part of it waits to be sent. */
struct unsent_response
{
    std::shared_ptr<peer_responder> responder; ///< Where it is written.
    steady_time lastProgress{}; ///< When the sending of this part began.
};

/** One traffic thread: its sockets, connections and load-balancing statistics. */
struct traffic_thread
{
    daemon_shared *shared = nullptr; ///< Shared state.
    std::vector<traffic_thread *> others; ///< Other traffic threads of the process. Set before the threads start.
    std::set<const unsent_response *> unsentResponses; ///< Responses that other daemons have to read. Declared before
                                                       ///< the context, whose coroutines remove their own at its end.
    asio::io_context context{1}; ///< Run by this thread only.
    std::shared_ptr<tcp::acceptor> callerAcceptor; ///< Listening socket for callers.
    std::set<std::shared_ptr<caller_connection>> callers; ///< Open connections of callers.
    bool callersClosing = false; ///< Whether connections of callers are closed instead of waiting for another request.
    std::shared_ptr<peer_server> peerServer; ///< Serves requests of other daemons.
    std::shared_ptr<peer_client> peerClient; ///< Sends requests to other daemons.
    std::shared_ptr<target_client> targetClient; ///< Connections to the target.
    caller_retries callerRetries; ///< Detects callers that retry after a refusal.
    balance_state balance; ///< Statistics of targets in pools without keys.
    retry_limits retryLimits; ///< Limits of retries.
    retry_budget budget; ///< Budget of retries.
    std::shared_ptr<http_connection_pool> storePool =
        makeHttpConnectionPool(); ///< Connections to the store, for calls relayed for daemons that it rejects.
    log_budget evictionLog{1, 5, 5}; ///< Budget of log lines about evicted callers.
    request_log_budget logBudget; ///< Budget of log lines about requests accepted by this thread.
    std::mt19937_64 random{std::random_device{}()}; ///< For load balancing and request ids.
};

} // namespace quetzalspool

#endif // TRAFFIC_BASE_H
