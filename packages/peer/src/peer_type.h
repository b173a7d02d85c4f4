/** @file peer_type.h Requests between daemons, carried on HTTP/2 streams. */
#ifndef PEER_TYPE_H
#define PEER_TYPE_H

#include "http_type.h"

#include <string>
#include <vector>

namespace quetzalspool {

/** A request to another daemon, with its whole body. */
struct peer_request
{
    std::string path; ///< Path, which names the operation.
    std::vector<http_header> headers; ///< Headers, names in lower case.
    std::string body; ///< Body.
};

/** The head of an answer; its body streams. */
struct peer_response_head
{
    unsigned status = 0; ///< Status code.
    std::vector<http_header> headers; ///< Headers, names in lower case.
};

/** What is known about a request that got no whole answer. */
enum class peer_failure
{
    none, ///< Nothing failed.
    not_processed, ///< Proved: the other daemon did not and will not act on it.
    unclear, ///< The other daemon may have acted on it.
};

} // namespace quetzalspool

#endif // PEER_TYPE_H
