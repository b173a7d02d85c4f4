/** @file http_type.h Whole HTTP requests and replies, without the library's headers. */
#ifndef HTTP_TYPE_H
#define HTTP_TYPE_H

#include "base_type.h"

#include <string>
#include <utility>
#include <vector>

namespace quetzalspool {

/** One header: name and value. */
using http_header = std::pair<std::string, std::string>;

/** A request with its whole body. */
struct http_request
{
    std::string method = "GET"; ///< Method.
    std::string path; ///< Path with its query.
    std::vector<http_header> headers; ///< Headers, without those of framing.
    std::string body; ///< Body.
};

/** A reply with its whole body. */
struct http_response
{
    unsigned status = 200; ///< Status code.
    std::vector<http_header> headers; ///< Headers, without those of framing.
    std::string body; ///< Body.
};

/**
 * Finds a header, ignoring case.
 * @param headers Headers.
 * @param name Name.
 * @return Its value, or empty.
 */
std::string findHeader(const std::vector<http_header> &headers, const std::string &name);

/**
 * Makes a reply with a JSON body.
 * @param status Status code.
 * @param body JSON text.
 * @return The reply.
 */
http_response jsonResponse(unsigned status, std::string body);

} // namespace quetzalspool

#endif // HTTP_TYPE_H
