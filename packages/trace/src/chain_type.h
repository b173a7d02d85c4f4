/** @file chain_type.h What log lines of several daemons tell about one request. */
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
    std::string time; ///< Time of day as the daemon wrote it, "YYYY-MM-DD hh:mm:ss.mmm"; clocks of daemons differ.
    std::string instance; ///< Daemon that wrote it.
    std::string event; ///< Event.
    std::map<std::string, std::string> fields; ///< Other fields.
};

/** Lines that were read, and what could not be. */
struct trace_log
{
    std::vector<trace_line> lines; ///< Lines, in the order of the files.
    std::vector<std::string> unread; ///< "file:line: reason" of the first lines that can't be read.
    std::uint64_t unreadCount = 0; ///< How many can't be read.
};

/** One attempt at a request. */
struct attempt_chain
{
    trace_line decided; ///< Line of the entry: where it went and how it ended.
    std::vector<trace_line> runs; ///< Lines of the daemon beside the target about this attempt; empty if none is there.
};

/** One request. */
struct request_chain
{
    std::string id; ///< Id of the request.
    std::vector<trace_line> ended; ///< Line of the entry about its end; empty if none is there.
    std::vector<attempt_chain> attempts; ///< Attempts in order.
    std::vector<trace_line>
        unmatchedRuns; ///< Lines of daemons beside targets about attempts that no entry's line names.
    std::vector<trace_line> context; ///< Lines about what the daemons believed shortly before, as the reason asks for.
    std::vector<std::string> gaps; ///< What is missing, in words.
    std::string cause; ///< The last reason, in words.
};

} // namespace quetzalspool

#endif // CHAIN_TYPE_H
