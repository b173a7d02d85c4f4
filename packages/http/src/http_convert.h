/** @file http_convert.h Conversions from messages of Boost.Beast. Internal to the package. */
#ifndef HTTP_CONVERT_H
#define HTTP_CONVERT_H

#include "http_type.h"

#include <utility>

#include <boost/beast/http.hpp>

namespace quetzalspool {

/**
 * Tells whether a header applies to one connection or to the message framing only.
 * @param name Header.
 * @return Whether it must not be forwarded.
 */
inline bool isHopByHopHeader(boost::beast::http::field name)
{
    using boost::beast::http::field;
    switch (name) {
    case field::connection:
    case field::content_length:
    case field::transfer_encoding:
    case field::keep_alive:
    case field::te:
    case field::trailer:
    case field::upgrade:
    case field::proxy_connection:
        return true;
    default:
        return false;
    }
}

/**
 * Copies the headers except hop-by-hop ones.
 * @param fields Headers of a Beast message.
 * @return Names and values.
 */
template <typename Fields>
std::vector<http_header> copyEndToEndHeaders(const Fields &fields)
{
    std::vector<http_header> headers;
    for (const auto &row : fields) {
        if (!isHopByHopHeader(row.name())) {
            headers.emplace_back(std::string(row.name_string()), std::string(row.value()));
        }
    }
    return headers;
}

} // namespace quetzalspool

#endif // HTTP_CONVERT_H
