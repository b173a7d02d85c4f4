/** @file value_delta_func.h Compression of a value as its difference from an earlier one. */
#ifndef VALUE_DELTA_FUNC_H
#define VALUE_DELTA_FUNC_H

#include <optional>
#include <string>
#include <string_view>

namespace quetzalspool {

constexpr std::size_t maxPackedBytes = 4U << 20U; ///< Larger values are not restored, since the bytes may be malformed.

/**
 * Compresses a value. Parts that it shares with the base take next to no bytes.
 * @param value Value.
 * @param base Value that the receiver has; empty if there is none.
 * @return Compressed bytes, with a checksum of the value; empty if compression fails.
 */
std::string packValue(std::string_view value, std::string_view base);

/**
 * Restores a value.
 * @param bytes Compressed bytes.
 * @param base Value with which it was compressed.
 * @return The value, or nothing if the bytes are malformed, the base is another one or the value is too large.
 */
std::optional<std::string> unpackValue(std::string_view bytes, std::string_view base);

} // namespace quetzalspool

#endif // VALUE_DELTA_FUNC_H
