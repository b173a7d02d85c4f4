/** @file stated_load.cpp Parsing of the load that a target states in its responses. */
#include "stated_load.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace quetzalspool {

namespace {

constexpr std::size_t minStatedFields = 3; ///< Least number of fields of a stated load.
constexpr std::size_t maxStatedFields = 4; ///< Largest number of fields of a stated load.
constexpr std::uint32_t maxStatedCount = 1000000; ///< A larger number in a stated load is not believed.

bool isSeparator(char character)
{
    return character == ',' || character == ' ' || character == ';';
}

} // namespace

std::optional<stated_load> parseStatedLoad(std::string_view text)
{
    std::array<std::uint32_t, maxStatedFields> fields{};
    std::size_t count = 0;
    const auto *at = text.data();
    const auto *const end = text.data() + text.size();
    while (at != end) {
        if (count == maxStatedFields) {
            return std::nullopt;
        }
        const auto [next, error] = std::from_chars(at, end, fields.at(count));
        if (error != std::errc() || fields.at(count) > maxStatedCount || (next != end && !isSeparator(*next))) {
            return std::nullopt;
        }
        ++count;
        at = std::find_if_not(next, end, isSeparator);
    }
    if (count < minStatedFields || fields[2] == 0 || (count == maxStatedFields && fields[3] == 0)) {
        return std::nullopt;
    }
    stated_load stated{fields[0], fields[1], fields[2], std::nullopt};
    if (count == maxStatedFields) {
        stated.workPercent = fields[3];
    }
    return stated;
}

} // namespace quetzalspool
