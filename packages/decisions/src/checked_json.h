/** @file checked_json.h Reading JSON from outside: limited nesting, numbers within the range of their type. */
#ifndef CHECKED_JSON_H
#define CHECKED_JSON_H

#include <cmath>
#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace quetzalspool {

/** Levels of arrays and objects that a value from outside may have. Copying, comparing and writing a value recurse. */
constexpr int maxNesting = 32;

/** What happens to parts of a value that are nested too deeply. */
enum class deep_parts
{
    refused, ///< The whole value is refused.
    dropped, ///< They are left out, so that the others can be read.
};

/**
 * Parses JSON text.
 * @param text Text.
 * @param deep What happens to parts that are nested too deeply.
 * @return Value; throws std::exception, with a short reason, if the text is malformed or refused.
 */
nlohmann::json parseJson(std::string_view text, deep_parts deep = deep_parts::refused);

/**
 * Parses MessagePack.
 * @param bytes Encoded bytes.
 * @return Value; throws std::exception, with a short reason, if the bytes are malformed or nested too deeply.
 */
nlohmann::json parseMessagePack(std::string_view bytes);

/**
 * Converts a number to an integer type.
 * @param value Number.
 * @return The same number, or nothing if the type does not contain it.
 */
template <std::integral To, std::integral From>
std::optional<To> narrow(From value)
{
    return std::in_range<To>(value) ? std::optional(static_cast<To>(value)) : std::nullopt;
}

/** Same for a floating-point number, which must be a whole one. */
template <std::integral To>
std::optional<To> narrow(double value)
{
    // All whole numbers up to here are exact.
    constexpr double limit = 9007199254740992;
    const bool whole = std::abs(value) <= limit && std::trunc(value) == value;
    return whole ? narrow<To>(static_cast<std::int64_t>(value)) : std::nullopt;
}

/**
 * Reads an integer from JSON.
 * @param from JSON value.
 * @param least Least value that is allowed.
 * @param most Greatest value that is allowed.
 * @return Number; throws std::out_of_range, with the value, if it is not a number in that range.
 */
template <std::integral Number>
Number readNumber(const nlohmann::json &from, Number least = std::numeric_limits<Number>::min(),
                  Number most = std::numeric_limits<Number>::max())
{
    std::optional<Number> number;
    if (from.is_number_unsigned()) {
        number = narrow<Number>(from.get<std::uint64_t>());
    } else if (from.is_number_integer()) {
        number = narrow<Number>(from.get<std::int64_t>());
    } else if (from.is_number_float()) {
        number = narrow<Number>(from.get<double>());
    }
    if (!number || *number < least || *number > most) {
        throw std::out_of_range((from.is_number() ? from.dump() : std::string(from.type_name()))
                                + " is not a number from " + std::to_string(least) + " to " + std::to_string(most));
    }
    return *number;
}

/**
 * Returns the list in a field of a JSON object.
 * @param from JSON object.
 * @param name Name of the field.
 * @return List; throws std::exception if there is no such field or it is no list.
 */
const nlohmann::json &readList(const nlohmann::json &from, const char *name);

/** Same, but an empty list if there is no such field. */
const nlohmann::json &readListOr(const nlohmann::json &from, const char *name);

/**
 * Reads an integer that a JSON object may lack.
 * @param from JSON object.
 * @param name Name of the field.
 * @param absent Number if there is no such field.
 * @return Number; throws std::out_of_range if the field is not a number in the range of the type.
 */
template <std::integral Number>
Number readNumberOr(const nlohmann::json &from, const char *name, Number absent)
{
    const auto found = from.find(name);
    return found == from.end() ? absent : readNumber<Number>(*found);
}

} // namespace quetzalspool

#endif // CHECKED_JSON_H
