/**
 * @file header_history.h Decides which headers enter the dynamic table of HPACK. Internal to the package.
 *
 * nghttp2 puts almost every header into the table. The table holds 4096 bytes, oldest entries first out: values that
 * differ in each request (ids, keys, times left) would push out those that are the same in each, which then have to be
 * sent in full again.
 */
#ifndef HEADER_HISTORY_H
#define HEADER_HISTORY_H

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace quetzalspool {

/** A header name sent on a session. */
struct known_header
{
    std::uint32_t name = 0; ///< Hash of the name.
    std::uint32_t lastValue = 0; ///< Hash of the value last sent.
    std::uint32_t newValues = 0; ///< Values in a row that had not been sent before.
};

/** What was sent on a session in one direction. */
struct header_history
{
    std::vector<known_header> names; ///< Names, at most maxKnownHeaders.
    std::size_t nextReplaced = 0; ///< Position of the name that is replaced next once there are that many.
    std::array<std::uint32_t, 64> pairs{}; ///< Hashes of names and values that were sent, by hash.
};

constexpr std::size_t maxKnownHeaders = 64; ///< Most names kept for a session.

/**
 * Decides whether a header goes into the dynamic table, and records it. The first values of a name do, so that the name
 * is in the table, and so does a value that was sent before. After 16 new values in a row, values are no longer
 * recorded, so that only one equal to the previous one is recognized. Others are sent as a literal with the name's
 * index.
 * @param history What was sent before.
 * @param name Name.
 * @param value Value.
 * @return Whether it goes into the table.
 */
bool shouldIndex(header_history &history, std::string_view name, std::string_view value);

} // namespace quetzalspool

#endif // HEADER_HISTORY_H
