/** @file snapshot_type.h Complete tables at one version, for deployments that receive their tables from another system.
 */
#ifndef SNAPSHOT_TYPE_H
#define SNAPSHOT_TYPE_H

#include "row_type.h"

namespace quetzalspool {

/** Size and time limits for callers. */
struct caller_limits
{
    std::uint32_t headerBytes = 16 * 1024; ///< Maximum bytes of a request's headers.
    milliseconds headerTime{30000}; ///< Time limit for receiving the headers of one request.
    milliseconds idleTime{75000}; ///< Connections without a request are closed after this time.

    bool operator==(const caller_limits &) const = default;
};

/** Complete tables at one version. */
struct tables_snapshot
{
    std::uint64_t version = 0; ///< Version; increases with every change.
    std::vector<route_row> routes; ///< Routes.
    std::vector<pool_row> pools; ///< Pools.
    caller_limits limits; ///< Limits for callers.
};

} // namespace quetzalspool

#endif // SNAPSHOT_TYPE_H
