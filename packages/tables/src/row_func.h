/** @file row_func.h Formatting and reading rows. */
#ifndef ROW_FUNC_H
#define ROW_FUNC_H

#include "row_type.h"

#include <string_view>

namespace quetzalspool {

/**
 * Formats a row as the JSON text kept in the store.
 * @param row Row.
 * @return JSON text.
 */
std::string formatRow(const table_row &row);

/**
 * Reads a row from JSON text.
 * @param key Its key, which tells the kind.
 * @param text JSON text.
 * @param why Receives the reason if the text is no such row.
 * @return The row, or nothing.
 */
std::optional<table_row> parseRow(std::string_view key, std::string_view text, last_reason &why);

/**
 * Reads an operator's file: [[route]], [[pool]] and [rules].
 * @param text TOML text.
 * @param file Name of the file, for reasons.
 * @param why Receives the reason with file and line.
 * @return The rows, or nothing.
 */
std::optional<std::vector<keyed_row>> parseTables(std::string_view text, const std::string &file, last_reason &why);

/**
 * Checks one row by itself.
 * @param key Its key.
 * @param row Row.
 * @param why Receives the reason if it is not allowed.
 * @return Whether it is allowed.
 */
bool checkRow(const std::string &key, const table_row &row, last_reason &why);

} // namespace quetzalspool

#endif // ROW_FUNC_H
