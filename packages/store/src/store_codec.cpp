/** @file store_codec.cpp JSON encoding of the gateway. */
#include "store_codec.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace quetzalspool {

std::string toBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                        reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string fromBase64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const auto length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                        reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        return {};
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string prefixEnd(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

std::int64_t numberFromJson(const nlohmann::json &from, const char *name)
{
    const auto found = from.find(name);
    if (found == from.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

stored_value valueFromJson(const nlohmann::json &from)
{
    return {
        fromBase64(from.value("key", "")), fromBase64(from.value("value", "")), {numberFromJson(from, "mod_revision")}};
}

nlohmann::json valueToJson(const stored_value &value)
{
    return {{"key", toBase64(value.key)},
            {"value", toBase64(value.value)},
            {"mod_revision", std::to_string(value.revision.value)}};
}

} // namespace quetzalspool
