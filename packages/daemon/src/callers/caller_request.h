/** @file caller_request.h Validation of a caller's request against its route. */
#ifndef CALLER_REQUEST_H
#define CALLER_REQUEST_H

#include "header_profile.h"
#include "outcome_type.h"
#include "routing_base.h"
#include "row_type.h"

#include <random>
#include <string_view>

namespace quetzalspool {

/** Why a request is refused before routing. Such a request was not run. */
struct caller_refusal
{
    unsigned status = 400; ///< HTTP status code.
    std::string reason; ///< Reason in a few words.
};

/** Host and path of a request. */
struct request_target
{
    std::string host; ///< Host, with its port if the caller named one.
    std::string path; ///< Path and query.
};

/**
 * Finds host and path of a request. A target in absolute form names both; its host is used instead of the header.
 * @param target Target of the request line.
 * @param host Value of the Host header.
 * @return Host and path.
 */
request_target parseTarget(std::string_view target, std::string_view host);

/**
 * Finds the key of a request.
 * @param route Route.
 * @param request Request.
 * @param rejection Receives why there is none.
 * @return The key percent-decoded; empty for routes without keys; nothing if it is missing or malformed.
 */
std::optional<std::string> findKey(const route_row &route, const http_request &request, caller_refusal &rejection);

/**
 * Finds the part of a route that takes requests without a key: its pools whose targets own no keys.
 * @param route Route.
 * @param view Routing view with its pools.
 * @return The route with these pools only, at their weights; nothing if there is none.
 */
std::optional<route_row> keylessPart(const route_row &route, const routing_view &view);

/** A route as it applies to a request, and the key of the request. */
struct keyed_route
{
    route_row route; ///< Route, with the pools that may take the request.
    std::string key; ///< Key; empty if the request has none.
};

/**
 * Finds the key of a request and the pools of its route that may take it.
 * @param route Route.
 * @param view Routing view with its pools.
 * @param request Request.
 * @param rejection Receives why the request is refused.
 * @return Route and key; nothing if the key is missing or malformed and all pools need one.
 */
std::optional<keyed_route> resolveKey(const route_row &route, const routing_view &view, const http_request &request,
                                      caller_refusal &rejection);

/**
 * Makes an id for a request that has none.
 * @param random Random number generator.
 * @return Id.
 */
std::string makeRequestId(std::mt19937_64 &random);

/**
 * Checks whether a caller may use a route.
 * @param route Route.
 * @param address IP address of the caller.
 * @return Whether it is in one of the route's networks, or the route has none.
 */
bool isCallerAllowed(const route_row &route, const std::string &address);

/**
 * Decodes percent-encoding.
 * @param text Text.
 * @return Bytes, or nothing if an escape is malformed.
 */
std::optional<std::string> percentDecode(std::string_view text);

/** Inputs of a routed request that depend on the daemon and the time of arrival. */
struct request_origin
{
    const header_profile &names; ///< Header names.
    pool_id callerPool; ///< Pool of the local target.
    std::string generatedId; ///< Request id if the caller sent none.
    std::uint64_t draw = 0; ///< Random number that selects one of several pools by weight.
    milliseconds retryAge{0}; ///< Time since the caller's first attempt, if this is a retry.
    steady_time now{}; ///< Current time.
};

/**
 * Reads the caller's deadline from its header.
 * @param http Request.
 * @param names Header names.
 * @return Time from now, or nothing if it sent none.
 */
std::optional<milliseconds> requestedDeadline(const http_request &http, const header_profile &names);

/**
 * Makes the request that is routed: sets pool, class, deadline and id, and removes headers that only daemons may set.
 * @param route Route.
 * @param http Request.
 * @param key Key.
 * @param origin Inputs that depend on the daemon and the time.
 * @return The request.
 */
routed_request makeRoutedRequest(const route_row &route, http_request http, std::string key,
                                 const request_origin &origin);

} // namespace quetzalspool

#endif // CALLER_REQUEST_H
