/** @file roster_func.h Lease-based ownership as pure decisions: state, event and current time in, actions out. */
#ifndef ROSTER_FUNC_H
#define ROSTER_FUNC_H

#include "message_type.h"
#include "roster_moves_func.h"

#include <string_view>

namespace quetzalspool {

/**
 * Creates the initial state of a daemon.
 * @param self Desired content of the daemon's own entry.
 * @param timing Intervals.
 * @param now Start of the process.
 * @return The state. Until the longest possible grant of a previous run has ended, the target keeps its slots unless it
 * reports them released.
 */
roster_state startRoster(roster_node self, const roster_timing &timing, steady_time now);

/**
 * Determines the store calls that are due and marks them as pending.
 * @param state Roster.
 * @param now Current time.
 * @return Calls to the store.
 */
roster_actions tick(roster_state &state, steady_time now);

/**
 * Records the era of the store. A store in a new era has come back from an older copy: the own entry must be written
 * again, and other nodes that are absent may have been present in what the store lost.
 * @param state Roster.
 * @param era Era that was named.
 * @param now Current time.
 * @return Whether the era is newer than the known one.
 */
bool beginEra(roster_state &state, era_number era, steady_time now);

/**
 * Applies the current entry of a node.
 * @param state Roster.
 * @param id Node.
 * @param entry The entry, or nothing if it is absent from the store.
 * @param revision Revision of the entry; ignored if it is absent.
 * @param now Current time.
 */
void applyEntry(roster_state &state, const instance_id &id, std::optional<roster_node> entry, revision_number revision,
                steady_time now);

/**
 * Records that the entry of a node exists but can't be read. The last readable one stays for the lease period, in which
 * a living daemon replaces its entry. The node does not count as absent, so its slots keep their owner.
 * @param state Roster.
 * @param id Node.
 * @param revision Revision of the entry.
 * @param now Current time.
 * @return True if the revision is a new one.
 */
bool applyUnreadableEntry(roster_state &state, const instance_id &id, revision_number revision, steady_time now);

/**
 * Applies the revision of a node's durable marker, which changes with each write of the node's entry.
 * @param state Roster.
 * @param id Node.
 * @param revision Revision of the marker.
 */
void applyMarker(roster_state &state, const instance_id &id, revision_number revision);

/**
 * Applies the owners of a pool. Revisions that are not newer than the known one are ignored.
 * @param state Roster.
 * @param stored Owners with their revision.
 */
void applyOwnership(roster_state &state, const stored_ownership &stored);

/**
 * Records that the owners of a pool can't be read. The last readable ones stay, unless they may be outdated because the
 * own entry was absent since; nothing is written until they can be read again.
 * @param state Roster.
 * @param pool Pool.
 * @param revision Revision of the value.
 * @return True if the revision is a new one.
 */
bool applyUnreadableOwnership(roster_state &state, const pool_id &pool, revision_number revision);

/**
 * Applies the result of a write_entry_action.
 * @param state Roster.
 * @param entry Content of the write.
 * @param outcome Result.
 * @param revision New revision of entry and marker, if stored.
 * @param sentAt Time before the request was sent; the lease counts from here.
 * @param now Current time.
 */
void completeEntryWrite(roster_state &state, const roster_node &entry, roster_outcome outcome, revision_number revision,
                        steady_time sentAt, steady_time now);

/**
 * Applies the result of a confirm_entry_action: extends the lease if the entry is present.
 * @param state Roster.
 * @param found The entry, or nothing if it is absent.
 * @param revision Its revision, which is the marker's too.
 * @param sentAt Time before the request was sent; the lease counts from here.
 * @param now Current time.
 */
void completeEntryRead(roster_state &state, const std::optional<roster_node> &found, revision_number revision,
                       steady_time sentAt, steady_time now);

/**
 * Extends the lease after another daemon has read the own entry.
 * @param state Roster.
 * @param revision Revision of the entry that the other daemon knows; 0 if it knows none.
 * @param verifiedAt Time at or after which the entry was certainly still present.
 */
void applyEntryVerification(roster_state &state, revision_number revision, steady_time verifiedAt);

/**
 * Schedules the next attempt after a read of the own entry got no answer.
 * @param state Roster.
 * @param now Current time.
 */
void failEntryRead(roster_state &state, steady_time now);

/**
 * Marks the own entry as absent, because the store lease under it has ended.
 * @param state Roster.
 * @param now Current time.
 */
void expireEntry(roster_state &state, steady_time now);

/**
 * Applies the result of a read_owners_action.
 * @param state Roster, to which the owners that were read have been applied.
 * @param answered Whether there was an answer.
 * @param sentAt Time before the request was sent.
 * @param now Current time.
 */
void completeOwnersRead(roster_state &state, bool answered, steady_time sentAt, steady_time now);

/**
 * Checks whether this daemon may grant keys and change owners.
 * @param state Roster.
 * @param now Current time.
 * @return Whether its entry is present, its lease is valid, and the owners were read after the entry was written.
 */
bool mayGrant(const roster_state &state, steady_time now);

/**
 * Applies the result of a write_owners_action.
 * @param state Roster.
 * @param record Content of the write.
 * @param outcome Result.
 * @param revision New revision, if stored.
 * @param now Current time.
 */
void completeOwnersWrite(roster_state &state, const ownership_record &record, roster_outcome outcome,
                         revision_number revision, steady_time now);

/**
 * Applies a report of the local target and decides which slots it may hold.
 * @param state Roster.
 * @param report Report.
 * @param now Time at which the report arrived.
 * @return The grant; nothing if the report is from an ended incarnation or out of order, or if too little of the lease
 *         is left. Then no grant is renewed.
 */
std::optional<target_grant> applyReport(roster_state &state, const target_report &report, steady_time now);

/**
 * Records that a response of the current incarnation of the target said that it is leaving. Its reports may still say
 * otherwise: they are sent at intervals and can be late.
 * @param state Roster.
 * @return Whether that was not known.
 */
bool applyLeavingNotice(roster_state &state);

/**
 * Records that an incarnation of the target announced its exit. It holds also for one that is not known yet, as it is
 * after a start of the daemon: a delayed report may come later.
 * @param state Roster.
 * @param left Incarnation; a start of 0 stands for any, for a limited time.
 * @param now Current time.
 * @return Whether it is the current incarnation.
 */
bool applyLeave(roster_state &state, const target_incarnation &left, steady_time now);

/**
 * Formats the own marker: the run of the daemon, and the incarnation of the target if that has announced its exit.
 * @param state Roster.
 * @return Text.
 */
std::string formatMarker(const roster_state &state);

/**
 * Parses the incarnation that announced its exit to an earlier run of the daemon.
 * @param marker Text of the own marker.
 * @return The incarnation, or nothing if the marker names none.
 */
std::optional<target_incarnation> parseDeparture(std::string_view marker);

/**
 * Lists the ranges that may be granted to the local target.
 * @param state Roster.
 * @return Ranges of the current incarnation that are not being moved to another owner.
 */
std::vector<std::pair<pool_id, slot_range>> grantableRanges(const roster_state &state);

/**
 * Lists the ranges that the last grant to the local target contained and that are not transferred to another owner. A
 * range that is to be moved is among them until the answer to the next report of the target omits it.
 * @param state Roster.
 * @return Ranges whose requests may be passed to the target.
 */
std::vector<std::pair<pool_id, slot_range>> grantedRanges(const roster_state &state);

/**
 * Lists the ranges whose requests may be kept until the next grant to the local target.
 * @param state Roster.
 * @param now Current time.
 * @return The grantable ranges; none while no grant can be expected: without a lease, from an unresponsive target, or
 * if the target has to release all slots.
 */
std::vector<std::pair<pool_id, slot_range>> awaitedRanges(const roster_state &state, steady_time now);

/**
 * Checks whether requests may be sent to a node.
 * @param state Roster.
 * @param seen Last known state of its entry.
 * @param now Current time.
 * @return Whether its entry is present, or has been absent for less than the absent limit.
 */
bool isUsable(const roster_state &state, const known_node &seen, steady_time now);

/**
 * Checks whether this daemon is the planner of the whole roster: the first present node by name.
 * @param state Roster.
 * @return Whether it is. Two planners at a time cause conflicting writes, but never two owners of a slot.
 */
bool isPlanner(const roster_state &state);

/**
 * Plans the next owners of a pool.
 * @param state Roster.
 * @param pool Pool.
 * @param now Current time.
 * @return The write to make, or nothing if no change is needed.
 */
std::optional<write_owners_action> planOwnership(roster_state &state, const pool_id &pool, steady_time now);

/**
 * Assigns unowned ranges in blocks of adjacent slots, each to the candidate whose load is furthest below its fair
 * share.
 * @param record Owners; changed.
 * @param candidates Nodes whose target belongs to the pool and accepts slots.
 * @param load Observed load, or null.
 * @param fence Fencing token of the new assignments.
 * @return Whether anything changed.
 */
bool assignUnowned(ownership_record &record, const std::vector<const roster_node *> &candidates, const pool_load *load,
                   fence_number fence);

/**
 * Applies a daemon's message about the load of its slots and the speed of its target.
 * @param state Roster.
 * @param message Load message.
 * @param now Current time.
 */
void applyLoad(roster_state &state, const load_message &message, steady_time now);

/**
 * Computes the pause between a change and the next watch call, so that changes in quick succession are read together
 * and the watches of all nodes use only a small share of the store's capacity.
 * @param nodes Number of nodes that watch the store.
 * @param readsPerSecond Read calls per second that the store allows to all of them together.
 * @return Pause in milliseconds.
 */
milliseconds watchPause(std::size_t nodes, std::uint32_t readsPerSecond);

/**
 * Marks ranges to be moved from overloaded to underloaded owners, where that pays off.
 * @param record Owners; changed.
 * @param candidates Nodes whose target belongs to the pool and accepts slots.
 * @param load Observed load, or null.
 * @param held Slots that were moved recently and are not moved again.
 * @return Whether anything changed.
 */
bool planRebalance(ownership_record &record, const std::vector<const roster_node *> &candidates, const pool_load *load,
                   const held_slots &held = {});

/**
 * Merges adjacent ranges that differ only in their slots.
 * @param record Owners.
 */
void mergeRanges(ownership_record &record);

/**
 * Finds the range that contains a slot.
 * @param record Owners.
 * @param slot Slot.
 * @return The range, or null.
 */
const slot_range *findRange(const ownership_record &record, std::uint32_t slot);

/**
 * Formats an entry as JSON.
 * @param node Entry.
 * @return JSON text.
 */
std::string formatNode(const roster_node &node);

/**
 * Parses an entry.
 * @param text JSON text.
 * @param why Receives the reason of a failure.
 * @return The entry, or nothing.
 */
std::optional<roster_node> parseNode(std::string_view text, last_reason &why);

/**
 * Formats owners as JSON.
 * @param record Owners.
 * @return JSON text.
 */
std::string formatOwnership(const ownership_record &record);

/**
 * Parses owners.
 * @param text JSON text.
 * @param why Receives the reason of a failure.
 * @return The owners, or nothing.
 */
std::optional<ownership_record> parseOwnership(std::string_view text, last_reason &why);

} // namespace quetzalspool

#endif // ROSTER_FUNC_H
