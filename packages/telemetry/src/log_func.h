/** @file log_func.h Structured log lines to standard output. */
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

/** Lines that may be written about requests, so that load never turns into a flood of lines. */
struct log_budget
{
    double tokensPerSecond = 40; ///< Lines a second: some 10 KB.
    double maxTokens = 80; ///< Lines that can be saved up.
    double tokens = 80; ///< Lines that may be written now.
    steady_time refilledAt{}; ///< When tokens were last added.
    std::uint64_t dropped = 0; ///< Lines left out since the last one written.
};

/**
 * Takes the right to write some lines that belong together.
 * @param budget Budget.
 * @param now Present time.
 * @param lines How many.
 * @return Whether they may be written; else they are counted as dropped.
 */
bool consumeTokens(log_budget &budget, steady_time now, std::uint32_t lines = 1);

} // namespace quetzalspool

#endif // LOG_FUNC_H
