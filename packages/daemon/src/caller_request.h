/** @file caller_request.h Checking a caller's request against its route. */
#ifndef CALLER_REQUEST_H
#define CALLER_REQUEST_H

#include "header_profile.h"
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
 * @param rejection Receives why there is none.
 * @return The key with percent-encoding resolved, empty for routes without keys; nothing if it is missing.
 */
std::optional<std::string> findKey(const route_row &route, const http_request &request, caller_refusal &rejection);

/**
 * Tells whether a caller may use a route.
 * @param route Route.
 * @param address IP address of the caller.
 * @return Whether it is in one of the route's networks.
 */
bool isCallerAllowed(const route_row &route, const std::string &address);

/**
 * Resolves percent-encoding.
 * @param text Text.
 * @return Bytes, or nothing if an escape is damaged.
 */
std::optional<std::string> percentDecode(std::string_view text);

/** What of this daemon and this moment goes into a request. */
struct request_origin
{
    const header_profile &names; ///< Header names.
    pool_id callerPool; ///< Pool of the target on this machine.
    std::string generatedId; ///< Id to use if the caller gave none.
    std::uint64_t draw = 0; ///< Random number that picks one of several pools.
    milliseconds retryAge{0}; ///< How long ago the caller first asked.
    steady_time now{}; ///< Present time.
};

/**
 * Reads how long a caller says that it waits.
 * @param http Request.
 * @param names Header names.
 * @return The time, or nothing if it names none.
 */
std::optional<milliseconds> requestedDeadline(const http_request &http, const header_profile &names);

/**
 * Makes the request that is routed: pool, class, deadline, id; headers that only daemons set are taken out.
 * @param route Route.
 * @param http Request.
 * @param key Key.
 * @param origin Names, and what differs between requests.
 * @return The request.
 */
routed_request makeRoutedRequest(const route_row &route, http_request http, std::string key,
                                 const request_origin &origin);

} // namespace quetzalspool

#endif // CALLER_REQUEST_H
