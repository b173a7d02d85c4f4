/** @file allowed_regions_base.h Regions whose targets may serve requests. */
#ifndef ALLOWED_REGIONS_BASE_H
#define ALLOWED_REGIONS_BASE_H

#include "base_type.h"

#include <map>
#include <vector>

namespace quetzalspool {

/** Regions that requests are restricted to. */
struct allowed_regions
{
    bool restricted = false; ///< Whether only the listed regions are allowed; otherwise all are.
    std::vector<region_id> regions; ///< Allowed regions, if restricted; empty if restrictions contradict each other.

    bool operator==(const allowed_regions &) const = default;
};

/** Regions in which the slots of keyed pools are placed; a pool without an entry is not restricted. */
using placement_regions = std::map<pool_id, allowed_regions>;

/** Regions that restricted routes name, by pool; a pool without an entry has no restricted route. */
using reserved_regions = std::map<pool_id, std::vector<region_id>>;

} // namespace quetzalspool

#endif // ALLOWED_REGIONS_BASE_H
