/** @file exchange_base.h State of the exchange of store changes between daemons. */
#ifndef EXCHANGE_BASE_H
#define EXCHANGE_BASE_H

#include "base_type.h"

#include <map>

namespace quetzalspool {

/**
 * How current this daemon's copy of the store is, and whether other daemons request changes from it. An upstream is a
 * daemon from which changes are requested in place of the store, a follower one that requests them; a watermark is the
 * time before which all changes are known.
 */
struct exchange_state
{
    steady_time upstreamWatermark{}; ///< All changes made before this time were received from upstream daemons.
    steady_time watchWatermark{}; ///< All changes made before this time were received from this daemon's watches.
    std::optional<steady_time> watchedSince; ///< Since when all mirrored prefixes are watched at the store; nothing
                                             ///< while any of them is not.
    steady_time lastRequestAt{}; ///< When another daemon last requested changes.
    std::optional<steady_time> verifiedAt; ///< Every known entry existed at this time or later.
    std::map<endpoint, std::uint64_t> upstreamVersions; ///< Version in the last response of each upstream daemon.
    std::uint64_t version = 0; ///< Incremented with each change or verification that waiting requests may need.
};

} // namespace quetzalspool

#endif // EXCHANGE_BASE_H
