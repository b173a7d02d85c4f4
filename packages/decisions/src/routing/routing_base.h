/** @file routing_base.h Tables that traffic threads use to route requests. Immutable once published. */
#ifndef ROUTING_BASE_H
#define ROUTING_BASE_H

#include "allowed_regions_base.h"
#include "drained_domains_base.h"
#include "record_base.h"
#include "snapshot_type.h"

#include <memory>
#include <unordered_map>

namespace quetzalspool {

/** Owner of one slot in a cell view. */
struct owner_entry
{
    std::int32_t memberIndex = -1; ///< Index into the cell view's members; -1 if the slot has no owner.
    fence_number fence; ///< Fencing token of the assignment.
};

/** Consecutive slots of one pool that belong to one cell. */
struct owner_range
{
    std::uint32_t first = 0; ///< First slot.
    std::vector<owner_entry> owners; ///< Owners of the slots, from the first on.
};

/** A cell record in the form used for lookups. */
struct cell_view
{
    cell_id id; ///< Cell.
    revision_number revision; ///< Revision of the cell record.
    std::vector<cell_member> members; ///< Members.
    std::vector<instance_id> voters; ///< Ids of the voters.
    std::map<pool_id, owner_range> pools; ///< Slots by pool.
};

/** A pool and the cells that its slots belong to. */
struct pool_view
{
    pool_row row; ///< Row of the pool.
    std::vector<std::uint32_t> homeEnds; ///< For each home cell of the row, the first slot after its range.
};

/** Complete tables loaded from an external source, with an index of their routes. */
struct route_table
{
    tables_snapshot rows; ///< The rows.
    std::unordered_map<std::string, std::uint32_t> byHostAndPrefix; ///< Index of a route by host, space, prefix.
    reserved_regions reserved; ///< Regions that restricted routes name.
};

/** Everything that is needed to route a request. */
struct routing_view
{
    std::vector<route_row> routes; ///< Routes, longest prefix first.
    reserved_regions reserved; ///< Regions that restricted routes name.
    std::map<pool_id, pool_view> pools; ///< By name.
    std::map<cell_id, std::shared_ptr<const cell_view>> cells; ///< By name.
    rules_row rules; ///< The customer's rules for changes.
    revision_number tablesRevision; ///< Highest revision of any row.
    std::shared_ptr<const route_table> table; ///< Routes of complete tables; null if the routes above are used.
    drained_domains drained; ///< Failure domains out of service.
};

/** Owner of a slot, as found by a lookup. */
struct slot_owner
{
    const cell_member *member = nullptr; ///< Owner; valid as long as the view.
    fence_number fence; ///< Fencing token of the assignment.
    revision_number revision; ///< Revision of the cell record that lists the owner.
};

} // namespace quetzalspool

#endif // ROUTING_BASE_H
