/** @file cell_base.h State that a daemon keeps for one cell, and the actions that its decisions request. */
#ifndef CELL_BASE_H
#define CELL_BASE_H

#include "chart_type.h"
#include "drained_domains_base.h"
#include "lease_base.h"
#include "placement_type.h"
#include "voter_base.h"

#include <set>

namespace quetzalspool {

/** A slot with the fence of one assignment. */
struct fenced_slot
{
    pool_id pool; ///< Pool of the slot.
    slot_number slot; ///< Slot within the pool.
    fence_number fence; ///< Fence of the assignment.

    auto operator<=>(const fenced_slot &) const = default;
};

/** Part of a pool that the tables assign to a cell. */
struct pool_plan
{
    std::vector<slot_number> slots; ///< Slots that belong to the cell.
    placement_rules rules; ///< Placement rules of the pool.
};

/** Progress of the coordinator in ending the terms of one unresponsive member. */
struct term_ending
{
    term_number upTo; ///< Terms up to and including this one are ended.
    chart_state state = 0; ///< State in the reassignment chart.
    std::set<instance_id> refusedBy; ///< Voters that refuse these terms for good.
    steady_time waitUntil{}; ///< When the last promise of these voters to the member expires.
    steady_time nextSend{}; ///< When to send the request again.
};

/** A planned move of a slot that its present owner must release first. */
struct slot_release
{
    instance_id from; ///< Present owner.
    instance_id to; ///< Next owner.
    bool released = false; ///< Whether the owner has released the slot.
    steady_time nextSend{}; ///< When to send the request again.
};

/** Progress of the coordinator in retiring the previous set of voters. */
struct voter_retirement
{
    config_number before; ///< Sets of voters before this one are retired; 0 if no retirement is in progress.
    std::set<instance_id> confirmedBy; ///< Voters that no longer make promises under the retired sets.
    steady_time waitUntil{}; ///< When the last promise under a retired set expires.
    steady_time nextSend{}; ///< When to send the request again.
};

/**
 * State of the daemon as coordinator of reassignments. Being the coordinator confers no rights: two daemons may hold
 * the role at once, and safety rests on the voters' refusals and on the compare-and-swap of the record.
 */
struct coordinator_state
{
    std::map<instance_id, term_ending> endings; ///< Unresponsive members whose terms are being ended.
    std::map<fenced_slot, slot_release> releases; ///< Planned moves in progress.
    voter_retirement retirement; ///< Retirement of the previous set of voters.
    std::map<instance_id, std::pair<incarnation_id, steady_time>> memberSince; ///< Run and when it was first seen.
    steady_time membersChanged{}; ///< Last change of the list of members, their runs or pools.
    steady_time votersChanged{}; ///< Last change of the set of voters.
    steady_time lastMoves{}; ///< When moves away from live owners were last planned.
    steady_time observingSince{}; ///< Missing renewals count from here: process start or end of its last pause.
};

/** A candidate from another region that may complete the set of voters of this cell. */
struct external_voter
{
    instance_id id; ///< Name of the instance.
    incarnation_id incarnation; ///< Run of its daemon.
    domain_id domain; ///< Its failure domain.
    endpoint control; ///< Address for control datagrams.
};

/** State of one daemon for one cell. */
struct cell_state
{
    cell_timing timing; ///< Intervals of the lease protocol.
    cell_id id; ///< Name of the cell.
    cell_member self; ///< Entry of this daemon that the record should contain.
    bool joinsAsMember = true; ///< Whether this daemon is to be a member; if not, it can only be a voter.
    chart_state lifecycle = 0; ///< State in the member chart.
    stored_record stored; ///< Newest known record.
    voter_state localVoter; ///< State as voter.
    lease_state lease; ///< State as owner.
    coordinator_state coordinator; ///< State as coordinator.
    std::map<pool_id, pool_plan> plans; ///< Slots that this cell should hold, by pool.
    drained_domains drained; ///< Failure domains out of service.
    std::optional<external_voter> externalVoter; ///< Candidate from another region, if one is known.
    std::map<fenced_slot, bool> releasedSlots; ///< Slots that this owner stopped serving; true once drained.
    std::map<fenced_slot, endpoint> releaseRequesters; ///< Coordinator to notify when a slot is drained.
    steady_time nextReleasedResend{}; ///< When to report the released slots again.
    bool writing = false; ///< Whether a write is in progress.
    bool reading = false; ///< Whether a read is in progress.
    steady_time nextWrite{}; ///< Earliest time of the next write, after a conflict or failure.
    std::uint32_t writeFailures = 0; ///< Consecutive failures, for the backoff.
    std::uint64_t writes = 0; ///< Number of writes requested; makes their ids unique.
    steady_time lastTick{}; ///< Time of the last tick, to detect a pause of this process.
    steady_time nextRead{}; ///< When to read the record again while joining.
};

/** Sends a control message. */
struct send_action
{
    endpoint to; ///< Destination.
    control_message message; ///< Message.
};

/** Writes the cell's record if its revision is still the expected one (compare-and-swap). */
struct write_action
{
    cell_record record; ///< New value.
    revision_number expected; ///< Expected revision; 0 if the record must not exist.
};

/** Reads the cell's record from the store. */
struct read_action
{
    cell_id cell; ///< Cell of the record.
};

/** Stops admitting requests of a slot, and reports when none is in flight. */
struct drain_action
{
    fenced_slot slot; ///< Slot.
};

/** Fetches the cell's record from another daemon that knows a newer one. */
struct fetch_action
{
    endpoint from; ///< Control address of the other daemon.
    revision_number revision; ///< Revision that it knows.
};

using cell_action = std::variant<send_action, write_action, read_action, drain_action, fetch_action>;
using cell_actions = std::vector<cell_action>;

/** Result of a write. */
enum class write_outcome
{
    stored, ///< The store acknowledged the write.
    conflicted, ///< The revision was not the expected one.
    unclear, ///< No response; the value may or may not be stored.
};

} // namespace quetzalspool

#endif // CELL_BASE_H
