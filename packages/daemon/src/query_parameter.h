/** @file query_parameter.h Parameters in the query of a path. */
#ifndef QUERY_PARAMETER_H
#define QUERY_PARAMETER_H

#include <optional>
#include <string>

namespace quetzalspool {

/**
 * Reads a parameter of a path's query.
 * @param path Path and query.
 * @param name Name of the parameter.
 * @return Its value, percent-decoded; nothing if it is missing or malformed.
 */
std::optional<std::string> queryParameter(const std::string &path, const std::string &name);

} // namespace quetzalspool

#endif // QUERY_PARAMETER_H
