/** @file chain.cpp Reconstruction of the course of one request from the logs of several daemons. */
#include "chain_func.h"

#include "reason_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr std::size_t maxUnreadShown = 5; ///< Maximum unreadable lines that are listed.
constexpr std::size_t timeLength = 23; ///< Characters of "YYYY-MM-DD hh:mm:ss.mmm".
constexpr std::size_t maxContextLines = 12; ///< Maximum context lines of a request.
constexpr milliseconds contextWindow{15000}; ///< Context begins this long before the end; longer than a lease.
constexpr std::string_view endedEvent = "request-ended"; ///< Last line of the entry daemon about a request.
constexpr std::string_view attemptEvent = "attempt"; ///< Line of the entry daemon about one attempt.
constexpr std::string_view runEvent = "run"; ///< Line of the daemon beside the target about one attempt.

std::string findField(const trace_line &line, const std::string &name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string() : found->second;
}

/** Whether a line is about a request. Targets may get an id composed of pool, key and the caller's id. */
bool matchesRequest(const trace_line &line, const std::string &id)
{
    const auto found = findField(line, "id");
    return found == id || found.ends_with("/" + id);
}

/** Extracts the time from the text before the JSON object: date, time, level. Empty if there is none. */
std::string parseTimestamp(std::string_view front)
{
    while (!front.empty() && front.back() == ' ') {
        front.remove_suffix(1);
    }
    front = front.substr(0, front.rfind(' ')); // The level.
    while (!front.empty() && front.back() == ' ') {
        front.remove_suffix(1);
    }
    return front.size() < timeLength ? std::string() : std::string(front.substr(front.size() - timeLength));
}

/** Approximate milliseconds since the start of the year, accurate enough to compare times a few seconds apart. */
std::optional<milliseconds> toMilliseconds(const std::string &time)
{
    int month = 0;
    int day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int part = 0;
    if (std::sscanf(time.c_str(), "%*d-%d-%d %d:%d:%d.%d", &month, &day, &hour, &minute, &second, &part) != 6) {
        return std::nullopt;
    }
    const auto days = std::chrono::days(month * 31 + day);
    return days + std::chrono::hours(hour) + std::chrono::minutes(minute) + std::chrono::seconds(second)
        + milliseconds(part);
}

/** Whether a line was written shortly before another one, by the clocks of the daemons that wrote them. */
bool isShortlyBefore(const trace_line &line, const trace_line &end)
{
    const auto at = toMilliseconds(line.time);
    const auto until = toMilliseconds(end.time);
    return at && until && *at <= *until && *until - *at <= contextWindow;
}

bool containsWord(std::string_view words, std::string_view word)
{
    for (std::size_t at = 0; at < words.size();) {
        const auto end = std::min(words.find(' ', at), words.size());
        if (words.substr(at, end - at) == word) {
            return true;
        }
        at = end + 1;
    }
    return false;
}

/** The last line with a reason why the request ended. */
const trace_line *finalLine(const request_chain &chain)
{
    if (!chain.ended.empty()) {
        return &chain.ended.back();
    }
    if (!chain.attempts.empty()) {
        return &chain.attempts.back().entryLine;
    }
    return chain.unmatchedRuns.empty() ? nullptr : &chain.unmatchedRuns.back();
}

/** All daemons mentioned in the chain. */
std::set<std::string> involvedDaemons(const request_chain &chain)
{
    std::set<std::string> daemons;
    for (const auto &line : chain.ended) {
        daemons.insert(line.instance);
    }
    for (const auto &attempt : chain.attempts) {
        daemons.insert(attempt.entryLine.instance);
        daemons.insert(findField(attempt.entryLine, "owner"));
    }
    for (const auto &run : chain.unmatchedRuns) {
        daemons.insert(run.instance);
    }
    return daemons;
}

/** Whether a line was written by one of the daemons, mentions one, or is about owners, which affect all daemons. */
bool isRelevant(const trace_line &line, const std::set<std::string> &daemons)
{
    return line.event.starts_with("owners") || daemons.contains(line.instance)
        || std::any_of(line.fields.begin(), line.fields.end(),
                       [&](const auto &field) { return daemons.contains(field.second); });
}

/** Collects the lines shortly before the end whose events may explain the reason. */
void collectContext(const trace_log &log, request_chain &chain)
{
    const auto *last = finalLine(chain);
    const auto *reason = last == nullptr ? nullptr : findReason(findField(*last, "reason"));
    if (reason == nullptr || reason->relatedEvents.empty()) {
        return;
    }
    const auto daemons = involvedDaemons(chain);
    for (const auto &line : log.lines) {
        if (containsWord(reason->relatedEvents, line.event) && isShortlyBefore(line, *last)
            && isRelevant(line, daemons)) {
            chain.context.push_back(line);
        }
    }
    std::stable_sort(chain.context.begin(), chain.context.end(),
                     [](const auto &a, const auto &b) { return a.time < b.time; });
    if (chain.context.size() > maxContextLines) {
        chain.context.erase(chain.context.begin(), chain.context.end() - maxContextLines);
    }
}

/** Lists expected lines that are missing. */
void findGaps(request_chain &chain)
{
    if (chain.ended.empty()) {
        chain.gaps.emplace_back(
            "no line of the entry daemon: its log is not among the files, it dropped the line (lines_dropped), "
            "or the request is still in progress");
    }
    for (const auto &attempt : chain.attempts) {
        const auto owner = findField(attempt.entryLine, "owner");
        if (attempt.runs.empty() && !owner.empty()) {
            chain.gaps.push_back("no line of " + owner + " about attempt " + findField(attempt.entryLine, "number")
                                 + ": its log is not among the files, it dropped the line, or the attempt did not "
                                   "reach it");
        }
    }
}

std::string describeCause(const request_chain &chain)
{
    const auto *last = finalLine(chain);
    if (last == nullptr) {
        return "unknown";
    }
    const auto word = findField(*last, "reason");
    const auto *reason = findReason(word);
    const bool late = findField(*last, "late") == "1";
    return findField(*last, "outcome") + (late ? ", late" : "") + ", " + word + ": "
        + (reason == nullptr ? "reason unknown to this version" : std::string(reason->meaning));
}

std::string formatLine(const trace_line &line)
{
    auto text = line.time + " " + line.instance + " " + line.event;
    for (const auto &[name, value] : line.fields) {
        if (name != "id" && !value.empty()) {
            text.append(" ").append(name).append("=").append(value);
        }
    }
    return text;
}

} // namespace

std::optional<trace_line> parseTraceLine(std::string_view text, last_reason &why)
{
    const auto brace = text.find('{');
    if (brace == std::string_view::npos) {
        return failed(why, "parse a log line", "",
                      "no JSON object; the daemon must be configured with log_format = \"json\"");
    }
    const auto object = json::parse(text.substr(brace), nullptr, false);
    if (!object.is_object() || !object.contains("event") || !object.at("event").is_string()) {
        return failed(why, "parse a log line", "", "its JSON object is damaged or has no event");
    }
    trace_line line;
    line.time = parseTimestamp(text.substr(0, brace));
    for (const auto &[name, value] : object.items()) {
        auto shown = value.is_string() ? value.get<std::string>() : value.dump();
        if (name == "event") {
            line.event = std::move(shown);
        } else if (name == "instance") {
            line.instance = std::move(shown);
        } else {
            line.fields[name] = std::move(shown);
        }
    }
    return line;
}

void readTraceLog(std::istream &in, const std::string &name, trace_log &log)
{
    std::string text;
    for (std::uint64_t number = 1; std::getline(in, text); ++number) {
        if (text.empty()) {
            continue;
        }
        last_reason why;
        auto line = parseTraceLine(text, why);
        if (line) {
            log.lines.push_back(std::move(*line));
            continue;
        }
        ++log.unreadCount;
        if (log.unread.size() < maxUnreadShown) {
            log.unread.push_back(name + ":" + std::to_string(number) + ": " + why.text);
        }
    }
}

std::optional<request_chain> joinChain(const trace_log &log, const std::string &id)
{
    request_chain chain;
    chain.id = id;
    std::vector<trace_line> runs;
    for (const auto &line : log.lines) {
        if (!matchesRequest(line, id)) {
            continue;
        }
        if (line.event == endedEvent) {
            chain.ended.push_back(line);
        } else if (line.event == attemptEvent) {
            chain.attempts.push_back({line, {}});
        } else if (line.event == runEvent) {
            runs.push_back(line);
        }
    }
    if (chain.ended.empty() && chain.attempts.empty() && runs.empty()) {
        return std::nullopt;
    }
    std::stable_sort(chain.attempts.begin(), chain.attempts.end(), [](const auto &a, const auto &b) {
        return std::atoi(findField(a.entryLine, "number").c_str())
            < std::atoi(findField(b.entryLine, "number").c_str());
    });
    for (auto &run : runs) {
        const auto attempt = std::find_if(chain.attempts.begin(), chain.attempts.end(), [&](const auto &known) {
            return findField(known.entryLine, "attempt") == findField(run, "attempt");
        });
        (attempt == chain.attempts.end() ? chain.unmatchedRuns : attempt->runs).push_back(std::move(run));
    }
    collectContext(log, chain);
    findGaps(chain);
    chain.cause = describeCause(chain);
    return chain;
}

std::string formatChain(const request_chain &chain)
{
    std::string text = "request " + chain.id + "\n";
    for (const auto &line : chain.context) {
        text += "  before   " + formatLine(line) + "\n";
    }
    for (const auto &attempt : chain.attempts) {
        text += "  attempt  " + formatLine(attempt.entryLine) + "\n";
        for (const auto &run : attempt.runs) {
            text += "    target " + formatLine(run) + "\n";
        }
    }
    for (const auto &run : chain.unmatchedRuns) {
        text += "  target   " + formatLine(run) + "\n";
    }
    for (const auto &line : chain.ended) {
        text += "  end      " + formatLine(line) + "\n";
    }
    for (const auto &gap : chain.gaps) {
        text += "  missing  " + gap + "\n";
    }
    return text + "cause: " + chain.cause + "\n";
}

} // namespace quetzalspool
