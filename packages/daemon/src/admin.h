/** @file admin.h HTTP interface for operators, metrics and the target beside the daemon. */
#ifndef ADMIN_H
#define ADMIN_H

#include "control_base.h"
#include "http_type.h"

namespace quetzalspool {

/**
 * Handles one request of an operator, a monitoring system, another daemon or the target. Paths: /v1/announce, /v1/self,
 * /v1/status, /v1/show, /v1/owner, /v1/apply, /v1/approve, /v1/proposals, /v1/drain, /v1/leave, /v1/audit,
 * /v1/measures, /v1/where, /metrics.
 * @param control Control state.
 * @param request Request.
 * @return Response.
 */
asio::awaitable<http_response> handleAdminRequest(control_state &control, http_request request);

} // namespace quetzalspool

#endif // ADMIN_H
