/** @file log_func.h Structured logging to standard output. */
#ifndef LOG_FUNC_H
#define LOG_FUNC_H

#include "base_type.h"

#include <initializer_list>
#include <string_view>

namespace quetzalspool {

/** Severity of a log line. */
enum class log_level
{
    debug, ///< Details for developers.
    info, ///< Normal events.
    warn, ///< Events that an operator may want to know about.
    error, ///< Events that an operator must know about.
};

/** Name and value of a field of a log line. */
using log_field = std::pair<std::string_view, std::string>;

/**
 * Sets up logging. Must be called once, before the first logEvent().
 * @param level Name of the minimum severity.
 * @param json Whether events are written as JSON objects.
 * @param instance Name of the instance, written on every line.
 */
void startLog(const std::string &level, bool json, const std::string &instance);

/**
 * Logs an event as one line.
 * @param level Severity.
 * @param event Name of the event, without spaces.
 * @param fields Fields of the event.
 */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/** Token bucket that limits log lines about requests, so that a high load does not flood the log. */
struct log_budget
{
    double tokensPerSecond = 40; ///< Lines added per second (about 10 KB of log per second).
    double maxTokens = 80; ///< Capacity: longest burst of lines.
    double tokens = 80; ///< Lines that may be written now.
    steady_time refilledAt{}; ///< When tokens were last added; the epoch before the first call.
    std::uint64_t dropped = 0; ///< Lines dropped since the caller last reset this count.
};

/**
 * Takes tokens for a group of log lines: either all lines may be written or none.
 * @param budget Token bucket.
 * @param now Current time.
 * @param lines Number of lines in the group.
 * @return Whether the lines may be written; otherwise they are counted as dropped.
 */
bool consumeTokens(log_budget &budget, steady_time now, std::uint32_t lines = 1);

} // namespace quetzalspool

#endif // LOG_FUNC_H
