/** @file commands.cpp The client's commands. */
#include "client_type.h"
#include "row_func.h"
#include "settings_type.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr std::chrono::seconds applyWaitLimit{30};
constexpr milliseconds applyWaitStep{200};

int fail(const last_reason &why)
{
    std::cerr << "quetzalspool: " << describe(why) << "\n";
    return exit_failed;
}

int usage(const std::string &text)
{
    std::cerr << "quetzalspool: " << text << "; see quetzalspool --help\n";
    return exit_usage;
}

/** A value as a short text for a table. */
std::string shown(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Prints rows of objects as a table with the named columns. */
void printTable(const json &rows, const std::vector<std::string> &columns)
{
    std::vector<std::size_t> widths;
    for (const auto &column : columns) {
        auto width = column.size();
        for (const auto &row : rows) {
            width = std::max(width, shown(row.value(column, json(""))).size());
        }
        widths.push_back(width);
    }
    const auto pad = [](std::string text, std::size_t width) { return text.append(width - text.size() + 2, ' '); };
    for (std::size_t at = 0; at < columns.size(); ++at) {
        std::cout << pad(columns[at], widths[at]);
    }
    std::cout << "\n";
    for (const auto &row : rows) {
        for (std::size_t at = 0; at < columns.size(); ++at) {
            std::cout << pad(shown(row.value(columns[at], json(""))), widths[at]);
        }
        std::cout << "\n";
    }
}

void printChanges(const json &changes)
{
    for (const auto &change : changes) {
        const auto &before = change.at("before");
        const auto &after = change.at("after");
        std::cout << change.value("key", "") << "\n";
        if (before.is_null()) {
            std::cout << "  + " << after.dump() << "\n";
            continue;
        }
        for (const auto &[name, value] : after.items()) {
            const auto old = before.contains(name) ? before.at(name) : json();
            if (old != value) {
                std::cout << "  " << name << ": " << old.dump() << " -> " << value.dump() << "\n";
            }
        }
    }
}

int exitFor(unsigned status)
{
    if (status == 200) {
        return exit_good;
    }
    if (status == 202) {
        return exit_pending;
    }
    if (status == 504) {
        return exit_unclear;
    }
    return status >= 500 ? exit_failed : exit_refused;
}

/** Reads the file of tables; rows that the daemon has and the file lacks are not touched. */
std::optional<json> readRows(const std::string &file, last_reason &why)
{
    const auto text = readFile(file, why);
    if (!text) {
        return std::nullopt;
    }
    const auto rows = parseTables(*text, file, why);
    if (!rows) {
        return std::nullopt;
    }
    auto list = json::array();
    for (const auto &row : *rows) {
        list.push_back({{"key", row.key}, {"row", json::parse(formatRow(row.row))}});
    }
    return list;
}

/** Revisions of the rows as the operator sees them now. */
json basesOf(const client_options &options, const json &rows, last_reason &why)
{
    json bases = json::object();
    const auto answer = askDaemon(options.daemon, "GET", "/v1/show", {}, why);
    for (const auto &row : rows) {
        for (const auto &known : answer ? answer->body : json::array()) {
            if (known.at("key") == row.at("key")) {
                bases[row.at("key").get<std::string>()] = known.at("revision");
            }
        }
    }
    return bases;
}

/** Waits until every daemon has a revision. Names those that have not. */
int waitEverywhere(const client_options &options, std::int64_t revision)
{
    const auto startedAt = std::chrono::steady_clock::now();
    json late;
    while (std::chrono::steady_clock::now() - startedAt < applyWaitLimit) {
        last_reason why;
        const auto answer = askDaemon(options.daemon, "GET", "/v1/status", {}, why);
        late = json::array();
        for (const auto &status : answer ? answer->body.at("daemons") : json::array()) {
            if (status.value("tables_revision", std::int64_t(-1)) < revision) {
                late.push_back(status.value("instance", ""));
            }
        }
        if (answer && late.empty()) {
            const auto took = std::chrono::steady_clock::now() - startedAt;
            std::cerr << "in force at " << answer->body.at("daemons").size() << " daemons after "
                      << std::chrono::duration_cast<milliseconds>(took).count() << " ms\n";
            return exit_good;
        }
        std::cerr << "waiting for " << late.size() << " daemons\r";
        std::this_thread::sleep_for(applyWaitStep);
    }
    std::cerr << "not in force at: " << late.dump() << "\n";
    return exit_pending;
}

bool confirmed(const client_options &options)
{
    if (options.yes) {
        return true;
    }
    std::cout << "apply? [y/N] " << std::flush;
    std::string line;
    return std::getline(std::cin, line) && (line == "y" || line == "yes");
}

int apply(const client_options &options, bool showOnly)
{
    last_reason why;
    const auto rows = readRows(options.words[1], why);
    if (!rows) {
        std::cerr << "quetzalspool: " << describe(why) << "\n";
        return exit_usage;
    }
    json body{{"operator", options.operatorName},
              {"key", options.key},
              {"reason", options.reason},
              {"rows", *rows},
              {"dry_run", true},
              {"bases", basesOf(options, *rows, why)}};
    const auto preview = askDaemon(options.daemon, "POST", "/v1/apply", body, why);
    if (!preview) {
        return fail(why);
    }
    if (!options.json || preview->status != 200) {
        printChanges(preview->body.value("changes", json::array()));
        printChanges(preview->body.value("conflicts", json::array()));
    }
    if (preview->status != 200) {
        std::cerr << "quetzalspool: " << preview->body.value("outcome", "") << ": " << preview->body.value("reason", "")
                  << "\n";
        return exitFor(preview->status);
    }
    if (showOnly || options.dryRun) {
        if (options.json) {
            std::cout << preview->body.dump() << "\n";
        }
        return exit_good;
    }
    if (preview->body.at("changes").empty()) {
        std::cerr << "nothing to change\n";
        return exit_good;
    }
    if (!confirmed(options)) {
        return exit_refused;
    }
    body["dry_run"] = false;
    const auto answer = askDaemon(options.daemon, "POST", "/v1/apply", body, why);
    if (!answer) {
        std::cerr << "quetzalspool: " << describe(why) << "; see `audit` for whether it was accepted\n";
        return exit_unclear;
    }
    std::cout << (options.json ? answer->body.dump() : answer->body.value("outcome", "")) << "\n";
    if (answer->status == 200 && options.wait) {
        return waitEverywhere(options, answer->body.value("revision", std::int64_t(0)));
    }
    if (answer->status == 202) {
        std::cerr << "proposal " << answer->body.value("proposal", "") << " waits for a second operator\n";
    } else if (answer->status != 200) {
        std::cerr << "quetzalspool: " << answer->body.value("reason", "") << "\n";
    }
    return exitFor(answer->status);
}

int removeRow(const client_options &options)
{
    last_reason why;
    const json rows = json::array({{{"key", options.words[1]}, {"row", {{"removed", true}}}}});
    const json body{{"operator", options.operatorName},
                    {"key", options.key},
                    {"reason", options.reason},
                    {"rows", rows},
                    {"bases", basesOf(options, rows, why)}};
    const auto answer = askDaemon(options.daemon, "POST", "/v1/apply", body, why);
    if (!answer) {
        return fail(why);
    }
    std::cout << answer->body.dump() << "\n";
    return exitFor(answer->status);
}

/** A command that shows what a daemon answers. */
int showAnswer(const client_options &options, const std::string &method, const std::string &path, const json &body,
               const std::string &member, const std::vector<std::string> &columns)
{
    last_reason why;
    const auto answer = askDaemon(options.daemon, method, path, body, why);
    if (!answer) {
        return fail(why);
    }
    if (options.json || columns.empty() || answer->status != 200) {
        std::cout << answer->body.dump() << "\n";
    } else {
        printTable(member.empty() ? answer->body : answer->body.at(member), columns);
    }
    return exitFor(answer->status);
}

int status(const client_options &options)
{
    last_reason why;
    const auto answer = askDaemon(options.daemon, "GET", "/v1/status", {}, why);
    if (!answer) {
        return fail(why);
    }
    if (options.json) {
        std::cout << answer->body.dump() << "\n";
    } else {
        std::cout << "tables revision " << answer->body.at("tables_revision") << "\n\n";
        printTable(answer->body.at("cells"), {"cell", "revision", "members", "voters", "voters_changing"});
        std::cout << "\n";
        printTable(answer->body.at("instances"),
                   {"instance", "cell", "failure_domain", "pool", "slots_owned", "leaving"});
        std::cout << "\n";
        printTable(answer->body.at("daemons"), {"instance", "state", "tables_revision", "lease_ms", "reason"});
    }
    const auto &late = answer->body.at("lagging");
    if (!late.empty()) {
        std::cerr << "lagging: " << late.dump() << "\n";
    }
    return late.empty() ? exit_good : exit_pending;
}

int checkSettings(const client_options &options)
{
    last_reason why;
    if (!loadSettings(options.words[1], why)) {
        std::cerr << "quetzalspool: " << describe(why) << "\n";
        return exit_usage;
    }
    std::cout << options.words[1] << ": good\n";
    return exit_good;
}

/** Percent-encodes what a query can't hold. */
std::string encoded(const std::string &text)
{
    static const char digits[] = "0123456789ABCDEF";
    std::string out;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            out += static_cast<char>(c);
        } else {
            out += {'%', digits[c >> 4U], digits[c & 15U]};
        }
    }
    return out;
}

} // namespace

int runCommand(const client_options &options)
{
    const auto &words = options.words;
    const auto command = words.empty() ? std::string() : words[0];
    const auto needs = [&](std::size_t count) { return words.size() == count + 1; };
    if ((command == "apply" || command == "diff") && needs(1)) {
        return apply(options, command == "diff");
    }
    if (command == "remove" && needs(1)) {
        return removeRow(options);
    }
    if (command == "approve" && needs(1)) {
        const json body{{"operator", options.operatorName}, {"key", options.key}, {"proposal", words[1]}};
        return showAnswer(options, "POST", "/v1/approve", body, "", {});
    }
    if (command == "show" && needs(0)) {
        return showAnswer(options, "GET", "/v1/show", {}, "", {"key", "revision", "row"});
    }
    if (command == "owner" && needs(2)) {
        return showAnswer(options, "GET", "/v1/owner?pool=" + encoded(words[1]) + "&key=" + encoded(words[2]), {}, "",
                          {});
    }
    if (command == "status" && needs(0)) {
        return status(options);
    }
    if (command == "measures" && needs(0)) {
        return showAnswer(options, "GET", "/v1/measures", {}, "", {"cell", "pool", "slots", "unowned", "imbalance"});
    }
    if (command == "drain" && needs(1)) {
        return showAnswer(options, "POST", "/v1/drain", json{{"instance", words[1]}}, "", {});
    }
    if (command == "audit" && needs(0)) {
        return showAnswer(options, "GET", "/v1/audit", {}, "",
                          {"at", "operator", "approver", "outcome", "reason", "changes"});
    }
    if (command == "proposals" && needs(0)) {
        return showAnswer(options, "GET", "/v1/proposals", {}, "", {"id", "operator", "reason", "rows"});
    }
    if (command == "check" && needs(1)) {
        return checkSettings(options);
    }
    return usage(command.empty() ? "a command is expected"
                                 : "unknown command or wrong number of arguments: " + command);
}

} // namespace quetzalspool
