/** @file main.cpp The command-line client for operators. */
#include "client_type.h"
#include "load_type.h"
#include "settings_type.h"

#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace quetzalspool;

constexpr const char *description =
    "Operates quetzalspool through the admin port of any daemon.\n"
    "Commands: apply FILE | diff FILE | remove ROW | approve PROPOSAL | proposals | show | owner POOL KEY | where PATH "
    "| "
    "status | measures | drain INSTANCE | domain [drain NAME | restore NAME] | audit | check SETTINGS | "
    "load HOST:PORT... | explain ID [LOG...]\n"
    "Exit codes: 0 done, 1 failed, 2 usage or invalid file, 3 refused, 4 not yet in force everywhere or waiting for "
    "approval, 5 outcome unknown.";

std::string fromEnvironment(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

/** Runs `load` against the caller ports given on the command line. */
int load(load_options options, const std::vector<std::string> &arguments)
{
    for (std::size_t at = 1; at < arguments.size(); ++at) {
        const auto to = parseEndpoint(arguments[at]);
        if (!to) {
            std::cerr << "quetzalspool: load: " << arguments[at] << " is not an IP address and port\n";
            return exit_usage;
        }
        options.callers.push_back(*to);
    }
    if (options.callers.empty()) {
        std::cerr << "quetzalspool: load: missing caller port; see quetzalspool --help\n";
        return exit_usage;
    }
    const auto result = runLoad(options);
    std::cout << formatLoad(result) << "\n";
    return result.lookups.broken + result.orders.broken > 0 ? exit_failed : exit_success;
}

/** Runs `explain` with the request id and log files given on the command line. */
int explain(const std::vector<std::string> &arguments)
{
    if (arguments.size() < 2) {
        std::cerr << "quetzalspool: explain: missing request id; see quetzalspool --help\n";
        return exit_usage;
    }
    return explainRequest(arguments[1], {arguments.begin() + 2, arguments.end()});
}

} // namespace

/**
 * Parses the command line and runs the command.
 * @param argc Number of arguments.
 * @param argv Arguments.
 * @return Exit code, see exit_code.
 */
int main(int argc, char **argv)
{
    TCLAP::CmdLine line(description, ' ', "0.1.0");
    TCLAP::ValueArg<std::string> daemon("d", "daemon", "Admin port of any daemon (or QUETZALSPOOL_DAEMON).", false,
                                        fromEnvironment("QUETZALSPOOL_DAEMON", "127.0.0.1:7003"), "HOST:PORT", line);
    TCLAP::ValueArg<std::string> name("o", "operator", "Operator (or QUETZALSPOOL_OPERATOR).", false,
                                      fromEnvironment("QUETZALSPOOL_OPERATOR", ""), "NAME", line);
    TCLAP::ValueArg<std::string> key("k", "key-file", "File with the operator's key (or QUETZALSPOOL_KEY).", false, "",
                                     "FILE", line);
    TCLAP::ValueArg<std::string> reason("m", "reason", "Reason for the change.", false, "", "TEXT", line);
    TCLAP::SwitchArg asJson("j", "json", "Print JSON.", line);
    TCLAP::SwitchArg wait("w", "wait", "apply, domain: wait until every daemon has applied the change.", line);
    TCLAP::SwitchArg dryRun("n", "dry-run", "apply, domain: only show the difference.", line);
    TCLAP::SwitchArg yes("y", "yes", "apply: skip the confirmation prompt.", line);
    TCLAP::ValueArg<std::string> host("", "host", "where: host of the request.", false, "", "HOST", line);
    TCLAP::ValueArg<std::string> askedKey("", "key", "where: key, instead of the one in the path.", false, "", "KEY",
                                          line);
    TCLAP::ValueArg<std::string> method("", "method", "where: method of the request.", false, "GET", "METHOD", line);
    TCLAP::ValueArg<std::string> from("", "from",
                                      "where: admin port of the daemon that receives the request; "
                                      "otherwise that of --daemon.",
                                      false, "", "HOST:PORT", line);
    TCLAP::ValueArg<double> rate("", "rate", "load: requests started per second.", false, 100, "N", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "load: duration in seconds.", false, 5, "S", line);
    TCLAP::ValueArg<std::string> path("", "path", "load: path of lookups, with {key}.", false, "/formulas/{key}",
                                      "PATH", line);
    TCLAP::ValueArg<std::string> orderPath("", "order-path", "load: path of orders.", false, "", "PATH", line);
    TCLAP::ValueArg<double> orders("", "orders", "load: fraction of orders, 0 to 1.", false, 0, "SHARE", line);
    TCLAP::ValueArg<int> keys("", "keys", "load: number of keys.", false, 1000, "N", line);
    TCLAP::ValueArg<int> seed("", "seed", "load: seed.", false, 1, "N", line);
    TCLAP::ValueArg<std::string> history("", "history", "load: file that receives a JSON line per request.", false, "",
                                         "FILE", line);
    TCLAP::UnlabeledMultiArg<std::string> arguments("command", "Command and its arguments.", true, "COMMAND", line);
    line.parse(argc, argv);

    if (arguments.getValue().front() == "load") {
        load_options options;
        options.rate = rate.getValue();
        options.duration = std::chrono::seconds(seconds.getValue());
        options.path = path.getValue();
        options.orderPath = orderPath.getValue();
        options.orderShare = orders.getValue();
        options.keys = static_cast<std::uint64_t>(std::max(1, keys.getValue()));
        options.seed = static_cast<std::uint64_t>(seed.getValue());
        options.history = history.getValue();
        options.progress = !asJson.getValue();
        return load(options, arguments.getValue());
    }
    if (arguments.getValue().front() == "explain") {
        return explain(arguments.getValue());
    }
    client_options options;
    const auto &asked = from.isSet() ? from : daemon;
    const auto at = parseEndpoint(asked.getValue());
    if (!at) {
        std::cerr << "quetzalspool: --" << asked.getName() << " must be an IP address and a port\n";
        return exit_usage;
    }
    options.daemon = *at;
    options.operatorName = name.getValue();
    options.key = fromEnvironment("QUETZALSPOOL_KEY", "");
    if (!key.getValue().empty()) {
        last_reason why;
        const auto text = readFile(key.getValue(), why);
        if (!text) {
            std::cerr << "quetzalspool: " << describe(why) << "\n";
            return exit_usage;
        }
        options.key = text->substr(0, text->find('\n'));
    }
    options.reason = reason.getValue();
    options.json = asJson.getValue();
    options.wait = wait.getValue();
    options.dryRun = dryRun.getValue();
    options.yes = yes.getValue();
    options.asked.host = host.getValue();
    options.asked.method = method.getValue();
    options.asked.key = askedKey.isSet() ? std::optional(askedKey.getValue()) : std::nullopt;
    options.arguments = arguments.getValue();
    return runCommand(options);
}
