/** @file exchange_base.h What one daemon knows of the telling of changes from daemon to daemon. */
#ifndef EXCHANGE_BASE_H
#define EXCHANGE_BASE_H

#include "base_type.h"

namespace quetzalspool {

/** Asking other daemons for changes, and answering those that ask this one. */
struct exchange_state
{
    steady_time upstreamWatermark{}; ///< Others have told of all changes that were made before this moment.
    steady_time watchWatermark{}; ///< The own watches have told of all changes that were made before this moment.
    std::optional<steady_time> watchedSince; ///< Since when everything followed is watched at the store; nothing if it
                                             ///< is not.
    steady_time lastRequestAt{}; ///< When another daemon last asked this one.
    std::optional<steady_time> verifiedAt; ///< Every entry that is known was there at this moment or later.
    std::uint64_t version = 0; ///< Grows with each change or verification that others may wait for.
};

} // namespace quetzalspool

#endif // EXCHANGE_BASE_H
