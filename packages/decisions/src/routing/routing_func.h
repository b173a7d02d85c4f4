/** @file routing_func.h Building routing views and lookups in them. */
#ifndef ROUTING_FUNC_H
#define ROUTING_FUNC_H

#include "catalog_base.h"
#include "placement_type.h"
#include "routing_base.h"

#include <string_view>

namespace quetzalspool {

/**
 * Returns a copy of a view with one changed document applied. Unchanged cells and the route table are shared.
 * @param old Current view.
 * @param changed Changed document.
 * @param why Receives the reason if the document is invalid. The caller then keeps the current view.
 * @return The new view, or nothing.
 */
std::optional<routing_view> withDocument(const routing_view &old, const document &changed, last_reason &why);

/**
 * Finds the route of a request.
 * @param view View.
 * @param host Host of the request; routes without a host match any.
 * @param path Path of the request.
 * @return The route with the longest matching prefix, or null.
 */
const route_row *findRoute(const routing_view &view, std::string_view host, std::string_view path);

/**
 * Checks whether a view has any routes.
 * @param view View.
 * @param complete Whether the deployment has complete tables from an external source.
 * @return Whether its tables were received.
 */
bool hasRoutes(const routing_view &view, bool complete);

/**
 * Returns the version of the tables of a view.
 * @param view View.
 * @return Version of complete tables, else the highest revision of any row; 0 before the first.
 */
std::uint64_t tablesVersion(const routing_view &view);

/**
 * Indexes complete tables from an external source.
 * @param rows Rows; every prefix ends with a slash.
 * @return The table.
 */
std::shared_ptr<const route_table> makeRouteTable(tables_snapshot rows);

/**
 * Maps a key to its slot.
 * @param key Key.
 * @param slots Number of slots of the pool, at least 1.
 * @return XXH3 hash of the key modulo the number of slots.
 */
slot_number hashToSlot(std::string_view key, std::uint32_t slots);

/**
 * Maps a key of a pool to its slot.
 * @param key Key.
 * @param pool Pool, whose keys are numbers or are hashed.
 * @return Slot, or nothing if the key of a numeric pool is not a valid number.
 */
std::optional<slot_number> findSlot(std::string_view key, const pool_row &pool);

/**
 * Finds the owner of a slot.
 * @param view View.
 * @param pool Pool.
 * @param slot Slot.
 * @return The owner, or nothing if none is known.
 */
std::optional<slot_owner> findOwner(const routing_view &view, const pool_id &pool, slot_number slot);

/**
 * Checks whether a slot has another owner than the one that an attempt was sent to.
 * @param view View.
 * @param pool Pool.
 * @param slot Slot.
 * @param tried Fence of that attempt; 0 if no owner was known.
 * @return Whether an owner is known and the slot was assigned to it under another fence.
 */
bool namesOtherOwner(const routing_view &view, const pool_id &pool, slot_number slot, fence_number tried);

/**
 * Lists the members whose target belongs to a pool.
 * @param view View.
 * @param pool Pool.
 * @return Members; valid as long as the view.
 */
std::vector<const cell_member *> membersOf(const routing_view &view, const pool_id &pool);

/**
 * Chooses a daemon of another region as voter of a cell. Rendezvous hashing (Thaler and Ravishankar, 1998) spreads the
 * choices of many cells. Daemons that are not voters of their own cell are preferred.
 * @param view View.
 * @param cell Cell.
 * @param region Region of the cell.
 * @return The daemon, or null if no other region has any; valid as long as the view.
 */
const cell_member *chooseExternalVoter(const routing_view &view, const cell_id &cell, const region_id &region);

/**
 * Checks whether the coordinator of a cell watches the store. Only the first few cells of each region by name do.
 * @param view View.
 * @param cell Cell.
 * @param region Region of the cell.
 * @return True if it does.
 */
bool coordinatorWatchesStore(const routing_view &view, const cell_id &cell, const region_id &region);

/**
 * Lists the slots that belong to a cell, with the rules for placing them.
 * @param view View.
 * @param cell Cell.
 * @return Slots and placement rules by pool.
 */
std::map<pool_id, std::pair<std::vector<slot_number>, placement_rules>> plansOf(const routing_view &view,
                                                                                const cell_id &cell);

} // namespace quetzalspool

#endif // ROUTING_FUNC_H
