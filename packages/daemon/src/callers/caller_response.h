/** @file caller_response.h Responses to callers whose requests got none from a target. */
#ifndef CALLER_RESPONSE_H
#define CALLER_RESPONSE_H

#include "caller_request.h"
#include "header_profile.h"
#include "http_type.h"
#include "outcome_type.h"

namespace quetzalspool {

/** Status of requests that were not run and may be retried. */
constexpr unsigned serviceUnavailable = 503;

/**
 * Determines why a request without a route is refused.
 * @param hasTables Whether the daemon has received its routes.
 * @return Status and reason.
 */
caller_refusal refusalWithoutRoute(bool hasTables);

/**
 * Makes the response to a request that got none from a target.
 * @param names Header names.
 * @param outcome Outcome of the request.
 * @return The response.
 */
http_response failureResponse(const header_profile &names, const request_outcome &outcome);

/**
 * Makes the response to a request refused before routing.
 * @param names Header names.
 * @param rejection Status and reason.
 * @return The response.
 */
http_response refusalResponse(const header_profile &names, const caller_refusal &rejection);

} // namespace quetzalspool

#endif // CALLER_RESPONSE_H
