/** @file client_output.cpp Output and encodings shared by the commands of the client. */
#include "client_output.h"

#include <algorithm>
#include <iostream>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

/** Formats a JSON value as the text of a table cell. */
std::string cellText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

int reportFailure(const last_reason &why)
{
    std::cerr << "quetzalspool: " << describe(why) << "\n";
    return exit_failed;
}

void printTable(const json &rows, const std::vector<std::string> &columns)
{
    std::vector<std::size_t> widths;
    for (const auto &column : columns) {
        auto width = column.size();
        for (const auto &row : rows) {
            width = std::max(width, cellText(row.value(column, json(""))).size());
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
            std::cout << pad(cellText(row.value(columns[at], json(""))), widths[at]);
        }
        std::cout << "\n";
    }
}

int exitCodeFor(unsigned status)
{
    if (status == 200) {
        return exit_success;
    }
    if (status == 202) {
        return exit_pending;
    }
    if (status == 504) {
        return exit_unknown;
    }
    return status >= 500 ? exit_failed : exit_refused;
}

std::string percentEncode(const std::string &text)
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

} // namespace quetzalspool
