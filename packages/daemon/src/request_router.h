/** @file request_router.h Bringing a request to the right target: here, or through the daemon beside it. */
#ifndef REQUEST_ROUTER_H
#define REQUEST_ROUTER_H

#include "outcome_type.h"
#include "traffic_base.h"

namespace quetzalspool {

/**
 * Tries a request until it is answered, or nothing more may be tried.
 * @param thread Traffic thread.
 * @param request Request; pool, key, class and deadline are set.
 * @param sink Where the answer goes.
 * @param trace Receives a note on each attempt; lives until the request is over.
 * @return How it ended.
 */
asio::awaitable<request_outcome> routeRequest(traffic_thread &thread, routed_request request,
                                              std::shared_ptr<response_sink> sink, request_trace &trace);

} // namespace quetzalspool

#endif // REQUEST_ROUTER_H
