/** @file client_output.h Output and encodings shared by the commands of the client. */
#ifndef CLIENT_OUTPUT_H
#define CLIENT_OUTPUT_H

#include "client_type.h"

namespace quetzalspool {

/**
 * Prints why a command failed.
 * @param why Reason.
 * @return exit_failed.
 */
int reportFailure(const last_reason &why);

/**
 * Prints an array of objects as a table.
 * @param rows Array of objects.
 * @param columns Members that are the columns.
 */
void printTable(const nlohmann::json &rows, const std::vector<std::string> &columns);

/**
 * Returns the exit code for a response of a daemon.
 * @param status HTTP status code.
 * @return Exit code, see exit_code.
 */
int exitCodeFor(unsigned status);

/**
 * Percent-encodes the characters that are reserved in a query.
 * @param text Text.
 * @return Encoded text.
 */
std::string percentEncode(const std::string &text);

} // namespace quetzalspool

#endif // CLIENT_OUTPUT_H
