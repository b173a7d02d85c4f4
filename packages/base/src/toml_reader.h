/** @file toml_reader.h Validated reading of TOML tables; errors name the file and the line. */
#ifndef TOML_READER_H
#define TOML_READER_H

#include "base_type.h"

#include <set>
#include <toml++/toml.h>
#include <vector>

namespace quetzalspool {

/**
 * Parses TOML text.
 * @param text TOML text.
 * @param file Name of the file, for error messages.
 * @param why Receives the reason with file and line.
 * @return The table, or nothing if the text is not valid TOML.
 */
inline std::optional<toml::table> parseToml(std::string_view text, const std::string &file, last_reason &why)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        return failed(why, "read", file + ":" + std::to_string(error.source().begin.line),
                      std::string(error.description()));
    }
}

/** Reads the members of a TOML table and records the first error. */
struct toml_reader
{
    const toml::table &table; ///< Table being read.
    std::string file; ///< Name of the file, for error messages.
    last_reason &why; ///< Receives the first error.
    bool good = true; ///< Whether no error was found so far.
    std::set<std::string> known; ///< Names of the members read so far.
};

/**
 * Records an error, unless one was recorded before.
 * @param reader Reader.
 * @param at Position in the file.
 * @param text Error message.
 */
inline void refuse(toml_reader &reader, const toml::source_region &at, const std::string &text)
{
    if (reader.good) {
        reader.good = false;
        failed(reader.why, "check", reader.file + ":" + std::to_string(at.begin.line), text);
    }
}

/**
 * Reads a member of a given type.
 * @param reader Reader.
 * @param name Name of the member.
 * @param expected Description of the type, for error messages.
 * @param fallback Value returned if the member is absent or has another type.
 * @param required Whether an absent member is an error.
 * @return The value.
 */
template <typename Value>
Value readMember(toml_reader &reader, const std::string &name, const char *expected, Value fallback, bool required)
{
    reader.known.insert(name);
    const auto *node = reader.table.get(name);
    if (node == nullptr) {
        if (required) {
            refuse(reader, reader.table.source(), "\"" + name + "\" is required: " + expected);
        }
        return fallback;
    }
    const auto value = node->value_exact<Value>();
    if (!value) {
        refuse(reader, node->source(), "\"" + name + "\" must be " + expected);
        return fallback;
    }
    return *value;
}

/**
 * Reads a string.
 * @param reader Reader.
 * @param name Name of the member.
 * @param fallback Value if absent; no value if the member is required.
 * @return The value.
 */
inline std::string readString(toml_reader &reader, const std::string &name,
                              const std::optional<std::string> &fallback = {})
{
    return readMember<std::string>(reader, name, "a string", fallback.value_or(""), !fallback.has_value());
}

/**
 * Reads a boolean.
 * @param reader Reader.
 * @param name Name of the member.
 * @param fallback Value if absent.
 * @return The value.
 */
inline bool readBool(toml_reader &reader, const std::string &name, bool fallback)
{
    return readMember<bool>(reader, name, "true or false", fallback, false);
}

/**
 * Reads an integer within bounds.
 * @param reader Reader.
 * @param name Name of the member.
 * @param minimum Smallest value allowed.
 * @param maximum Largest value allowed.
 * @param fallback Value if absent; no value if the member is required.
 * @return The value; the minimum if it is out of bounds.
 */
inline std::int64_t readNumber(toml_reader &reader, const std::string &name, std::int64_t minimum, std::int64_t maximum,
                               std::optional<std::int64_t> fallback = {})
{
    const auto range = std::to_string(minimum) + " to " + std::to_string(maximum);
    const auto value = readMember<std::int64_t>(reader, name, ("a whole number from " + range).c_str(),
                                                fallback.value_or(minimum), !fallback.has_value());
    if (value < minimum || value > maximum) {
        refuse(reader, reader.table.get(name) == nullptr ? reader.table.source() : reader.table.get(name)->source(),
               "\"" + name + "\" must be from " + range);
        return minimum;
    }
    return value;
}

/**
 * Reads an array of strings.
 * @param reader Reader.
 * @param name Name of the member.
 * @param fallback Value if absent.
 * @return The value.
 */
inline std::vector<std::string> readStrings(toml_reader &reader, const std::string &name,
                                            std::vector<std::string> fallback = {})
{
    reader.known.insert(name);
    const auto *node = reader.table.get(name);
    if (node == nullptr) {
        return fallback;
    }
    std::vector<std::string> values;
    const auto *list = node->as_array();
    for (std::size_t index = 0; list != nullptr && index < list->size(); ++index) {
        if (const auto value = (*list)[index].value_exact<std::string>()) {
            values.push_back(*value);
        }
    }
    if (list == nullptr || values.size() != list->size()) {
        refuse(reader, node->source(), "\"" + name + "\" must be a list of strings");
    }
    return values;
}

/**
 * Records an error for members that were never read, such as misspelled names.
 * @param reader Reader; all known members must have been read.
 */
inline void refuseUnknown(toml_reader &reader)
{
    for (const auto &[name, node] : reader.table) {
        if (!reader.known.contains(std::string(name.str()))) {
            refuse(reader, name.source(), "unknown key \"" + std::string(name.str()) + "\"");
        }
    }
}

} // namespace quetzalspool

#endif // TOML_READER_H
