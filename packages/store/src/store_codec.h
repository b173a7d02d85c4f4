/** @file store_codec.h JSON encoding of the gateway: base64 keys and values, decimal strings for numbers. */
#ifndef STORE_CODEC_H
#define STORE_CODEC_H

#include "store_type.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace quetzalspool {

/**
 * Encodes bytes as base64.
 * @param bytes Bytes.
 * @return Base64 text.
 */
std::string toBase64(std::string_view bytes);

/**
 * Decodes base64.
 * @param text Text.
 * @return Decoded bytes; empty if the text is not base64.
 */
std::string fromBase64(std::string_view text);

/**
 * Computes the exclusive end of the range of keys with a prefix.
 * @param prefix Prefix, not empty.
 * @return The first key after all keys with the prefix.
 */
std::string prefixEnd(std::string prefix);

/**
 * Parses one key-value object.
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
 * Reads a number. The gateway writes 64-bit numbers as strings.
 * @param from JSON object.
 * @param name Name of the member.
 * @return The number; 0 if absent, because the gateway omits zeros.
 */
std::int64_t numberFromJson(const nlohmann::json &from, const char *name);

} // namespace quetzalspool

#endif // STORE_CODEC_H
