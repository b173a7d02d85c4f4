/** @file roster_simulation.h Simulates daemons with targets and a store with leases, under faults and in virtual time.
 */
#ifndef ROSTER_SIMULATION_H
#define ROSTER_SIMULATION_H

#include "exchange_func.h"
#include "mirror_func.h"
#include "roster_func.h"

#include <functional>
#include <random>

namespace quetzalspool::test {

using std::chrono::seconds;

/** One key-value pair of the fake store. */
struct fake_value
{
    std::string text; ///< Value.
    std::int64_t revision = 0; ///< Revision of the last change.
    std::int64_t lease = 0; ///< Lease that the key is attached to; 0 for none.
};

/** One lease of the fake store. */
struct fake_lease
{
    milliseconds ttl{0}; ///< Time to live.
    steady_time endsAt{}; ///< When it expires unless renewed.
};

/** A store with leases. Its keys are "nodes/", "markers/" and "owners/", each followed by a name. */
struct fake_lease_store
{
    std::map<std::string, fake_value> values; ///< By key.
    std::map<std::int64_t, fake_lease> leases; ///< By id.
    std::int64_t revision = 1; ///< Revision of the whole store.
    std::int64_t nextLease = 1; ///< Id of the next lease.
    era_number era; ///< How often it has come back from an older copy.
};

/** What the store held at one moment. */
struct store_copy
{
    steady_time at{}; ///< When it was made.
    fake_lease_store store; ///< The store.
};

/** A target process and the slots that it believes to hold. */
struct fake_target
{
    target_incarnation incarnation; ///< Its incarnation; the id is empty while it is down.
    std::uint64_t sequence = 0; ///< Number of reports sent.
    bool leaving = false; ///< Whether it is draining and accepts no new work.
    std::vector<slot_range> heldRanges; ///< Slots that it serves.
    steady_time grantExpiresAt{}; ///< End of its grant by its own slow clock.
    std::vector<reported_range> releasedRanges; ///< Slots released since the last acknowledged report.
    steady_time nextReport{}; ///< When to report next.
};

/** One instance: a daemon and its target. */
struct fake_node
{
    roster_state roster; ///< State of the daemon's decisions.
    fake_target target; ///< Target.
    bool up = true; ///< Whether the daemon runs.
    steady_time pausedUntil{}; ///< Until when the whole instance is suspended.
    steady_time storeUnreachableUntil{}; ///< Until when the daemon cannot reach the store.
    std::uint64_t run = 0; ///< Number of the daemon's run; responses to earlier runs are dropped.
    std::int64_t lease = 0; ///< Store lease of the daemon.
    target_report staleReport; ///< Last report of the previous incarnation; its id is empty if there was none.
    revision_number watchedRevision; ///< Store revision up to which the watch has delivered changes.
    steady_time watchStalledUntil{}; ///< Until when the watch delivers nothing.
    mirrored_keys mirror; ///< The daemon's mirror of the store, from which it answers peers.
    exchange_state exchange; ///< State of the change exchange with peers.
    steady_time nextPeerRequest{}; ///< When to request changes from a peer next.
    steady_time peersUnreachableUntil{}; ///< Until when the daemon cannot reach its peers.
};

/** The whole simulation. */
struct roster_simulation
{
    steady_time now{seconds(1000)}; ///< Virtual time.
    std::mt19937_64 random; ///< Source of all randomness.
    fake_lease_store store; ///< Store.
    std::vector<store_copy> copies; ///< Copies of the store, oldest first.
    std::vector<fake_node> nodes; ///< Instances.
    std::multimap<steady_time, std::function<void()>>
        pendingEvents; ///< Scheduled events, such as the arrival of messages.
    steady_time storeDownUntil{}; ///< Until when the store answers nobody.
    double responseLossRate = 0; ///< Fraction of the store's responses that are lost.
    double lateWriteRate = 0; ///< Fraction of the store calls that arrive seconds late.
    bool losesEras = false; ///< Whether random faults include a store that comes back from an older copy.
    bool peerExchange = false; ///< Whether daemons exchange changes with peers, so that few read the store.
    double messageLossRate =
        0; ///< Fraction of the messages between daemons that are lost; as many are delayed, and as many duplicated.
    std::uint64_t storeReads = 0; ///< Number of calls that read the store.
    std::map<std::uint32_t, std::uint64_t> highestFence; ///< Highest fencing token granted, by slot, over all targets.
    std::uint64_t incarnationsStarted = 0; ///< Number of target incarnations started.
    std::string violation; ///< First violated invariant; empty while there is none.
};

/**
 * Creates a simulation with one keyed pool "p".
 * @param seed Seed of all randomness.
 * @param count Number of instances.
 * @return The simulation.
 */
roster_simulation makeRosterSimulation(std::uint64_t seed, std::size_t count);

/**
 * Advances the virtual time in steps of 10 ms and checks after each that no slot has two owners.
 * @param simulation Simulation.
 * @param span Virtual time to pass.
 */
void runFor(roster_simulation &simulation, milliseconds span);

/**
 * Restarts the daemon of an instance.
 * @param simulation Simulation.
 * @param index Index of the instance.
 */
void restartDaemon(roster_simulation &simulation, std::size_t index);

/**
 * Restarts the target of an instance as a new incarnation.
 * @param simulation Simulation.
 * @param index Index of the instance.
 */
void restartTarget(roster_simulation &simulation, std::size_t index);

/**
 * Delivers the last report of the previous incarnation once more, as a network may.
 * @param simulation Simulation.
 * @param index Index of the instance.
 */
void resendStaleReport(roster_simulation &simulation, std::size_t index);

/**
 * Removes the entry of an instance at once, as a store does when a lease is revoked.
 * @param simulation Simulation.
 * @param index Index of the instance.
 */
void revokeEntry(roster_simulation &simulation, std::size_t index);

/** What becomes of the leases in a copy from which the store comes back. */
enum class leases_after_rewind
{
    gone, ///< They are gone with their keys.
    kept, ///< They run anew, for their whole time.
};

/**
 * Makes the store come back from a copy, in a new era: later writes are gone.
 * @param simulation Simulation.
 * @param age Age of the copy.
 * @param leases What becomes of the leases in the copy.
 */
void rewindStore(roster_simulation &simulation, milliseconds age,
                 leases_after_rewind leases = leases_after_rewind::gone);

/**
 * Counts the slots that are currently served by a target.
 * @param simulation Simulation.
 * @return Number of slots held under a grant that has not ended.
 */
std::uint32_t servedSlotCount(const roster_simulation &simulation);

} // namespace quetzalspool::test

#endif // ROSTER_SIMULATION_H
