/** @file roster_base.h What one daemon holds of the roster of nodes and of the owners of keys. */
#ifndef ROSTER_BASE_H
#define ROSTER_BASE_H

#include "roster_type.h"

#include <set>

namespace quetzalspool {

/** What is known of one node's entry. */
struct known_node
{
    std::optional<roster_node> node; ///< The entry as last known; stays for a while after it vanished.
    bool present = false; ///< Whether the entry is in the store, as far as known.
    revision_number marker; ///< Revision of the node's durable marker; changes with each entry it writes.
    steady_time absentSince{}; ///< When the entry was first known to be missing.
};

/** A record of owners with its revision in the store. */
struct stored_ownership
{
    ownership_record record; ///< Owners.
    revision_number revision; ///< Revision of the value; 0 if there is none.
};

/** The own lease: the right to grant keys to the target beside this daemon. */
struct roster_lease
{
    bool entryPresent = false; ///< Whether the own entry is in the store, as far as known.
    bool entryCallPending = false; ///< Whether a call about the entry is under way.
    bool ownersKnown = false; ///< Whether the owners were read since the entry was last found missing. Others may have
                              ///< taken slots while it was.
    bool ownersReadPending = false; ///< Whether that read is under way.
    steady_time nextOwnersRead{}; ///< No such read before this moment, after a failure.
    steady_time entryPresentSince{}; ///< When the entry was last known to be there after it had been missing.
    roster_node writtenEntry; ///< The entry as last written.
    steady_time validUntil{}; ///< No grant runs beyond this moment.
    steady_time nextConfirm{}; ///< When to confirm the entry next.
    steady_time nextEntryWrite{}; ///< No write of the entry before this moment, after a failure.
    steady_time nextRenewal{}; ///< When to renew the store lease next.
    bool renewsOften = false; ///< Whether renewals also show other daemons that the store is reached.
};

/** What is known of the target beside this daemon. */
struct target_state
{
    target_incarnation incarnation; ///< Its present life; empty id before the first report.
    std::uint64_t sequence = 0; ///< Greatest sequence number seen of this life.
    bool leaving = false; ///< Whether it wants no new work.
    bool left = false; ///< Whether it said that it ends.
    steady_time lastReportAt{}; ///< Its last report.
    steady_time grantsEndAt{}; ///< No grant that this daemon or its run before gave lasts longer.
    steady_time servesUntil{}; ///< It surely serves what it was granted until then.
    std::vector<slot_range> granted; ///< What the answer to its last report let it hold.
    steady_time coldUntil{}; ///< It works slowly until then.
    std::vector<reported_range> heldRanges; ///< What it last said it holds.
    std::vector<reported_range> releasedRanges; ///< Tokens for slots that it gave back.
    std::map<std::pair<pool_id, std::uint32_t>, std::uint64_t> revokedAt; ///< For runs not granted any more, by first
                                                                          ///< slot: the report answered without them.
};

/** Load of each slot of one pool and how fast its targets work, as far as learnt. */
struct pool_load
{
    std::vector<double> slots; ///< Smoothed requests a second, by slot.
    std::map<instance_id, double> speed; ///< Requests that one slot of a daemon's target finishes in a second.
    steady_time decayedAt{}; ///< When the loads were last aged.
    double weight = 0; ///< Part of the final weight that the time of learning has reached; divides the loads.
};

/** One daemon's view of the roster. */
struct roster_state
{
    roster_timing timing; ///< Intervals.
    roster_node self; ///< This daemon as it wants to be listed.
    steady_time startedAt{}; ///< Start of the process.
    bool listed = false; ///< Whether all entries and records were read once.
    std::map<instance_id, known_node> nodes; ///< All nodes, this one too.
    std::map<pool_id, stored_ownership> records; ///< Owners by pool.
    std::set<pool_id> keyedPools; ///< Pools divided by numeric keys, from the tables.
    roster_lease lease; ///< Own lease.
    target_state target; ///< Target beside this daemon.
    std::map<pool_id, std::vector<slot_range>> withheld; ///< Runs given away by a write whose outcome is not known yet.
    std::set<pool_id> unclearWrites; ///< Pools with a write under the present revision that got no answer.
    std::map<pool_id, pool_load> loads; ///< Learnt loads.
    bool stopping = false; ///< Whether this daemon is to end.
    bool ownersWritePending = false; ///< Whether a write of owners is under way.
    steady_time nextOwnersWrite{}; ///< No write before this moment, after a conflict or failure.
    steady_time nodesChanged{}; ///< Last change of the set of nodes.
    steady_time nextBalance{}; ///< When planned moves are considered next.
    bool dirty = true; ///< Whether views for traffic have to be made anew.
};

/** Write or rewrite the own entry and marker. */
struct write_entry_action
{
    roster_node entry; ///< The entry.
    revision_number marker; ///< Revision that the own marker must have; 0 if there must be none.
    bool present = false; ///< Whether the entry must still be there, under that revision too.
};

/** Read the owners of all pools: others may have taken slots while the own entry was missing. */
struct read_owners_action
{ };

/** Read the own entry. */
struct confirm_entry_action
{ };

/** Renew the store lease under the own entry. */
struct renew_lease_action
{ };

/** An entry that must be missing still for a write to be made. */
struct absent_node
{
    instance_id node; ///< Whose entry.
    revision_number marker; ///< Revision that its marker must still have.
};

/** Write the owners of a pool if nothing that the decision rests on has changed. */
struct write_owners_action
{
    ownership_record record; ///< New owners.
    revision_number expected; ///< Revision of the present value; 0 if there must be none.
    revision_number marker; ///< Revision of the own marker: a write of an earlier run must fail.
    std::vector<absent_node> absent; ///< Nodes that lose their slots because they are gone.
};

using roster_action =
    std::variant<write_entry_action, read_owners_action, confirm_entry_action, renew_lease_action, write_owners_action>;
using roster_actions = std::vector<roster_action>;

/** How a conditional write ended. */
enum class roster_outcome
{
    stored, ///< Acknowledged.
    conflicted, ///< A condition did not hold.
    unclear, ///< No answer: it may be stored, now or later.
};

} // namespace quetzalspool

#endif // ROSTER_BASE_H
