/** @file chain_func.h Reconstruction of the course of one request from the logs of several daemons. */
#ifndef CHAIN_FUNC_H
#define CHAIN_FUNC_H

#include "base_type.h"
#include "chain_type.h"

#include <istream>

namespace quetzalspool {

/**
 * Parses one log line: optional text, time and level, then a JSON object.
 * @param text Line.
 * @param why Receives the reason for a failure.
 * @return The line, or nothing after a failure.
 */
std::optional<trace_line> parseTraceLine(std::string_view text, last_reason &why);

/**
 * Reads all lines of a log file.
 * @param in File.
 * @param name Name of the file, for error messages.
 * @param log Receives the lines and the errors of unreadable ones.
 */
void readTraceLog(std::istream &in, const std::string &name, trace_log &log);

/**
 * Joins the lines about one request to its chain of attempts.
 * @param log Lines of all daemons whose logs are available.
 * @param id Id of the request, as callers and targets know it.
 * @return The chain, or nothing if no line has the id.
 */
std::optional<request_chain> joinChain(const trace_log &log, const std::string &id);

/**
 * Formats a chain for display.
 * @param chain Chain.
 * @return Text of several lines.
 */
std::string formatChain(const request_chain &chain);

} // namespace quetzalspool

#endif // CHAIN_FUNC_H
