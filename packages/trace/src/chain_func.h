/** @file chain_func.h Joining the log lines of several daemons to the chain of one request. */
#ifndef CHAIN_FUNC_H
#define CHAIN_FUNC_H

#include "base_type.h"
#include "chain_type.h"

#include <istream>

namespace quetzalspool {

/**
 * Reads one line: anything, then time and level, then a JSON object.
 * @param text Line.
 * @param why Receives the reason.
 * @return The line, or nothing.
 */
std::optional<trace_line> parseTraceLine(std::string_view text, last_reason &why);

/**
 * Reads a log file to its end.
 * @param in File.
 * @param name Name, for reasons.
 * @param log Receives lines and what could not be read.
 */
void readTraceLog(std::istream &in, const std::string &name, trace_log &log);

/**
 * Joins the lines about one request.
 * @param log Lines of all daemons, as far as there are any.
 * @param id Id of the request, as callers and targets know it.
 * @return The chain, or nothing if no line names the id.
 */
std::optional<request_chain> joinChain(const trace_log &log, const std::string &id);

/**
 * Writes a chain for a reader.
 * @param chain Chain.
 * @return Text of several lines.
 */
std::string formatChain(const request_chain &chain);

} // namespace quetzalspool

#endif // CHAIN_FUNC_H
