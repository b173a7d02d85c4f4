/** @file roster_func.h Decisions of ownership by leases of the store: state, event and present time in, actions out. */
#ifndef ROSTER_FUNC_H
#define ROSTER_FUNC_H

#include "message_type.h"
#include "roster_base.h"

#include <string_view>

namespace quetzalspool {

/**
 * Starts a daemon's view.
 * @param self The daemon as it wants to be listed.
 * @param timing Intervals.
 * @param now Start of the process.
 * @return The state. Until an earlier run's grants are surely over, no slot is taken from the target.
 */
roster_state startRoster(roster_node self, const roster_timing &timing, steady_time now);

/**
 * Lets time pass.
 * @param state Roster.
 * @param now Present time.
 * @return Calls to the store that are due.
 */
roster_actions tick(roster_state &state, steady_time now);

/**
 * Takes an entry of a node.
 * @param state Roster.
 * @param id Node.
 * @param entry Its entry, or nothing if it is missing from the store.
 * @param revision Revision of the entry; ignored if it is missing.
 * @param now Present time.
 */
void applyEntry(roster_state &state, const instance_id &id, std::optional<roster_node> entry, revision_number revision,
                steady_time now);

/**
 * Takes the durable marker of a node, which changes with each entry that the node writes.
 * @param state Roster.
 * @param id Node.
 * @param revision Revision of the marker.
 */
void applyMarker(roster_state &state, const instance_id &id, revision_number revision);

/**
 * Takes the owners of a pool. An older revision than the known one is ignored.
 * @param state Roster.
 * @param stored Owners with their revision.
 */
void applyOwnership(roster_state &state, const stored_ownership &stored);

/**
 * Takes the end of an enter_action.
 * @param state Roster.
 * @param entry What was to be written.
 * @param outcome How it ended.
 * @param revision Revision of entry and marker, if stored.
 * @param sentAt Moment before it was sent: the right to grant counts from here.
 * @param now Present time.
 */
void completeEntryWrite(roster_state &state, const roster_node &entry, roster_outcome outcome, revision_number revision,
                        steady_time sentAt, steady_time now);

/**
 * Takes the answer to a read of the own entry.
 * @param state Roster.
 * @param found The entry, or nothing if it is missing.
 * @param revision Its revision, which its marker has too.
 * @param sentAt Moment before the read was sent.
 * @param now Present time.
 */
void completeEntryRead(roster_state &state, const std::optional<roster_node> &found, revision_number revision,
                       steady_time sentAt, steady_time now);

/**
 * Takes what another daemon read of the own entry.
 * @param state Roster.
 * @param revision Revision of the entry that the other daemon knows; 0 if it knows none.
 * @param verifiedAt A moment after which the entry was surely still there.
 */
void applyEntryVerification(roster_state &state, revision_number revision, steady_time verifiedAt);

/**
 * Notes that a read of the own entry got no answer.
 * @param state Roster.
 * @param now Present time.
 */
void failEntryRead(roster_state &state, steady_time now);

/**
 * Notes that the store lease under the own entry has ended.
 * @param state Roster.
 * @param now Present time.
 */
void expireEntry(roster_state &state, steady_time now);

/**
 * Takes the end of a read of all owners.
 * @param state Roster, which has taken the owners that were read.
 * @param answered Whether there was an answer.
 * @param sentAt Moment before the read was sent.
 * @param now Present time.
 */
void completeOwnersRead(roster_state &state, bool answered, steady_time sentAt, steady_time now);

/**
 * Tells whether this daemon may grant keys and change owners now.
 * @param state Roster.
 * @param now Present time.
 * @return Whether its entry is there, its right runs, and it knows the owners as they were after it entered.
 */
bool mayGrant(const roster_state &state, steady_time now);

/**
 * Takes the end of an assign_action.
 * @param state Roster.
 * @param record What was to be written.
 * @param outcome How it ended.
 * @param revision Revision, if stored.
 * @param now Present time.
 */
void completeOwnersWrite(roster_state &state, const ownership_record &record, roster_outcome outcome,
                         revision_number revision, steady_time now);

/**
 * Takes a report of the target beside this daemon.
 * @param state Roster.
 * @param report Report.
 * @param now Present time, taken when the report arrived.
 * @return What the target may hold; nothing if the report is of an ended life or out of order, or no right to grant
 *         is left. Then nothing is renewed.
 */
std::optional<target_grant> applyReport(roster_state &state, const target_report &report, steady_time now);

/**
 * Notes that the target said that it ends.
 * @param state Roster.
 * @param id Name of the target.
 * @param now Present time.
 * @return Whether it is the present life.
 */
bool applyLeave(roster_state &state, const std::string &id, steady_time now);

/**
 * Lists the runs that the target beside this daemon may serve now.
 * @param state Roster.
 * @return Runs of the present life that are not on their way to another owner.
 */
std::vector<std::pair<pool_id, slot_range>> grantableRanges(const roster_state &state);

/**
 * Lists those of the served runs that the target has been told of.
 * @param state Roster.
 * @return Runs that requests may be handed over for.
 */
std::vector<std::pair<pool_id, slot_range>> grantedRanges(const roster_state &state);

/**
 * Tells whether a node may get work.
 * @param state Roster.
 * @param seen What is known of it.
 * @param now Present time.
 * @return Whether its entry is there, or was a moment ago.
 */
bool isUsable(const roster_state &state, const known_node &seen, steady_time now);

/**
 * Tells whether this daemon plans for all: the first present node by name.
 * @param state Roster.
 * @return Whether it does. Two at once cost a conflicting write, never safety.
 */
bool isPlanner(const roster_state &state);

/**
 * Works out the next owners of a pool.
 * @param state Roster.
 * @param pool Pool.
 * @param now Present time.
 * @return The write to make, or nothing.
 */
std::optional<write_owners_action> planOwnership(roster_state &state, const pool_id &pool, steady_time now);

/**
 * Gives unowned runs to candidates in blocks of neighbouring slots, each to the one that lacks most by load and speed.
 * @param record Owners; changed.
 * @param candidates Nodes whose target belongs to the pool and wants work.
 * @param load Learnt load, or null.
 * @param fence Fence of the new assignments.
 * @return Whether anything changed.
 */
bool assignUnowned(ownership_record &record, const std::vector<const roster_node *> &candidates, const pool_load *load,
                   fence_number fence);

/**
 * Takes what a daemon says of the load of its slots and the speed of its target.
 * @param state Roster.
 * @param message What it says.
 * @param now Present time.
 */
void applyLoad(roster_state &state, const load_message &message, steady_time now);

/**
 * How long a follower pauses after a change before it watches again, so that changes in quick succession come together
 * and the followers of all nodes keep to a part of what the store serves.
 * @param nodes Nodes that follow.
 * @param readsPerSecond Reading calls a second that the store allows to all of them together.
 * @return Pause.
 */
milliseconds watchPause(std::size_t nodes, std::uint32_t readsPerSecond);

/**
 * Marks runs for planned moves from loaded to idle owners, if that pays.
 * @param record Owners; changed.
 * @param candidates Nodes whose target belongs to the pool and wants work.
 * @param load Learnt load, or null.
 * @return Whether anything changed.
 */
bool planRebalance(ownership_record &record, const std::vector<const roster_node *> &candidates, const pool_load *load);

/**
 * Joins neighbouring runs that differ in nothing but their slots.
 * @param record Owners.
 */
void mergeRanges(ownership_record &record);

/**
 * Finds the run of a slot.
 * @param record Owners.
 * @param slot Slot.
 * @return The run, or null.
 */
const slot_range *findRange(const ownership_record &record, std::uint32_t slot);

/**
 * Formats an entry as JSON.
 * @param node Entry.
 * @return Text.
 */
std::string formatNode(const roster_node &node);

/**
 * Reads an entry.
 * @param text JSON text.
 * @param why Receives the reason.
 * @return The entry, or nothing.
 */
std::optional<roster_node> parseNode(std::string_view text, last_reason &why);

/**
 * Formats owners as JSON.
 * @param record Owners.
 * @return Text.
 */
std::string formatOwnership(const ownership_record &record);

/**
 * Reads owners.
 * @param text JSON text.
 * @param why Receives the reason.
 * @return The owners, or nothing.
 */
std::optional<ownership_record> parseOwnership(std::string_view text, last_reason &why);

} // namespace quetzalspool

#endif // ROSTER_FUNC_H
