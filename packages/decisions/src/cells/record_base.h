/** @file record_base.h The record of a cell: its durable state, kept as one value in the store. */
#ifndef RECORD_BASE_H
#define RECORD_BASE_H

#include "cell_type.h"

#include <map>
#include <vector>

namespace quetzalspool {

/** A member of a cell: a daemon and its target. */
struct cell_member
{
    instance_id id; ///< Name of the instance.
    incarnation_id incarnation; ///< Run of the daemon.
    term_number term; ///< Term of its instance lease.
    region_id region; ///< Region of the instance.
    domain_id domain; ///< Failure domain of the instance.
    daemon_endpoints endpoints; ///< Addresses on which the daemon listens.
    target_announcement target; ///< Target of the daemon.
    bool leaving = false; ///< Whether it is leaving the cell.

    bool operator==(const cell_member &) const = default;
};

/**
 * Gets the address on which a member listens for other daemons.
 * @param member Member.
 * @return Address, for streams and datagrams.
 */
inline endpoint peerEndpoint(const cell_member &member)
{
    return {member.endpoints.host, member.endpoints.peers};
}

/** A voter of a cell. It need not be a member: one voter may be in another region. */
struct cell_voter
{
    instance_id id; ///< Name of the instance.
    incarnation_id incarnation; ///< Run of the daemon that was admitted.
    std::uint64_t admitted = 0; ///< Admission number; the voter makes promises only for terms with greater numbers.
    domain_id domain; ///< Failure domain of the instance.
    endpoint control; ///< Address for control datagrams.

    bool operator==(const cell_voter &) const = default;
};

/** Assignment of a slot to an owner. */
struct slot_assignment
{
    slot_number slot; ///< Slot within the pool.
    instance_id owner; ///< Owning instance; empty if none is assigned.
    fence_number fence; ///< Fence of this assignment.

    bool operator==(const slot_assignment &) const = default;
};

/** Durable state of a cell. It is changed only by compare-and-swap on its store revision. */
struct cell_record
{
    cell_id id; ///< Name of the cell.
    std::uint64_t nextNumber = 1; ///< Next number in the common sequence of terms and admissions.
    config_number config{1}; ///< Number of the set of voters; incremented when a change starts and when it completes.
    std::vector<cell_member> members; ///< Members, in order of instance.
    std::vector<cell_voter> voters; ///< Voters; the first live one that is a member coordinates reassignments.
    std::vector<cell_voter> previousVoters; ///< Voters before the change in progress; empty if there is none.
    std::map<pool_id, std::vector<slot_assignment>> pools; ///< Slots that this cell holds, in order of number.
    std::string writeId; ///< Unique id of the write that stored this value.

    bool operator==(const cell_record &) const = default;
};

/** A record with its revision in the store. */
struct stored_record
{
    cell_record record; ///< Value.
    revision_number revision; ///< Modification revision; 0 if the record does not exist yet.
};

} // namespace quetzalspool

#endif // RECORD_BASE_H
