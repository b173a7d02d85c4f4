/** @file query_parameter.cpp Parameters in the query of a path. */
#include "query_parameter.h"

#include "caller_request.h"

namespace quetzalspool {

std::optional<std::string> queryParameter(const std::string &path, const std::string &name)
{
    auto at = path.find('?');
    while (at != std::string::npos) {
        const auto end = path.find('&', at + 1);
        const auto pair = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.starts_with(name + "=")) {
            return percentDecode(pair.substr(name.size() + 1));
        }
        at = end;
    }
    return std::nullopt;
}

} // namespace quetzalspool
