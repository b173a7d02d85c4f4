/** @file roster_base.h State of one daemon's roster: nodes, owners of keys, the own lease and the local target. */
#ifndef ROSTER_BASE_H
#define ROSTER_BASE_H

#include "allowed_regions_base.h"
#include "drained_domains_base.h"
#include "roster_type.h"

#include <set>

namespace quetzalspool {

/** Last known state of a node's entry in the store. */
struct known_node
{
    std::optional<roster_node> node; ///< Last known content; kept for a while after the entry was removed.
    bool present = false; ///< Whether the entry is known to be in the store.
    revision_number marker; ///< Revision of the node's durable marker, which changes with each write of the entry.
    steady_time absentSince{}; ///< When the entry was first known to be absent.
    steady_time unreadableSince{}; ///< Since when the entry in the store can't be read; the earliest time if it can.
    revision_number unreadableRevision; ///< Revision of the last entry that could not be read.
};

/** Owners of a pool and the revision of the value in the store. */
struct stored_ownership
{
    ownership_record record; ///< Owners.
    revision_number revision; ///< Revision of the value; 0 if there is none.
};

/** The daemon's own lease, which entitles it to grant keys to its local target. */
struct roster_lease
{
    bool entryPresent = false; ///< Whether the own entry is known to be in the store.
    bool entryCallPending = false; ///< Whether a read or write of the entry is pending.
    bool ownersKnown = false; ///< Whether the owners were read after the entry was last absent: other nodes may have
                              ///< taken over slots meanwhile.
    bool ownersReadPending = false; ///< Whether that read is pending.
    std::set<pool_id> unreadOwners; ///< Pools whose owners could not be read after the entry was last absent; none of
                                    ///< their slots are granted.
    steady_time nextOwnersRead{}; ///< Earliest time of the next such read, after a failure.
    steady_time entryPresentSince{}; ///< When the entry was first known to be present after its last absence.
    roster_node writtenEntry; ///< Content of the entry as last written or read.
    era_number writtenIn; ///< Era of the store in which this process last wrote the entry. An entry that the store has
                          ///< from a copy is bound to a lease that nobody renews.
    steady_time validUntil{}; ///< Every grant must end before this time.
    steady_time nextConfirm{}; ///< When to read and confirm the entry next.
    steady_time nextEntryWrite{}; ///< Earliest time of the next write of the entry, after a failure.
    steady_time nextRenewal{}; ///< When to renew the store lease next.
    bool renewsOften =
        false; ///< Whether to renew more often, because other daemons rely on this one's connection to the store.
};

/** State of the local target. */
struct target_state
{
    target_incarnation incarnation; ///< Current incarnation; its id is empty before the first report.
    std::uint64_t sequence = 0; ///< Highest sequence number received from this incarnation.
    bool leaving = false; ///< Whether it is leaving and accepts no new work.
    bool left = false; ///< Whether it announced its exit.
    steady_time lastReportAt{}; ///< Time of its last report.
    steady_time grantsEndAt{}; ///< When every grant of this daemon and of its previous run has ended.
    steady_time servesUntil{}; ///< End of the last grant, counted from the arrival of the report. The target counts
                               ///< from before it sent the report, so it may stop slightly earlier.
    std::vector<slot_range> granted; ///< Ranges granted by the answer to its last report.
    steady_time coldUntil{}; ///< End of the reduced performance after a cold start.
    std::vector<reported_range> heldRanges; ///< Slots held according to its last report.
    std::vector<reported_range> releasedRanges; ///< Released slots with their handover tokens.
    std::map<std::pair<pool_id, std::uint32_t>, std::uint64_t>
        revokedAt; ///< Ranges no longer granted, by pool and first slot, with the sequence number of the report whose
                   ///< answer first omitted them.
};

/** A target incarnation that announced its exit to this daemon or to its run before. */
struct departed_target
{
    target_incarnation incarnation; ///< Incarnation; the start is 0 if the announcement did not name it.
    steady_time at{}; ///< When the announcement was heard of.
};

/** Observed load of each slot of one pool and observed speed of its targets. */
struct pool_load
{
    std::vector<double> slots; ///< Exponentially weighted requests per second, by slot; to be divided by `weight`.
    std::map<instance_id, double>
        speed; ///< Requests per second that one concurrency slot of a daemon's target completes.
    std::map<instance_id, double> usualSpeed; ///< The same, following a fall only slowly while the target has more load
                                              ///< than it can take: its speed may fall because of that load.
    steady_time decayedAt{}; ///< When the decay was last applied to the loads.
    double weight = 0; ///< Sum of the weights of the observations so far, up to 1; the loads are divided by it.
    std::map<instance_id, steady_time>
        coldUntil; ///< Targets that are cold according to their entry, until their first load message.
    double coldPerSecond = 0; ///< Requests per second that a cold target takes; 0 for no limit.
};

/** A planned move of slots to another owner. */
struct recent_move
{
    std::uint32_t first = 0; ///< First slot.
    std::uint32_t last = 0; ///< Last slot, inclusive.
    steady_time lastSeen{}; ///< When the move was last known to be in progress.
};

/** What a daemon knows of a pool's owners in an era that the store has lost. */
struct lost_ownership
{
    ownership_record record; ///< Last known owners.
    std::vector<slot_range> entitled; ///< Ranges that the local target was entitled to hold, and has been since.
    std::vector<slot_range> unwritten; ///< Ranges of which the store has older owners.
};

/** One daemon's view of the nodes and owners. */
struct roster_state
{
    roster_timing timing; ///< Intervals.
    roster_node self; ///< Desired content of the own entry.
    steady_time startedAt{}; ///< Start of the process.
    bool placesBySpeed = false; ///< Whether slots are placed by learned speeds.
    bool listed = false; ///< Whether all entries and ownership records have been read once.
    std::map<instance_id, known_node> nodes; ///< All nodes, including this one.
    std::map<pool_id, stored_ownership> records; ///< Owners by pool.
    std::map<pool_id, revision_number> unreadableOwners; ///< Pools whose owners in the store can't be read, with the
                                                         ///< revision; the last readable ones are kept, and no write
                                                         ///< can take effect.
    std::map<pool_id, double> coldRates; ///< Requests per second that a cold target takes, from the tables, by pool.
    std::set<pool_id> keyedPools; ///< Pools partitioned by numeric keys, from the tables.
    placement_regions regions; ///< Regions in which the slots of keyed pools are placed, from the tables.
    drained_domains drained; ///< Failure domains out of service.
    roster_lease lease; ///< Own lease.
    target_state target; ///< Local target.
    std::vector<departed_target> departed; ///< Incarnations that announced their exit, the latest last. A delayed
                                           ///< report of one does not make it usable again.
    std::map<pool_id, std::vector<slot_range>> withheld; ///< Ranges that a write whose outcome is not known yet
                                                         ///< transfers to other owners; they are not granted.
    std::set<pool_id> unclearWrites; ///< Pools with an unanswered write conditional on the current revision.
    std::map<pool_id, pool_load> loads; ///< Observed loads by pool.
    std::map<pool_id, std::vector<recent_move>> recentMoves; ///< Moves of the last seconds by pool, on the planner.
    era_number era; ///< Era of the store.
    bool lostEra = false; ///< Whether the store came back from an older copy in the time of this process.
    steady_time lostGrantsEnd{}; ///< When every grant of earlier eras has ended.
    std::map<pool_id, lost_ownership> lostOwners; ///< Owners in a lost era, until those in the store are confirmed.
    bool stopping = false; ///< Whether this daemon is shutting down.
    bool ownersWritePending = false; ///< Whether a write of owners is pending.
    steady_time nextOwnersWrite{}; ///< Earliest time of the next write of owners, after a conflict or failure.
    steady_time nodesChanged{}; ///< Last change of the set of nodes.
    steady_time nextBalance{}; ///< When to check next whether a rebalance pays off.
    bool dirty = true; ///< Whether the views used for routing must be rebuilt.
};

/** Create or update the own entry and marker. */
struct write_entry_action
{
    roster_node entry; ///< Content of the entry.
    revision_number marker; ///< Required revision of the own marker; 0 if it must not exist.
    bool present = false; ///< Whether the entry must also exist, at the same revision.
};

/** Read the owners of all pools: other nodes may have taken over slots while the own entry was absent. */
struct read_owners_action
{ };

/** Read the own entry to extend the own lease. */
struct confirm_entry_action
{ };

/** Renew the store lease under the own entry. */
struct renew_lease_action
{ };

/** A node whose entry must still be absent for a write to succeed. */
struct absent_node
{
    instance_id node; ///< Node.
    revision_number marker; ///< Required revision of its marker.
};

/** Write the owners of a pool, on the condition that nothing the decision depends on has changed. */
struct write_owners_action
{
    ownership_record record; ///< New owners.
    revision_number expected; ///< Required revision of the current value; 0 if it must not exist.
    revision_number
        marker; ///< Required revision of the own marker, so that a write of a previous run of this daemon fails.
    std::vector<absent_node> absent; ///< Nodes that lose their slots because they are absent.
};

using roster_action =
    std::variant<write_entry_action, read_owners_action, confirm_entry_action, renew_lease_action, write_owners_action>;
using roster_actions = std::vector<roster_action>;

/** Result of a conditional write. */
enum class roster_outcome
{
    stored, ///< The write was acknowledged.
    conflicted, ///< A condition failed; nothing was written.
    unclear, ///< No answer: the write may take effect now, later or never.
};

} // namespace quetzalspool

#endif // ROSTER_BASE_H
