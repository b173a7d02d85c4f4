/** @file allowed_regions_cmd.cpp Regions that routes allow: for choosing targets and for placing slots. */
#include "allowed_regions_func.h"

#include "routing_func.h"

#include <algorithm>
#include <set>

namespace quetzalspool {

namespace {

/** Pools that a route sends requests to. A share without weight gets none. */
std::set<pool_id> poolsOf(const route_row &route)
{
    std::set<pool_id> pools;
    for (const auto &share : route.shares) {
        if (share.weight > 0) {
            pools.insert(share.pool);
        }
    }
    if (pools.empty()) {
        pools.insert(route.pool);
    }
    return pools;
}

} // namespace

allowed_regions intersectRegions(const allowed_regions &allowed, const std::vector<region_id> &named)
{
    if (named.empty()) {
        return allowed;
    }
    allowed_regions both{true, {}};
    std::copy_if(named.begin(), named.end(), std::back_inserter(both.regions),
                 [&](const auto &region) { return allowsRegion(allowed, region); });
    return both;
}

bool allowsRegion(const allowed_regions &allowed, const region_id &region)
{
    return !allowed.restricted
        || std::find(allowed.regions.begin(), allowed.regions.end(), region) != allowed.regions.end();
}

allowed_regions findAllowedRegions(const routing_view &view, std::string_view host, std::string_view path,
                                   const std::vector<region_id> &onArrival)
{
    const auto *route = findRoute(view, host, path);
    return intersectRegions({}, route == nullptr ? onArrival : route->regions);
}

reserved_regions findReservedRegions(const std::vector<route_row> &routes)
{
    reserved_regions found;
    for (const auto &route : routes) {
        for (const auto &pool : route.regions.empty() ? std::set<pool_id>() : poolsOf(route)) {
            auto &reserved = found[pool];
            std::copy_if(route.regions.begin(), route.regions.end(), std::back_inserter(reserved),
                         [&](const auto &region) {
                             return std::find(reserved.begin(), reserved.end(), region) == reserved.end();
                         });
        }
    }
    return found;
}

placement_regions findPlacementRegions(const tables_snapshot &rows)
{
    placement_regions found;
    for (const auto &route : rows.routes) {
        if (route.regions.empty()) {
            continue;
        }
        for (const auto &pool : poolsOf(route)) {
            auto &allowed = found[pool];
            allowed = intersectRegions(allowed, route.regions);
        }
    }
    for (const auto &pool : rows.pools) {
        if (!pool.keyed) {
            found.erase(pool.name);
        }
    }
    std::erase_if(found, [](const auto &entry) { return entry.second.regions.empty(); });
    return found;
}

} // namespace quetzalspool
