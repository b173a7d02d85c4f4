/**
 * @file store_era.h Revisions that keep their order when the store comes back from an older copy of itself. Such a
 * store gives out revisions again that it gave out before, and names a new era. A revision_number therefore holds the
 * era above the store's own revision: any revision of an era is newer than all of earlier eras. A store that names no
 * era is in era 0, where both numbers are the same.
 */
#ifndef STORE_ERA_H
#define STORE_ERA_H

#include "base_type.h"

namespace quetzalspool {

using era_number = strong_id<struct era_tag, std::int64_t>; ///< How often a store has come back from an older copy.

constexpr int storeRevisionBits = 40; ///< Bits of the store's own revision; the era has those above.
constexpr std::int64_t maxStoreRevision = (std::int64_t{1} << storeRevisionBits) - 1; ///< Highest revision of a store.
constexpr std::int64_t maxEra = (std::int64_t{1} << 22) - 1; ///< Highest era, so that tokens have no sign.

/**
 * Places a revision of the store in an era.
 * @param era Era in which the store named the revision; 0 to maxEra.
 * @param storeRevision The store's own revision; 0 to maxStoreRevision.
 * @return Revision that is newer than all of earlier eras.
 */
constexpr revision_number revisionInEra(era_number era, std::int64_t storeRevision)
{
    return {(era.value << storeRevisionBits) + storeRevision};
}

/**
 * Gets the era of a revision.
 * @param revision Revision.
 * @return Its era.
 */
constexpr era_number eraOf(revision_number revision)
{
    return {revision.value >> storeRevisionBits};
}

/**
 * Gets the store's own revision.
 * @param revision Revision.
 * @return Number by which the store knows it in its era.
 */
constexpr std::int64_t storeRevisionOf(revision_number revision)
{
    return revision.value & maxStoreRevision;
}

/**
 * Gets the era in which a fencing token was assigned. Tokens are made from revisions.
 * @param fence Fencing token.
 * @return Its era.
 */
constexpr era_number eraOf(fence_number fence)
{
    return {static_cast<std::int64_t>(fence.value >> storeRevisionBits)};
}

} // namespace quetzalspool

#endif // STORE_ERA_H
