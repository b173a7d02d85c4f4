/** @file request_router.h Routes a request to its target: the local one, or through the daemon beside it. */
#ifndef REQUEST_ROUTER_H
#define REQUEST_ROUTER_H

#include "outcome_type.h"
#include "traffic_base.h"

namespace quetzalspool {

/**
 * Makes attempts at a request until it is answered or may not be retried.
 * @param thread Traffic thread.
 * @param request Request; pool, key, class and deadline are set.
 * @param sink Where the response is written.
 * @param trace Receives an entry for each attempt; must outlive the request.
 * @return How it ended.
 */
asio::awaitable<request_outcome> routeRequest(traffic_thread &thread, routed_request request,
                                              std::shared_ptr<response_sink> sink, request_trace &trace);

} // namespace quetzalspool

#endif // REQUEST_ROUTER_H
