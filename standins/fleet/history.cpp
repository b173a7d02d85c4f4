/** @file history.cpp Checks the histories of callers and targets. */
#include "history.h"

#include <algorithm>
#include <fstream>
#include <map>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

/** Indexes executions by the caller's part of the request id, which follows the last slash. */
std::multimap<std::string, json> indexById(const std::vector<json> &executions)
{
    std::multimap<std::string, json> executionsById;
    for (const auto &execution : executions) {
        const auto id = execution.value("id", "");
        executionsById.emplace(id.substr(id.rfind('/') + 1), execution);
    }
    return executionsById;
}

void checkRequest(const json &request, const std::multimap<std::string, json> &executions, history_result &result)
{
    const auto id = request.value("id", "");
    const auto outcome = request.value("outcome", "");
    const auto count = executions.count(id);
    const bool order = request.value("method", "") != "GET";
    if (order && count > 1) {
        result.violations.push_back("order " + id + " was executed " + std::to_string(count) + " times");
    }
    if (outcome == "not-run") {
        ++result.notRun;
        if (order && count > 0) {
            result.violations.push_back("order " + id + " was reported as not run, but was executed");
        }
    } else if (outcome == "answered") {
        ++result.answered;
        if (count == 0) {
            result.violations.push_back("request " + id + " was answered, but never executed");
        }
    } else if (outcome == "unknown") {
        ++result.unknown;
    } else if (outcome == "crossed") {
        result.violations.push_back("request " + id + " got the response to another request");
    } else {
        ++result.broken;
    }
}

void checkFences(std::vector<json> executions, history_result &result)
{
    std::sort(executions.begin(), executions.end(),
              [](const auto &a, const auto &b) { return a.at("at_us") < b.at("at_us"); });
    std::map<std::string, std::pair<std::uint64_t, std::string>> highest;
    for (const auto &execution : executions) {
        const auto fence = execution.value("fence", "");
        if (fence.empty()) {
            continue;
        }
        const auto number = std::stoull(fence);
        auto &known = highest[execution.value("slot", "")];
        if (number < known.first) {
            result.violations.push_back("slot " + execution.value("slot", "") + ": " + execution.value("target", "")
                                        + " executed a request under fence " + fence + " after " + known.second
                                        + " under " + std::to_string(known.first));
        } else {
            known = {number, execution.value("target", "")};
        }
    }
}

double longestGap(const std::vector<json> &requests)
{
    std::vector<std::int64_t> ends;
    for (const auto &request : requests) {
        if (request.value("outcome", "") == "answered") {
            ends.push_back(request.value("end_us", std::int64_t(0)));
        }
    }
    std::sort(ends.begin(), ends.end());
    double longest = 0;
    for (std::size_t at = 1; at < ends.size(); ++at) {
        longest = std::max(longest, static_cast<double>(ends[at] - ends[at - 1]) / 1000.0);
    }
    return longest;
}

} // namespace

history_result checkHistory(const std::vector<json> &requests, std::vector<json> executions)
{
    history_result result;
    const auto executionsById = indexById(executions);
    for (const auto &request : requests) {
        checkRequest(request, executionsById, result);
    }
    checkFences(std::move(executions), result);
    result.longestGapMs = longestGap(requests);
    return result;
}

std::vector<json> readLines(const std::string &file)
{
    std::vector<json> lines;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        auto parsed = json::parse(line, nullptr, false);
        if (parsed.is_object()) {
            lines.push_back(std::move(parsed));
        }
    }
    return lines;
}

} // namespace quetzalspool
