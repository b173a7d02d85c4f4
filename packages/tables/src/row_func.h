/** @file row_func.h Formatting, parsing and validation of rows. */
#ifndef ROW_FUNC_H
#define ROW_FUNC_H

#include "row_type.h"

#include <string_view>

namespace quetzalspool {

constexpr std::string_view domainPrefix = "domains/"; ///< Prefix of the keys of failure domains.

/**
 * Formats a row as JSON, as stored.
 * @param row Row.
 * @return JSON text.
 */
std::string formatRow(const table_row &row);

/**
 * Parses a row from JSON.
 * @param key Key of the row; its prefix determines the type.
 * @param text JSON text.
 * @param why Receives the reason if the text is not a row of this type.
 * @return The row, or nothing.
 */
std::optional<table_row> parseRow(std::string_view key, std::string_view text, last_reason &why);

/**
 * Parses and validates an operator's file with [[route]], [[pool]], [[domain]] and [rules].
 * @param text TOML text.
 * @param file Name of the file, for error messages.
 * @param why Receives the reason for a failure, with file and line.
 * @return The rows, or nothing after a failure.
 */
std::optional<std::vector<keyed_row>> parseTables(std::string_view text, const std::string &file, last_reason &why);

/**
 * Validates one row independently of other rows.
 * @param key Key of the row.
 * @param row Row.
 * @param why Receives the reason if the row is invalid.
 * @return Whether the row is valid.
 */
bool checkRow(const std::string &key, const table_row &row, last_reason &why);

} // namespace quetzalspool

#endif // ROW_FUNC_H
