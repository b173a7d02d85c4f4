/** @file cell_base.h Everything one daemon holds about one cell, and the actions it asks for. */
#ifndef CELL_BASE_H
#define CELL_BASE_H

#include "chart_type.h"
#include "lease_base.h"
#include "placement_type.h"
#include "voter_base.h"

#include <set>

namespace quetzalspool {

/** A slot under one fence. */
struct fenced_slot
{
    pool_id pool; ///< Pool.
    slot_number slot; ///< Slot within the pool.
    fence_number fence; ///< Fence of the assignment.

    auto operator<=>(const fenced_slot &) const = default;
};

/** What a cell should hold of one pool, taken from the tables. */
struct pool_plan
{
    std::vector<slot_number> slots; ///< Slots that belong to this cell.
    placement_rules rules; ///< Rules of placement.
};

/** Ending the terms of one silent member, as the driver sees it. */
struct term_ending
{
    term_number upTo; ///< Terms up to this one end.
    chart_state state = 0; ///< State in the reassignment chart.
    std::set<instance_id> refusedBy; ///< Voters that refuse the terms.
    steady_time waitUntil{}; ///< End of the last promise that any of them gave.
    steady_time nextSend{}; ///< When to ask again.
};

/** A planned move that waits for its owner to give the slot back. */
struct slot_release
{
    instance_id from; ///< Present owner.
    instance_id to; ///< Wanted owner.
    bool released = false; ///< Whether the owner gave the slot back.
    steady_time nextSend{}; ///< When to ask again.
};

/** Retiring a previous set of voters. */
struct voter_retirement
{
    config_number before; ///< Sets before this one are retired; 0 while none is.
    std::set<instance_id> confirmedBy; ///< Voters that promised.
    steady_time waitUntil{}; ///< End of the last promise under a retired set.
    steady_time nextSend{}; ///< When to ask again.
};

/** State of the daemon as driver of reassignments. It gives no right; the voters and the compare decide. */
struct coordinator_state
{
    std::map<instance_id, term_ending> endings; ///< Silent members.
    std::map<fenced_slot, slot_release> releases; ///< Planned moves under way.
    voter_retirement retirement; ///< Previous set of voters being retired.
    std::map<instance_id, std::pair<incarnation_id, steady_time>> memberSince; ///< When a run was first seen.
    steady_time membersChanged{}; ///< Last change of the list of members.
    steady_time votersChanged{}; ///< Last change of the set of voters.
    steady_time lastMoves{}; ///< Last planning of voluntary moves.
    steady_time observingSince{}; ///< Silence counts from here: start, or the end of a pause of this process.
};

/** A voter from another region that may complete this cell's set. */
struct external_voter
{
    instance_id id; ///< Name.
    incarnation_id incarnation; ///< Its run.
    domain_id domain; ///< Its failure domain.
    endpoint control; ///< Where it receives control datagrams.
};

/** One daemon's view of one cell. */
struct cell_state
{
    cell_timing timing; ///< Intervals.
    cell_id id; ///< Cell.
    cell_member self; ///< This daemon as it wants to be listed.
    bool joinsAsMember = true; ///< Whether this daemon is to be a member, or at most a voter.
    chart_state lifecycle = 0; ///< State in the member chart.
    stored_record stored; ///< The record as last known.
    voter_state localVoter; ///< As voter.
    lease_state lease; ///< As owner.
    coordinator_state coordinator; ///< As driver.
    std::map<pool_id, pool_plan> plans; ///< Slots that this cell should hold.
    std::optional<external_voter> externalVoter; ///< Voter from another region, if one is known.
    std::map<fenced_slot, bool> releasedSlots; ///< Slots this owner stopped serving; true once drained.
    std::map<fenced_slot, endpoint> releaseRequesters; ///< Driver to tell when a slot is drained.
    steady_time nextReleasedResend{}; ///< When to repeat which slots were given back.
    bool writing = false; ///< Whether a write is under way.
    bool reading = false; ///< Whether a read is under way.
    steady_time nextWrite{}; ///< No write before this moment, after a conflict or failure.
    std::uint32_t writeFailures = 0; ///< Failures in a row, for the backoff.
    std::uint64_t writes = 0; ///< Writes asked for, to make their ids unique.
    steady_time lastTick{}; ///< Last tick, to notice a pause of this process.
    steady_time nextRead{}; ///< When to read the record again while joining.
};

/** Send a control message. */
struct send_action
{
    endpoint to; ///< Destination.
    control_message message; ///< Message.
};

/** Write the cell's record if its revision is still the expected one. */
struct write_action
{
    cell_record record; ///< New value.
    revision_number expected; ///< Revision to compare; 0 if the record must not exist.
};

/** Read the cell's record from the store. */
struct read_action
{
    cell_id cell; ///< Whose record.
};

/** Stop admitting requests of a slot, and report when none is in flight. */
struct drain_action
{
    fenced_slot slot; ///< Slot.
};

/** Fetch the cell's record from another daemon, which knows a newer one. */
struct fetch_action
{
    endpoint from; ///< Control address of the other daemon.
    revision_number revision; ///< Revision that it knows.
};

using cell_action = std::variant<send_action, write_action, read_action, drain_action, fetch_action>;
using cell_actions = std::vector<cell_action>;

/** How a write ended. */
enum class write_outcome
{
    stored, ///< Acknowledged by the store.
    conflicted, ///< The revision had changed.
    unclear, ///< No answer: it may or may not be stored.
};

} // namespace quetzalspool

#endif // CELL_BASE_H
