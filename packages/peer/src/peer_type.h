/** @file peer_type.h Requests and responses between daemons, over HTTP/2. */
#ifndef PEER_TYPE_H
#define PEER_TYPE_H

#include "http_type.h"

#include <string>
#include <vector>

namespace quetzalspool {

/** A request to another daemon, with its whole body. */
struct peer_request
{
    std::string path; ///< Path: the operation.
    std::vector<http_header> headers; ///< Headers, names in lower case.
    shared_body body; ///< Body.
    std::vector<http_header> derivable{}; ///< Headers that only daemons of a lower protocol level need.
};

constexpr const char *levelHeader = "qs-level"; ///< Protocol level of the server, in the first response of a session.
constexpr unsigned protocolLevel = 1; ///< Level of this build; 0 is that of builds that name none. From 1 on, a daemon
                                      ///< reads the id of a request from the caller's header if there is no other.

constexpr const char *distanceHeader =
    "qs-distance"; ///< Distance between the two daemons, in the first request of a session.

/** Status and headers of a response, whose body is streamed. */
struct peer_response_head
{
    unsigned status = 0; ///< Status code.
    std::vector<http_header> headers; ///< Headers, names in lower case.
};

/** Whether a request without a complete response may have been processed. */
enum class peer_failure
{
    none, ///< No failure.
    not_processed, ///< The other daemon has not processed the request and will not.
    unclear, ///< The other daemon may have processed the request.
};

} // namespace quetzalspool

#endif // PEER_TYPE_H
