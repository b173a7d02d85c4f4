/** @file roster_type.h Small types about ownership that is kept by leases of the store: nodes, target lives, key runs.
 */
#ifndef ROSTER_TYPE_H
#define ROSTER_TYPE_H

#include "record_base.h"

#include <variant>

namespace quetzalspool {

/** Keys that form one slot of a pool with numeric keys. A slot is the least that moves. */
constexpr std::uint32_t keysPerSlot = 16;

/** Numeric keys of a pool: 0 to 65535. */
constexpr std::uint32_t numericKeys = 65536;

/** Slots of a pool with numeric keys. */
constexpr std::uint32_t numericSlots = numericKeys / keysPerSlot;

/** Missing nodes that one write names: each takes two of the conditions that a transaction of the store may have. */
constexpr std::size_t maxAbsentPerWrite = 12;

/** Intervals of ownership by leases of the store. All daemons of a deployment use the same values. */
struct roster_timing
{
    milliseconds leasePeriod{7000}; ///< Right to grant that one confirmation by the store gives.
    milliseconds confirmInterval{1500}; ///< Between two confirmations by a read of the own entry.
    milliseconds entryTtl{3000}; ///< Time to live of the store lease under the own entry.
    milliseconds entryRenewal{900}; ///< Between two renewals of that store lease.
    milliseconds fastEntryRenewal{600}; ///< The same where other daemons rest on this one's way to the store.
    milliseconds holdPeriod{5500}; ///< How long a target may serve its keys after one report.
    milliseconds settleTime{1500}; ///< Quiet time before the first owners of a pool are chosen.
    milliseconds absentLimit{3000}; ///< A node whose entry is missing for this long gets no new work.
    milliseconds retryInterval{150}; ///< Wait after a failed call to the store.
    std::uint32_t driftPercent = 3; ///< Margin for clocks that run at different rates.

    /**
     * Lengthens a span by the margin for drift.
     * @param span Span on the own clock.
     * @return A span that is over everywhere.
     */
    [[nodiscard]] milliseconds withDrift(milliseconds span) const
    {
        return span * (100 + driftPercent) / 100;
    }
};

/** One run of a target process. */
struct target_incarnation
{
    std::string id; ///< Name that the target gave itself in this run.
    std::int64_t startedUnixMs = 0; ///< When it started, in Unix milliseconds; orders the lives at one address.

    auto operator<=>(const target_incarnation &) const = default;
};

/** One daemon with the target beside it, as its entry in the store tells. */
struct roster_node
{
    cell_member member; ///< Daemon and target; terms are not used.
    target_incarnation targetIncarnation; ///< Life of the target; empty id if none reported yet.

    bool operator==(const roster_node &) const = default;
};

/** Consecutive slots with one owner. */
struct slot_range
{
    std::uint32_t first = 0; ///< First slot.
    std::uint32_t last = 0; ///< Last slot, inclusive.
    instance_id owner; ///< Daemon beside the owning target; empty while nobody owns them.
    target_incarnation incarnation; ///< Life of the target that owns them.
    fence_number fence; ///< Fencing number; grows with every change of the owner.
    std::string handover; ///< Token that the owner before gave with them; empty if it gave none.
    instance_id nextOwner; ///< Daemon that is to have them after a planned move; empty while none is planned.

    bool operator==(const slot_range &) const = default;
};

/** Owners of all slots of one pool; one value in the store. */
struct ownership_record
{
    pool_id pool; ///< Pool.
    std::vector<slot_range> ranges; ///< Runs by first slot; together they cover the pool.

    bool operator==(const ownership_record &) const = default;
};

/** Slots that a target says it holds or has given back. */
struct reported_range
{
    std::uint32_t first = 0; ///< First slot.
    std::uint32_t last = 0; ///< Last slot, inclusive.
    fence_number fence; ///< Fencing number, for slots it holds.
    std::string handover; ///< Token for the next owner, for slots it gave back.
};

/** What a target tells the daemon beside it, again and again. */
struct target_report
{
    target_incarnation incarnation; ///< Who reports.
    std::uint64_t sequence = 0; ///< Grows with each report of one life.
    target_announcement announcement; ///< Pool, address, limits.
    bool leaving = false; ///< Whether it wants no new work.
    milliseconds coldFor{0}; ///< How much longer it works slowly after its start.
    std::vector<reported_range> heldRanges; ///< Slots that it holds or still works on.
    std::vector<reported_range> releasedRanges; ///< Slots that it gave back since its last acknowledged report.
};

/** Slots that a target may serve from now on. */
struct target_grant
{
    std::vector<slot_range> ranges; ///< Everything that it is to hold.
    milliseconds duration{0}; ///< For how long, counted by the target from before it sent its report.
};

} // namespace quetzalspool

#endif // ROSTER_TYPE_H
