/** @file value_delta.cpp Compression of a value as its difference from an earlier one, by zstd. */
#include "value_delta_func.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace quetzalspool {

namespace {

constexpr int compressionLevel = 3; ///< Level of zstd.
constexpr int minWindowLog = 17; ///< Binary logarithm of the least window in bytes.

/** Window that reaches from the end of the value to the start of the base. */
int windowLogFor(std::string_view value, std::string_view base)
{
    const auto width = static_cast<int>(std::bit_width(value.size() + base.size()));
    return std::max(width, minWindowLog);
}

} // namespace

std::string packValue(std::string_view value, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(value, base));
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string bytes(ZSTD_compressBound(value.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), value.data(), value.size());
    bytes.resize(ZSTD_isError(size) != 0U ? 0 : size);
    return bytes;
}

std::optional<std::string> unpackValue(std::string_view bytes, std::string_view base)
{
    // The size of an unknown or malformed frame is given as a very large number.
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size > maxPackedBytes) {
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string value(size, '\0');
    const auto restored = ZSTD_decompressDCtx(context.get(), value.data(), value.size(), bytes.data(), bytes.size());
    return restored == size ? std::optional(std::move(value)) : std::nullopt;
}

} // namespace quetzalspool
