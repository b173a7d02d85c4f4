/** @file routing_base.h What traffic threads need to route a request. Immutable once published. */
#ifndef ROUTING_BASE_H
#define ROUTING_BASE_H

#include "record_base.h"
#include "snapshot_type.h"

#include <memory>
#include <unordered_map>

namespace quetzalspool {

/** One slot's owner within a cell view. */
struct owner_entry
{
    std::int32_t memberIndex = -1; ///< Index into the cell view's members; -1 if nobody owns it.
    fence_number fence; ///< Fence of the assignment.
};

/** A run of slots of one pool that one cell holds. */
struct slot_run
{
    std::uint32_t first = 0; ///< First slot.
    std::vector<owner_entry> owners; ///< Owners from there on.
};

/** One cell's record in the form that lookups use. */
struct cell_view
{
    cell_id id; ///< Cell.
    revision_number revision; ///< Revision of its record.
    std::vector<cell_member> members; ///< Members.
    std::vector<instance_id> voters; ///< Names of its voters.
    std::map<pool_id, slot_run> pools; ///< Slots by pool.
};

/** One pool and the cells that hold its slots. */
struct pool_view
{
    pool_row row; ///< Row.
    std::vector<std::uint32_t> homeEnds; ///< For each home, the first slot after its run.
};

/** Tables that came whole from elsewhere, with an index of their routes. */
struct route_table
{
    tables_snapshot rows; ///< The rows.
    std::unordered_map<std::string, std::uint32_t> byHostAndPrefix; ///< Index of a route by host, a blank, and prefix.
};

/** Everything needed to route. */
struct routing_view
{
    std::vector<route_row> routes; ///< Longest prefix first.
    std::map<pool_id, pool_view> pools; ///< By name.
    std::map<cell_id, std::shared_ptr<const cell_view>> cells; ///< By name.
    rules_row rules; ///< The customer's rules for changes.
    revision_number tablesRevision; ///< Highest revision of a row.
    std::shared_ptr<const route_table> table; ///< Routes that came whole from elsewhere; null if they are rows here.
};

/** Who owns a slot. */
struct slot_owner
{
    const cell_member *member = nullptr; ///< Owner; lives as long as the view.
    fence_number fence; ///< Fence of the assignment.
    revision_number revision; ///< Revision of the record that says so.
};

} // namespace quetzalspool

#endif // ROUTING_BASE_H
