/** @file routing_func.h Building routing views and looking things up in them. */
#ifndef ROUTING_FUNC_H
#define ROUTING_FUNC_H

#include "catalog_base.h"
#include "placement_type.h"
#include "routing_base.h"

#include <string_view>

namespace quetzalspool {

/**
 * Makes the view that follows from a changed document. Parts that did not change are shared with the old view.
 * @param old Present view.
 * @param changed Document.
 * @param why Receives the reason if the document can't be read; then the last good one stays in force.
 * @return The next view, or nothing.
 */
std::optional<routing_view> withDocument(const routing_view &old, const document &changed, last_reason &why);

/**
 * Finds the route of a path.
 * @param view View.
 * @param host Host that the request names; routes without a host match any.
 * @param path Path of a request.
 * @return The route with the longest matching prefix, or null.
 */
const route_row *findRoute(const routing_view &view, std::string_view host, std::string_view path);

/**
 * Indexes tables that came whole from elsewhere.
 * @param rows Rows; every prefix ends with a slash.
 * @return The table.
 */
std::shared_ptr<const route_table> makeRouteTable(tables_snapshot rows);

/**
 * Maps a key to its slot.
 * @param key Key.
 * @param slots Slots of the pool, at least 1.
 * @return Slot, by XXH3 of the key.
 */
slot_number hashToSlot(std::string_view key, std::uint32_t slots);

/**
 * Maps a key of a pool to its slot.
 * @param key Key.
 * @param pool Pool, which tells whether keys are numbers.
 * @return Slot, or nothing if the key is no number where it has to be one.
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
 * Lists the members whose target belongs to a pool.
 * @param view View.
 * @param pool Pool.
 * @return Members; they live as long as the view.
 */
std::vector<const cell_member *> membersOf(const routing_view &view, const pool_id &pool);

/**
 * Chooses the daemon of another region that may vote in a cell, by rendezvous hashing (Thaler and Ravishankar, 1998),
 * so that many cells spread their choice, among daemons that do not vote in their own cell, if there are any.
 * @param view View.
 * @param cell Cell.
 * @param region Region of the cell.
 * @return The daemon, or null if no other region has any; it lives as long as the view.
 */
const cell_member *chooseExternalVoter(const routing_view &view, const cell_id &cell, const region_id &region);

/**
 * Tells whether the driver of a cell watches the store. Few cells of each region do, the first by name.
 * @param view View.
 * @param cell Cell.
 * @param region Region of the cell.
 * @return Whether it does.
 */
bool coordinatorWatchesStore(const routing_view &view, const cell_id &cell, const region_id &region);

/**
 * Works out what one cell should hold.
 * @param view View.
 * @param cell Cell.
 * @return Slots and rules of placement by pool.
 */
std::map<pool_id, std::pair<std::vector<slot_number>, placement_rules>> plansOf(const routing_view &view,
                                                                                const cell_id &cell);

} // namespace quetzalspool

#endif // ROUTING_FUNC_H
