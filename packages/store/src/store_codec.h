/** @file store_codec.h The JSON forms of the gateway: base64 keys and values, decimal strings for numbers. */
#ifndef STORE_CODEC_H
#define STORE_CODEC_H

#include "store_type.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace quetzalspool {

/**
 * Encodes bytes as base64.
 * @param bytes Bytes.
 * @return Text.
 */
std::string toBase64(std::string_view bytes);

/**
 * Decodes base64.
 * @param text Text.
 * @return Bytes; empty if the text is not base64.
 */
std::string fromBase64(std::string_view text);

/**
 * Gives the end of the range of keys with a prefix.
 * @param prefix Prefix, not empty.
 * @return The first key after all keys with the prefix.
 */
std::string prefixEnd(std::string prefix);

/**
 * Reads one key-value object.
 * @param from JSON object.
 * @return The value.
 */
stored_value valueFromJson(const nlohmann::json &from);

/**
 * Formats one key-value object.
 * @param value Value.
 * @return JSON object.
 */
nlohmann::json valueToJson(const stored_value &value);

/**
 * Reads a number that may be a string, as the gateway writes 64-bit numbers.
 * @param from JSON object.
 * @param name Member.
 * @return The number; 0 if absent, as the gateway leaves out zeros.
 */
std::int64_t numberFromJson(const nlohmann::json &from, const char *name);

} // namespace quetzalspool

#endif // STORE_CODEC_H
