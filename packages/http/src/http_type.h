/** @file http_type.h HTTP requests and responses, independent of the HTTP library. */
#ifndef HTTP_TYPE_H
#define HTTP_TYPE_H

#include "base_type.h"
#include "shared_body.h"

#include <string>
#include <utility>
#include <vector>

namespace quetzalspool {

/** One header: name and value. */
using http_header = std::pair<std::string, std::string>;

/** An HTTP request with its whole body. */
struct http_request
{
    std::string method = "GET"; ///< Method.
    std::string path; ///< Path and query.
    std::vector<http_header> headers; ///< Headers except hop-by-hop ones.
    shared_body body; ///< Body.
};

/** An HTTP response with its whole body. */
struct http_response
{
    unsigned status = 200; ///< Status code.
    std::vector<http_header> headers; ///< Headers except hop-by-hop ones.
    std::string body; ///< Body.
};

/**
 * Returns the value of the first header with a name, ignoring case.
 * @param headers Headers.
 * @param name Name.
 * @return Its value; empty if there is none.
 */
std::string findHeader(const std::vector<http_header> &headers, const std::string &name);

/**
 * Makes a response with a JSON body.
 * @param status Status code.
 * @param body JSON text.
 * @return The response.
 */
http_response jsonResponse(unsigned status, std::string body);

} // namespace quetzalspool

#endif // HTTP_TYPE_H
