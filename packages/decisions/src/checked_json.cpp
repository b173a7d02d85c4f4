/** @file checked_json.cpp Reading JSON from outside: limited nesting, and short reasons. */
#include "checked_json.h"

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr std::size_t maxReasonBytes = 200; ///< The library's reason contains the text that it could not read.
constexpr const char *tooDeep = "nested too deeply";

/** Whether the brackets outside of strings are nested too deeply. Much faster than the parser's own callback. */
bool isNestedTooDeeply(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (inString) {
            at += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxNesting) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return false;
}

/** Accepts each element of a document until one is nested too deeply. */
class nesting_check : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(json::number_integer_t /*value*/) override
    {
        return true;
    }
    bool number_unsigned(json::number_unsigned_t /*value*/) override
    {
        return true;
    }
    bool number_float(json::number_float_t /*value*/, const std::string & /*text*/) override
    {
        return true;
    }
    bool string(std::string & /*value*/) override
    {
        return true;
    }
    bool binary(json::binary_t & /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return ++depth <= maxNesting;
    }
    bool key(std::string & /*value*/) override
    {
        return true;
    }
    bool end_object() override
    {
        --depth;
        return true;
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return ++depth <= maxNesting;
    }
    bool end_array() override
    {
        --depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const json::exception & /*error*/) override
    {
        return false; // The parser itself tells the reason.
    }

    int depth = 0; ///< Levels around the next element.
};

} // namespace

json parseJson(std::string_view text, deep_parts deep)
{
    try {
        if (!isNestedTooDeeply(text)) {
            return json::parse(text);
        }
        if (deep == deep_parts::refused) {
            throw std::length_error(tooDeep);
        }
        return json::parse(
            text, [](int depth, json::parse_event_t /*event*/, json & /*value*/) { return depth < maxNesting; });
    } catch (const json::exception &error) {
        throw std::invalid_argument(std::string(error.what()).substr(0, maxReasonBytes));
    }
}

const json &readList(const json &from, const char *name)
{
    const auto &list = from.at(name);
    if (!list.is_array()) {
        throw std::invalid_argument(std::string(name) + " is no list");
    }
    return list;
}

const json &readListOr(const json &from, const char *name)
{
    static const json none = json::array();
    return from.contains(name) ? readList(from, name) : none;
}

json parseMessagePack(std::string_view bytes)
{
    nesting_check check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack) && check.depth > maxNesting) {
        throw std::length_error(tooDeep);
    }
    try {
        return json::from_msgpack(bytes);
    } catch (const json::exception &error) {
        throw std::invalid_argument(std::string(error.what()).substr(0, maxReasonBytes));
    }
}

} // namespace quetzalspool
