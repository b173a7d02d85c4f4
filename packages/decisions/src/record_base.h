/** @file record_base.h The record of one cell, kept as one value in the store. */
#ifndef RECORD_BASE_H
#define RECORD_BASE_H

#include "cell_type.h"

#include <map>
#include <vector>

namespace quetzalspool {

/** One daemon of a cell and the target beside it. */
struct cell_member
{
    instance_id id; ///< Name of the instance.
    incarnation_id incarnation; ///< Run of the daemon that joined.
    term_number term; ///< Its current instance lease.
    region_id region; ///< Region it stands in.
    domain_id domain; ///< Failure domain it stands in.
    daemon_endpoints at; ///< Where it listens.
    target_announcement target; ///< Target beside it.
    bool leaving = false; ///< Whether it is being drained.

    bool operator==(const cell_member &) const = default;
};

/**
 * Where a member listens for other daemons.
 * @param member Member.
 * @return Address, for streams and datagrams.
 */
inline endpoint peerEndpoint(const cell_member &member)
{
    return {member.at.host, member.at.peers};
}

/** One voter of a cell. The voter need not be a member: one may stand in another region. */
struct cell_voter
{
    instance_id id; ///< Name of the instance.
    incarnation_id incarnation; ///< Run of the daemon that was admitted.
    std::uint64_t admitted = 0; ///< Number taken at admission; it vouches only for terms with greater numbers.
    domain_id domain; ///< Failure domain it stands in.
    endpoint control; ///< Where it receives control datagrams.

    bool operator==(const cell_voter &) const = default;
};

/** Owner of one hash slot. */
struct slot_assignment
{
    slot_number slot; ///< Slot within the pool.
    instance_id owner; ///< Owning instance; empty while none is assigned.
    fence_number fence; ///< Fence of this assignment.

    bool operator==(const slot_assignment &) const = default;
};

/** The durable state of one cell. Changed only by compare-and-swap on its store revision. */
struct cell_record
{
    cell_id id; ///< Name of the cell.
    std::uint64_t nextNumber = 1; ///< Next number for terms and admissions; both draw from this sequence.
    config_number config{1}; ///< Grows with every change of the set of voters.
    std::vector<cell_member> members; ///< Daemons of the cell, by id.
    std::vector<cell_voter> voters; ///< Voters; the first live one drives reassignments.
    std::vector<cell_voter> previousVoters; ///< Voters before a change that is under way; else empty.
    std::map<pool_id, std::vector<slot_assignment>> pools; ///< Slots that this cell holds, by slot number.
    std::string writeId; ///< Unique id of the write that stored this value.

    bool operator==(const cell_record &) const = default;
};

/** A record with the store revision at which it was read. */
struct stored_record
{
    cell_record record; ///< The value.
    revision_number revision; ///< Its modification revision; 0 if the record does not exist yet.
};

} // namespace quetzalspool

#endif // RECORD_BASE_H
