/** @file allowed_regions_func.h Regions that routes allow: for choosing targets and for placing slots. */
#ifndef ALLOWED_REGIONS_FUNC_H
#define ALLOWED_REGIONS_FUNC_H

#include "allowed_regions_base.h"
#include "routing_base.h"

#include <string_view>

namespace quetzalspool {

/**
 * Combines restrictions: a region is allowed if both allow it.
 * @param allowed Restriction so far.
 * @param named Regions that a row names; empty for all regions.
 * @return Both restrictions.
 */
allowed_regions intersectRegions(const allowed_regions &allowed, const std::vector<region_id> &named);

/**
 * Checks whether a target may serve requests.
 * @param allowed Allowed regions.
 * @param region Region of the target.
 * @return Whether it is allowed.
 */
bool allowsRegion(const allowed_regions &allowed, const region_id &region);

/**
 * Looks up the regions that the present route of a request allows.
 * @param view Current view.
 * @param host Host of the request.
 * @param path Path of the request.
 * @param onArrival Regions that its route named when it arrived; used if the view has no route for it any more.
 * @return Allowed regions.
 */
allowed_regions findAllowedRegions(const routing_view &view, std::string_view host, std::string_view path,
                                   const std::vector<region_id> &onArrival);

/**
 * Determines the regions whose targets should keep capacity for requests that are restricted to them: those that any
 * route to a pool names. Requests of the pool's other routes leave them while targets elsewhere have capacity.
 * @param routes Routes.
 * @return Regions by pool; pools without a restricted route are absent.
 */
reserved_regions findReservedRegions(const std::vector<route_row> &routes);

/**
 * Determines the regions in which the slots of each keyed pool are placed: those that all routes to the pool allow. If
 * the routes contradict each other, placement is not restricted.
 * @param rows Tables.
 * @return Regions by pool; pools without a restriction are absent.
 */
placement_regions findPlacementRegions(const tables_snapshot &rows);

} // namespace quetzalspool

#endif // ALLOWED_REGIONS_FUNC_H
