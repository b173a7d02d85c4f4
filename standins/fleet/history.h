/** @file history.h Checks of the callers' and the targets' histories against what must always hold. */
#ifndef HISTORY_H
#define HISTORY_H

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quetzalspool {

/** What a check found. */
struct history_result
{
    std::vector<std::string> violations; ///< Each breach in words.
    std::size_t answered = 0; ///< Requests answered.
    std::size_t notRun = 0; ///< Requests refused.
    std::size_t unknown = 0; ///< Outcomes unknown.
    std::size_t broken = 0; ///< Requests whose daemon was lost.
    double longestGapMs = 0; ///< Longest time without an answer, over all keys together.
};

/**
 * Checks histories: no order ran twice; "not run" did not run; an answered request ran; each answer belongs to its
 * request; the fences of a slot never go back in the order of the runs.
 * @param requests The callers' history: start_us, end_us, method, id, key, outcome.
 * @param runs The targets' history: at_us, method, id, key, slot, fence, target.
 * @return Breaches and counts.
 */
history_result checkHistory(const std::vector<nlohmann::json> &requests, std::vector<nlohmann::json> executions);

/**
 * Reads JSON lines.
 * @param file Name of the file.
 * @return One object per line.
 */
std::vector<nlohmann::json> readLines(const std::string &file);

} // namespace quetzalspool

#endif // HISTORY_H
