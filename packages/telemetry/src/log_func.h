/** @file log_func.h Structured log lines to standard error. */
#ifndef LOG_FUNC_H
#define LOG_FUNC_H

#include "base_type.h"

#include <initializer_list>
#include <string_view>

namespace quetzalspool {

/** Severity of a log line. */
enum class log_level
{
    debug, ///< For developers.
    info, ///< Ordinary events.
    warn, ///< Something an operator may want to know.
    error, ///< Something an operator must know.
};

/** One field of a log line. */
using log_field = std::pair<std::string_view, std::string>;

/**
 * Sets up logging. Called once, before the first line.
 * @param level Least severe level, by name.
 * @param json Whether each line is a JSON object.
 * @param instance Name of the instance, on every line.
 */
void startLog(const std::string &level, bool json, const std::string &instance);

/**
 * Writes one line.
 * @param level Severity.
 * @param event Name of the event, without blanks.
 * @param fields Details.
 */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace quetzalspool

#endif // LOG_FUNC_H
