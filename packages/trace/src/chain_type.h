/** @file chain_type.h The course of one request, joined from the logs of several daemons. */
#ifndef CHAIN_TYPE_H
#define CHAIN_TYPE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalspool {

/** One structured log line. */
struct trace_line
{
    std::string time; ///< Time by the daemon's clock, "YYYY-MM-DD hh:mm:ss.mmm"; clocks of daemons may differ.
    std::string instance; ///< Daemon that wrote the line.
    std::string event; ///< Name of the event.
    std::map<std::string, std::string> fields; ///< Other fields.
};

/** Log lines, and the errors of unreadable ones. */
struct trace_log
{
    std::vector<trace_line> lines; ///< Lines, in the order of the files.
    std::vector<std::string> unread; ///< "file:line: reason" of the first unreadable lines.
    std::uint64_t unreadCount = 0; ///< Number of all unreadable lines.
};

/** One attempt of a request. */
struct attempt_chain
{
    trace_line entryLine; ///< Line of the entry daemon: destination and result of the attempt.
    std::vector<trace_line> runs; ///< Lines of the daemon beside the target about this attempt; may be empty.
};

/** The log lines about one request. */
struct request_chain
{
    std::string id; ///< Id of the request.
    std::vector<trace_line> ended; ///< Lines of the entry daemon about the end of the request; may be empty.
    std::vector<attempt_chain> attempts; ///< Attempts, by number.
    std::vector<trace_line> unmatchedRuns; ///< Run lines whose attempt no entry daemon's line names.
    std::vector<trace_line> context; ///< Lines shortly before the end about events that may explain the reason.
    std::vector<std::string> gaps; ///< Descriptions of missing lines.
    std::string cause; ///< Description of the final outcome and reason.
};

} // namespace quetzalspool

#endif // CHAIN_TYPE_H
