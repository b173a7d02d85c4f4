/** @file commands.cpp Commands of the client that use the admin port. */
#include "client_output.h"
#include "client_type.h"
#include "row_func.h"
#include "settings_type.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <thread>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr std::chrono::seconds applyWaitLimit{30};
constexpr milliseconds applyWaitStep{200};

int usage(const std::string &text)
{
    std::cerr << "quetzalspool: " << text << "; see quetzalspool --help\n";
    return exit_usage;
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
            const auto previous = before.contains(name) ? before.at(name) : json();
            if (previous != value) {
                std::cout << "  " << name << ": " << previous.dump() << " -> " << value.dump() << "\n";
            }
        }
    }
}

/** Reads the tables file as the rows of an edit. Rows missing from the file stay unchanged at the daemons. */
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

/** Returns the current revision of each row, so that the daemon detects concurrent changes. */
json fetchBaseRevisions(const client_options &options, const json &rows, last_reason &why)
{
    json bases = json::object();
    const auto response = requestDaemon(options.daemon, "GET", "/v1/show", {}, why);
    for (const auto &row : rows) {
        for (const auto &current : response ? response->body : json::array()) {
            if (current.at("key") == row.at("key")) {
                bases[row.at("key").get<std::string>()] = current.at("revision");
            }
        }
    }
    return bases;
}

/** Waits until every daemon has applied a revision; prints the daemons that lag behind. */
int waitUntilApplied(const client_options &options, std::int64_t revision)
{
    const auto startedAt = std::chrono::steady_clock::now();
    json lagging;
    while (std::chrono::steady_clock::now() - startedAt < applyWaitLimit) {
        last_reason why;
        const auto response = requestDaemon(options.daemon, "GET", "/v1/status", {}, why);
        lagging = json::array();
        for (const auto &status : response ? response->body.at("daemons") : json::array()) {
            if (status.value("tables_revision", std::int64_t(-1)) < revision) {
                lagging.push_back(status.value("instance", ""));
            }
        }
        if (response && lagging.empty()) {
            const auto elapsed = std::chrono::steady_clock::now() - startedAt;
            std::cerr << "in force at " << response->body.at("daemons").size() << " daemons after "
                      << std::chrono::duration_cast<milliseconds>(elapsed).count() << " ms\n";
            return exit_success;
        }
        std::cerr << "waiting for " << lagging.size() << " daemons\r";
        std::this_thread::sleep_for(applyWaitStep);
    }
    std::cerr << "not in force at: " << lagging.dump() << "\n";
    return exit_pending;
}

bool confirmChange(const client_options &options)
{
    if (options.yes) {
        return true;
    }
    std::cout << "apply? [y/N] " << std::flush;
    std::string line;
    return std::getline(std::cin, line) && (line == "y" || line == "yes");
}

/** Shows the difference that new rows make, and applies them after a confirmation. */
int applyRows(const client_options &options, const json &rows, bool showOnly)
{
    last_reason why;
    json body{{"operator", options.operatorName},
              {"key", options.key},
              {"reason", options.reason},
              {"rows", rows},
              {"dry_run", true},
              {"bases", fetchBaseRevisions(options, rows, why)}};
    const auto preview = requestDaemon(options.daemon, "POST", "/v1/apply", body, why);
    if (!preview) {
        return reportFailure(why);
    }
    if (!options.json || preview->status != 200) {
        printChanges(preview->body.value("changes", json::array()));
        printChanges(preview->body.value("conflicts", json::array()));
    }
    if (preview->status != 200) {
        std::cerr << "quetzalspool: " << preview->body.value("outcome", "") << ": " << preview->body.value("reason", "")
                  << "\n";
        return exitCodeFor(preview->status);
    }
    if (showOnly || options.dryRun) {
        if (options.json) {
            std::cout << preview->body.dump() << "\n";
        }
        return exit_success;
    }
    if (preview->body.at("changes").empty()) {
        std::cerr << "nothing to change\n";
        return exit_success;
    }
    if (!confirmChange(options)) {
        return exit_refused;
    }
    body["dry_run"] = false;
    const auto response = requestDaemon(options.daemon, "POST", "/v1/apply", body, why);
    if (!response) {
        std::cerr << "quetzalspool: " << describe(why) << "; run `audit` to see whether the change was accepted\n";
        return exit_unknown;
    }
    std::cout << (options.json ? response->body.dump() : response->body.value("outcome", "")) << "\n";
    if (response->status == 200 && options.wait) {
        return waitUntilApplied(options, response->body.value("revision", std::int64_t(0)));
    }
    if (response->status == 202) {
        std::cerr << "proposal " << response->body.value("proposal", "")
                  << " waits for approval by a second operator\n";
    } else if (response->status != 200) {
        std::cerr << "quetzalspool: " << response->body.value("reason", "") << "\n";
    }
    return exitCodeFor(response->status);
}

int apply(const client_options &options, bool showOnly)
{
    last_reason why;
    const auto rows = readRows(options.arguments[1], why);
    if (!rows) {
        std::cerr << "quetzalspool: " << describe(why) << "\n";
        return exit_usage;
    }
    return applyRows(options, *rows, showOnly);
}

/** Reads the failure domains that have a row or an instance, with their state and number of instances. */
std::optional<std::map<std::string, json>> fetchDomains(const client_options &options, last_reason &why)
{
    const auto rows = requestDaemon(options.daemon, "GET", "/v1/show", {}, why);
    const auto status = rows ? requestDaemon(options.daemon, "GET", "/v1/status", {}, why) : std::nullopt;
    if (!rows || !status) {
        return std::nullopt;
    }
    if (rows->status != 200 || status->status != 200) {
        return failed(why, "list domains", toString(options.daemon), "the daemon failed to show its tables or status");
    }
    std::map<std::string, json> domains;
    const auto domainOf = [&](const std::string &name) -> json & {
        const json inService{{"domain", name}, {"state", "in service"}, {"instances", 0}, {"revision", 0}};
        return domains.try_emplace(name, inService).first->second;
    };
    for (const auto &instance : status->body.at("instances")) {
        auto &domain = domainOf(instance.value("failure_domain", ""));
        domain["instances"] = domain.at("instances").get<int>() + 1;
    }
    for (const auto &row : rows->body) {
        const auto key = row.at("key").get<std::string>();
        if (key.starts_with(domainPrefix)) {
            auto &domain = domainOf(key.substr(domainPrefix.size()));
            domain["state"] = row.at("row").value("drained", false) ? "drained" : "in service";
            domain["revision"] = row.at("revision");
        }
    }
    return domains;
}

int listDomains(const client_options &options)
{
    last_reason why;
    const auto domains = fetchDomains(options, why);
    if (!domains) {
        return reportFailure(why);
    }
    auto list = json::array();
    for (const auto &entry : *domains) {
        list.push_back(entry.second);
    }
    if (options.json) {
        std::cout << list.dump() << "\n";
    } else {
        printTable(list, {"domain", "state", "instances", "revision"});
    }
    return exit_success;
}

/** Writes the row of a failure domain. The command names the whole change, so there is no confirmation prompt. */
int setDomain(const client_options &options, const std::string &name, bool drained)
{
    last_reason why;
    const domain_row row{{name}, drained};
    const auto key = std::string(domainPrefix) + name;
    if (!checkRow(key, row, why)) {
        std::cerr << "quetzalspool: " << describe(why) << "\n";
        return exit_usage;
    }
    const auto domains = fetchDomains(options, why);
    if (domains && !domains->contains(name)) {
        std::cerr << "quetzalspool: warning: failure domain \"" << name << "\" is unknown; the change is made anyway\n";
    }
    auto confirmed = options;
    confirmed.yes = true;
    return applyRows(confirmed, json::array({{{"key", key}, {"row", json::parse(formatRow(row))}}}), false);
}

/** Runs `domain`, `domain drain NAME` or `domain restore NAME`. */
int runDomainCommand(const client_options &options)
{
    const auto &arguments = options.arguments;
    if (arguments.size() == 1) {
        return listDomains(options);
    }
    if (arguments.size() == 3 && (arguments[1] == "drain" || arguments[1] == "restore")) {
        return setDomain(options, arguments[2], arguments[1] == "drain");
    }
    return usage("expected domain, domain drain NAME or domain restore NAME");
}

int removeRow(const client_options &options)
{
    last_reason why;
    const json rows = json::array({{{"key", options.arguments[1]}, {"row", {{"removed", true}}}}});
    const json body{{"operator", options.operatorName},
                    {"key", options.key},
                    {"reason", options.reason},
                    {"rows", rows},
                    {"bases", fetchBaseRevisions(options, rows, why)}};
    const auto response = requestDaemon(options.daemon, "POST", "/v1/apply", body, why);
    if (!response) {
        return reportFailure(why);
    }
    std::cout << response->body.dump() << "\n";
    return exitCodeFor(response->status);
}

/** Sends a request and prints the response: as JSON, or a member of it as a table. */
int printResponse(const client_options &options, const std::string &method, const std::string &path, const json &body,
                  const std::string &member, const std::vector<std::string> &columns)
{
    last_reason why;
    const auto response = requestDaemon(options.daemon, method, path, body, why);
    if (!response) {
        return reportFailure(why);
    }
    if (options.json || columns.empty() || response->status != 200) {
        std::cout << response->body.dump() << "\n";
    } else {
        printTable(member.empty() ? response->body : response->body.at(member), columns);
    }
    return exitCodeFor(response->status);
}

int status(const client_options &options)
{
    last_reason why;
    const auto response = requestDaemon(options.daemon, "GET", "/v1/status", {}, why);
    if (!response) {
        return reportFailure(why);
    }
    if (options.json) {
        std::cout << response->body.dump() << "\n";
    } else {
        std::cout << "tables revision " << response->body.at("tables_revision") << "\n\n";
        printTable(response->body.at("cells"), {"cell", "revision", "members", "voters", "voters_changing"});
        std::cout << "\n";
        printTable(response->body.at("instances"),
                   {"instance", "cell", "failure_domain", "pool", "slots_owned", "leaving"});
        std::cout << "\n";
        printTable(response->body.at("daemons"), {"instance", "state", "tables_revision", "lease_ms", "reason"});
    }
    const auto &lagging = response->body.at("lagging");
    if (!lagging.empty()) {
        std::cerr << "lagging: " << lagging.dump() << "\n";
    }
    return lagging.empty() ? exit_success : exit_pending;
}

int checkSettings(const client_options &options)
{
    last_reason why;
    if (!loadSettings(options.arguments[1], why)) {
        std::cerr << "quetzalspool: " << describe(why) << "\n";
        return exit_usage;
    }
    std::cout << options.arguments[1] << ": good\n";
    return exit_success;
}

} // namespace

int runCommand(const client_options &options)
{
    const auto &arguments = options.arguments;
    const auto command = arguments.empty() ? std::string() : arguments[0];
    const auto hasArguments = [&](std::size_t count) { return arguments.size() == count + 1; };
    if ((command == "apply" || command == "diff") && hasArguments(1)) {
        return apply(options, command == "diff");
    }
    if (command == "remove" && hasArguments(1)) {
        return removeRow(options);
    }
    if (command == "approve" && hasArguments(1)) {
        const json body{{"operator", options.operatorName}, {"key", options.key}, {"proposal", arguments[1]}};
        return printResponse(options, "POST", "/v1/approve", body, "", {});
    }
    if (command == "show" && hasArguments(0)) {
        return printResponse(options, "GET", "/v1/show", {}, "", {"key", "revision", "row"});
    }
    if (command == "owner" && hasArguments(2)) {
        return printResponse(options, "GET",
                             "/v1/owner?pool=" + percentEncode(arguments[1]) + "&key=" + percentEncode(arguments[2]),
                             {}, "", {});
    }
    if (command == "where" && hasArguments(1)) {
        return showWhere(options);
    }
    if (command == "status" && hasArguments(0)) {
        return status(options);
    }
    if (command == "measures" && hasArguments(0)) {
        return printResponse(options, "GET", "/v1/measures", {}, "", {"cell", "pool", "slots", "unowned", "imbalance"});
    }
    if (command == "drain" && hasArguments(1)) {
        return printResponse(options, "POST", "/v1/drain", json{{"instance", arguments[1]}}, "", {});
    }
    if (command == "domain") {
        return runDomainCommand(options);
    }
    if (command == "audit" && hasArguments(0)) {
        return printResponse(options, "GET", "/v1/audit", {}, "",
                             {"at", "operator", "approver", "outcome", "reason", "changes"});
    }
    if (command == "proposals" && hasArguments(0)) {
        return printResponse(options, "GET", "/v1/proposals", {}, "", {"id", "operator", "reason", "rows"});
    }
    if (command == "check" && hasArguments(1)) {
        return checkSettings(options);
    }
    return usage(command.empty() ? "missing command" : "unknown command or wrong number of arguments: " + command);
}

} // namespace quetzalspool
