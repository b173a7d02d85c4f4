/** @file history.h Checks the histories of callers and targets against the safety properties of the router. */
#ifndef HISTORY_H
#define HISTORY_H

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quetzalspool {

/** Result of a history check. */
struct history_result
{
    std::vector<std::string> violations; ///< A description of each violation.
    std::size_t answered = 0; ///< Requests answered by a target.
    std::size_t notRun = 0; ///< Requests refused without execution.
    std::size_t unknown = 0; ///< Requests with an unknown outcome.
    std::size_t broken = 0; ///< Requests without a complete response from the daemon.
    double longestGapMs = 0; ///< Longest time between two answered requests, over all keys together, in milliseconds.
};

/**
 * Checks that no order was executed twice, that no order reported as not run was executed, that every answered request
 * was executed, that each response belongs to its request, and that the fences of a slot never decrease over time.
 * @param requests History of the callers, with the members start_us, end_us, method, id, key, outcome.
 * @param executions History of the targets, with the members at_us, method, id, key, slot, fence, target.
 * @return Violations and counts.
 */
history_result checkHistory(const std::vector<nlohmann::json> &requests, std::vector<nlohmann::json> executions);

/**
 * Reads a file of JSON lines; lines that are not an object are skipped.
 * @param file Path of the file.
 * @return One object per line.
 */
std::vector<nlohmann::json> readLines(const std::string &file);

} // namespace quetzalspool

#endif // HISTORY_H
