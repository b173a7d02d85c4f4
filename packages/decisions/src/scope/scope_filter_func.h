/** @file scope_filter_func.h Which targets may serve a request at all, by region and by drained failure domain. */
#ifndef SCOPE_FILTER_FUNC_H
#define SCOPE_FILTER_FUNC_H

#include "allowed_regions_base.h"
#include "routing_base.h"

#include <set>

namespace quetzalspool {

/** Whether any target may serve a request. */
enum class target_scope
{
    open, ///< Some target may.
    not_allowed, ///< The route allows the region of none.
    drained, ///< All in the allowed regions are in failure domains out of service.
};

/**
 * Decides whether the owner of a slot may serve a request.
 * @param view View that names the owner.
 * @param owner Owner.
 * @param allowed Regions that the route allows.
 * @param now Current time.
 * @return Whether it may; an owner in a drained domain may until the time for handing over slots has passed.
 */
target_scope scopeOfOwner(const routing_view &view, const cell_member &owner, const allowed_regions &allowed,
                          steady_time now);

/**
 * Removes targets outside the allowed regions and those in drained domains.
 * @param view View that the targets belong to.
 * @param allowed Regions that the route allows.
 * @param members Targets of a pool without keys; changed.
 * @return Why none is left; `open` if one is left or there was none before.
 */
target_scope keepInScope(const routing_view &view, const allowed_regions &allowed,
                         std::vector<const cell_member *> &members);

/**
 * Decides whether any target could become the owner of a slot that has none, so that it is worth waiting for.
 * @param view View.
 * @param pool Pool of the slot.
 * @param allowed Regions that the route allows.
 * @return Whether one could; `open` also if nothing restricts the choice.
 */
target_scope scopeOfUnowned(const routing_view &view, const pool_id &pool, const allowed_regions &allowed);

/**
 * Counts the targets that were not tried yet.
 * @param members Targets.
 * @param tried Targets already tried.
 * @return Their number.
 */
std::size_t countUntried(const std::vector<const cell_member *> &members, const std::set<instance_id> &tried);

/**
 * Returns the name of the reason for a refusal.
 * @param scope Why no target may serve a request.
 * @return Its name; empty if one may.
 */
const char *nameOf(target_scope scope);

} // namespace quetzalspool

#endif // SCOPE_FILTER_FUNC_H
