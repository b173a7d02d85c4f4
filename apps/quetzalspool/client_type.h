/** @file client_type.h Types and functions shared by all commands of the client. */
#ifndef CLIENT_TYPE_H
#define CLIENT_TYPE_H

#include "base_type.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace quetzalspool {

/** Exit codes of the client. */
enum exit_code : int
{
    exit_success = 0, ///< The command succeeded.
    exit_failed = 1, ///< No response, or the daemon failed to execute the command.
    exit_usage = 2, ///< Invalid arguments or an invalid file.
    exit_refused = 3, ///< Refused by a rule, by a conflicting change or at the confirmation prompt.
    exit_pending = 4, ///< Not yet in force at every daemon, or waiting for approval.
    exit_unknown = 5, ///< The outcome is unknown: the change may have been made.
};

/** A request that `where` asks about. */
struct asked_request
{
    std::string host; ///< Host; empty for none.
    std::string method = "GET"; ///< Method.
    std::optional<std::string> key; ///< Key that replaces the one in the path.
};

/** Command-line options. */
struct client_options
{
    endpoint daemon; ///< Admin port of any daemon.
    bool json = false; ///< Whether to print JSON instead of tables.
    bool wait = false; ///< Whether `apply` waits until every daemon has applied the change.
    bool dryRun = false; ///< Whether `apply` only shows the difference.
    bool yes = false; ///< Whether to skip the confirmation prompt.
    std::string operatorName; ///< Name of the operator.
    std::string key; ///< Key of the operator.
    std::string reason; ///< Reason for the change, recorded in the audit log.
    asked_request asked; ///< Request of `where`.
    std::vector<std::string> arguments; ///< The command and its arguments.
};

/** Response of a daemon. */
struct daemon_response
{
    unsigned status = 0; ///< HTTP status code.
    nlohmann::json body; ///< Parsed body; a string if it is not JSON.
};

/**
 * Sends a request to a daemon's admin port and waits for the response.
 * @param address Admin port.
 * @param method HTTP method.
 * @param path Path and query.
 * @param body JSON body; null for none.
 * @param why Receives the reason if there is no response.
 * @return The response, or nothing.
 */
std::optional<daemon_response> requestDaemon(const endpoint &address, const std::string &method,
                                             const std::string &path, const nlohmann::json &body, last_reason &why);

/**
 * Prints the log lines of one request, joined across daemons.
 * @param id Request id.
 * @param files Log files of the daemons; standard input if empty.
 * @return exit_failed if no line names the request, exit_usage if a file can't be read.
 */
int explainRequest(const std::string &id, const std::vector<std::string> &files);

/**
 * Formats the explanation where a request would go.
 * @param answer Response of the daemon.
 * @return Text of several lines.
 */
std::string formatWhere(const nlohmann::json &answer);

/**
 * Shows where a request would go. The path is the argument of the command.
 * @param options Command-line options.
 * @return exit_refused if no route matches, exit_failed if the daemon has no tables or doesn't answer.
 */
int showWhere(const client_options &options);

/**
 * Runs the command named by the first argument.
 * @param options Command-line options.
 * @return Exit code.
 */
int runCommand(const client_options &options);

} // namespace quetzalspool

#endif // CLIENT_TYPE_H
