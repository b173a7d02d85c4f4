/** @file roster_type.h Types of lease-based key ownership: nodes, target incarnations, slot ranges, reports and grants.
 */
#ifndef ROSTER_TYPE_H
#define ROSTER_TYPE_H

#include "record_base.h"
#include "store_era.h"

#include <variant>

namespace quetzalspool {

/** Keys per slot of a pool with numeric keys. A slot is the smallest unit that can be moved to another owner. */
constexpr std::uint32_t keysPerSlot = 16;

/** Number of numeric keys of a pool: 0 to 65535. */
constexpr std::uint32_t numericKeys = 65536;

/** Number of slots of a pool with numeric keys. */
constexpr std::uint32_t numericSlots = numericKeys / keysPerSlot;

/** Maximum absent nodes per write: each uses two of the comparisons that a transaction of the store may have. */
constexpr std::size_t maxAbsentPerWrite = 12;

/** Intervals of lease-based ownership. All daemons of a deployment must use the same values. */
struct roster_timing
{
    milliseconds leasePeriod{7000}; ///< Time for which one confirmation by the store allows granting keys.
    milliseconds confirmInterval{1500}; ///< Between two reads of the own entry that confirm it.
    milliseconds entryTtl{3000}; ///< Time to live of the store lease under the own entry.
    milliseconds entryRenewal{900}; ///< Between two renewals of that store lease.
    milliseconds fastEntryRenewal{600}; ///< Same, while other daemons rely on this one's connection to the store.
    milliseconds holdPeriod{5500}; ///< Maximum duration of the grant that answers one report of a target; without a
                                   ///< report for this long, a target counts as unresponsive.
    milliseconds settleTime{1500}; ///< Time without node changes before a pool's first owners are chosen.
    milliseconds absentLimit{3000}; ///< A node whose entry is absent for this long gets no new work.
    milliseconds retryInterval{150}; ///< Wait after a failed call to the store.
    std::uint32_t driftPercent = 3; ///< Safety margin for clocks that run at different rates.

    /**
     * Extends a time span by the clock drift margin.
     * @param span Span on the local clock.
     * @return Span after which the original one has also passed on every other clock.
     */
    [[nodiscard]] milliseconds withDrift(milliseconds span) const
    {
        return span * (100 + driftPercent) / 100;
    }
};

/** One run of a target process. */
struct target_incarnation
{
    std::string id; ///< Name that the target chose for this incarnation.
    std::int64_t startedUnixMs = 0; ///< Start time in Unix milliseconds; orders the incarnations at one address.

    auto operator<=>(const target_incarnation &) const = default;
};

/** One daemon and its local target, as described by the daemon's entry in the store. */
struct roster_node
{
    cell_member member; ///< Daemon and target; its terms are not used here.
    target_incarnation targetIncarnation; ///< Incarnation of the target; its id is empty before the first report.
    milliseconds targetColdFor{0}; ///< Time for which the target was still cold at the first report of the incarnation.

    bool operator==(const roster_node &) const = default;
};

/** Consecutive slots with the same owner. */
struct slot_range
{
    std::uint32_t first = 0; ///< First slot.
    std::uint32_t last = 0; ///< Last slot, inclusive.
    instance_id owner; ///< Daemon whose local target owns the slots; empty while unowned.
    target_incarnation incarnation; ///< Incarnation of the owning target.
    fence_number fence; ///< Fencing token; increases with every change of the owner.
    std::string handover; ///< Handover token of the previous owner; empty if it provided none.
    instance_id nextOwner; ///< Destination of a planned move; empty while none is planned.

    bool operator==(const slot_range &) const = default;
};

/** Owners of all slots of one pool, stored as one value. */
struct ownership_record
{
    pool_id pool; ///< Pool.
    std::vector<slot_range> ranges; ///< Ranges in the order of their slots; together they cover the pool.
    era_number era; ///< Era of the store in which the owners were last confirmed; 0 if it names none.

    bool operator==(const ownership_record &) const = default;
};

/** Consecutive slots that a target reports as held or released. */
struct reported_range
{
    std::uint32_t first = 0; ///< First slot.
    std::uint32_t last = 0; ///< Last slot, inclusive.
    fence_number fence; ///< Fencing token, for held slots.
    std::string handover; ///< Handover token for the next owner, for released slots.
};

/** Periodic report of a target to its local daemon. */
struct target_report
{
    target_incarnation incarnation; ///< Incarnation that reports.
    std::uint64_t sequence = 0; ///< Increases with each report of an incarnation.
    target_announcement announcement; ///< Pool, address and limits.
    bool leaving = false; ///< Whether the target is draining and accepts no new work.
    milliseconds coldFor{0}; ///< Remaining time of reduced performance after a cold start.
    std::vector<reported_range> heldRanges; ///< Slots that it holds or still processes requests of.
    std::vector<reported_range> releasedRanges; ///< Slots released since its last acknowledged report.
};

/** Slots that a target may serve, as the answer to its report. */
struct target_grant
{
    std::vector<slot_range> ranges; ///< All slots that it may hold; any other slot must be released.
    milliseconds duration{0}; ///< Duration, which the target counts from before it sent its report.
};

} // namespace quetzalspool

#endif // ROSTER_TYPE_H
