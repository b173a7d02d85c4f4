/** @file caller_request.h Checking a caller's request against its route. */
#ifndef CALLER_REQUEST_H
#define CALLER_REQUEST_H

#include "outcome_type.h"
#include "row_type.h"

#include <string_view>

namespace quetzalspool {

/** Why a request is refused before routing; always not run. */
struct caller_refusal
{
    unsigned status = 400; ///< Status code.
    std::string reason; ///< Reason in one word or a few.
};

/**
 * Finds the key of a request.
 * @param route Route.
 * @param request Request.
 * @param refused Receives why there is none.
 * @return The key with percent-encoding resolved, empty for routes without keys; nothing if it is missing.
 */
std::optional<std::string> findKey(const route_row &route, const http_request &request, caller_refusal &refused);

/**
 * Tells whether a caller may use a route.
 * @param route Route.
 * @param address IP address of the caller.
 * @return Whether it is in one of the route's networks.
 */
bool mayUse(const route_row &route, const std::string &address);

/**
 * Resolves percent-encoding.
 * @param text Text.
 * @return Bytes, or nothing if an escape is damaged.
 */
std::optional<std::string> percentDecode(std::string_view text);

/**
 * Makes the request that is routed: class, deadline, id; the caller's own Quetzalspool headers are taken out.
 * @param route Route.
 * @param http Request.
 * @param key Key.
 * @param freshId Id to use if the caller gave none.
 * @param now Present time.
 * @return The request.
 */
routed_request makeRouted(const route_row &route, http_request http, std::string key, const std::string &freshId,
                          steady_time now);

} // namespace quetzalspool

#endif // CALLER_REQUEST_H
