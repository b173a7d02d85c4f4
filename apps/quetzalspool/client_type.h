/** @file client_type.h What all commands of the client share. */
#ifndef CLIENT_TYPE_H
#define CLIENT_TYPE_H

#include "base_type.h"

#include <nlohmann/json.hpp>

namespace quetzalspool {

/** Exit codes of the client. */
enum exit_code : int
{
    exit_success = 0, ///< Done.
    exit_failed = 1, ///< No answer, or the daemon could not do it.
    exit_usage = 2, ///< Wrong arguments or a bad file.
    exit_refused = 3, ///< Refused by the rules, or by a conflict.
    exit_pending = 4, ///< Not yet in force everywhere, or waits for approval.
    exit_unknown = 5, ///< It may or may not have been done.
};

/** Options of the command line. */
struct client_options
{
    endpoint daemon; ///< Admin port of any daemon.
    bool json = false; ///< Whether to print JSON.
    bool wait = false; ///< Whether apply waits until all daemons have the change.
    bool dryRun = false; ///< Whether apply only shows the difference.
    bool yes = false; ///< Whether to change without asking.
    std::string operatorName; ///< Operator.
    std::string key; ///< His key.
    std::string reason; ///< Why he changes something.
    std::vector<std::string> arguments; ///< The command and its arguments.
};

/** Answer of a daemon. */
struct daemon_response
{
    unsigned status = 0; ///< Status code.
    nlohmann::json body; ///< Body.
};

/**
 * Asks a daemon's admin port.
 * @param at Admin port.
 * @param method Method.
 * @param path Path.
 * @param body JSON body; null for none.
 * @param why Receives the reason if there is no answer.
 * @return The answer, or nothing.
 */
std::optional<daemon_response> requestDaemon(const endpoint &address, const std::string &method,
                                             const std::string &path, const nlohmann::json &body, last_reason &why);

/**
 * Prints the chain of log lines of one request.
 * @param id Id of the request.
 * @param files Logs of the daemons; standard input if there are none.
 * @return Exit code: 1 if no line names the request, 2 if a file can't be read.
 */
int explainRequest(const std::string &id, const std::vector<std::string> &files);

/**
 * Runs the command that the words name.
 * @param options Options.
 * @return Exit code.
 */
int runCommand(const client_options &options);

} // namespace quetzalspool

#endif // CLIENT_TYPE_H
