/** @file history.cpp Checks of histories. */
#include "history.h"

#include <algorithm>
#include <fstream>
#include <map>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

/** Runs by the caller's part of the request id. */
std::multimap<std::string, json> byId(const std::vector<json> &runs)
{
    std::multimap<std::string, json> map;
    for (const auto &run : runs) {
        const auto id = run.value("id", "");
        map.emplace(id.substr(id.rfind('/') + 1), run);
    }
    return map;
}

void checkRequest(const json &request, const std::multimap<std::string, json> &runs, history_verdict &verdict)
{
    const auto id = request.value("id", "");
    const auto outcome = request.value("outcome", "");
    const auto count = runs.count(id);
    const bool order = request.value("method", "") != "GET";
    if (order && count > 1) {
        verdict.breaches.push_back("order " + id + " ran " + std::to_string(count) + " times");
    }
    if (outcome == "not-run") {
        ++verdict.notRun;
        if (order && count > 0) {
            verdict.breaches.push_back("order " + id + " was called not run, and ran");
        }
    } else if (outcome == "answered") {
        ++verdict.answered;
        if (count == 0) {
            verdict.breaches.push_back("request " + id + " was answered, and never ran");
        }
    } else if (outcome == "unknown") {
        ++verdict.unknown;
    } else if (outcome == "crossed") {
        verdict.breaches.push_back("request " + id + " got another request's answer");
    } else {
        ++verdict.broken;
    }
}

void checkFences(std::vector<json> runs, history_verdict &verdict)
{
    std::sort(runs.begin(), runs.end(), [](const auto &a, const auto &b) { return a.at("at_us") < b.at("at_us"); });
    std::map<std::string, std::pair<std::uint64_t, std::string>> highest;
    for (const auto &run : runs) {
        const auto fence = run.value("fence", "");
        if (fence.empty()) {
            continue;
        }
        const auto number = std::stoull(fence);
        auto &known = highest[run.value("slot", "")];
        if (number < known.first) {
            verdict.breaches.push_back("slot " + run.value("slot", "") + ": " + run.value("target", "")
                                       + " ran under fence " + fence + " after " + known.second + " under "
                                       + std::to_string(known.first));
        } else {
            known = {number, run.value("target", "")};
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

history_verdict checkHistory(const std::vector<json> &requests, std::vector<json> runs)
{
    history_verdict verdict;
    const auto map = byId(runs);
    for (const auto &request : requests) {
        checkRequest(request, map, verdict);
    }
    checkFences(std::move(runs), verdict);
    verdict.longestGapMs = longestGap(requests);
    return verdict;
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
