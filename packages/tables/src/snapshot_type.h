/** @file snapshot_type.h All rows of the tables at one version, for deployments whose tables come from elsewhere. */
#ifndef SNAPSHOT_TYPE_H
#define SNAPSHOT_TYPE_H

#include "row_type.h"

namespace quetzalspool {

/** What a caller may send, and how long it may take. */
struct caller_limits
{
    std::uint32_t headerBytes = 16 * 1024; ///< Bytes of a request's headers.
    milliseconds headerTime{30000}; ///< Bound on receiving the headers of one request.
    milliseconds idleTime{75000}; ///< A connection without a request is closed after this long.

    bool operator==(const caller_limits &) const = default;
};

/** All rows at one version. */
struct tables_snapshot
{
    std::uint64_t version = 0; ///< Grows with each change.
    std::vector<route_row> routes; ///< Routes.
    std::vector<pool_row> pools; ///< Pools.
    caller_limits limits; ///< Limits of callers.
};

} // namespace quetzalspool

#endif // SNAPSHOT_TYPE_H
