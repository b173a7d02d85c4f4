/** @file roster_world.h Daemons with targets over a fake store with leases, under faults, in simulated time. */
#ifndef ROSTER_WORLD_H
#define ROSTER_WORLD_H

#include "exchange_func.h"
#include "mirror_func.h"
#include "roster_func.h"

#include <functional>
#include <random>

namespace quetzalspool::test {

using std::chrono::seconds;

/** One key of the fake store. */
struct fake_value
{
    std::string text; ///< Value.
    std::int64_t revision = 0; ///< Last change.
    std::int64_t lease = 0; ///< Lease it vanishes with; 0 for none.
};

/** One lease of the fake store. */
struct fake_lease
{
    milliseconds ttl{0}; ///< Time to live.
    steady_time endsAt{}; ///< When it ends unless renewed.
};

/** A store with leases. Its keys are "nodes/", "markers/" and "owners/" with a name. */
struct fake_lease_store
{
    std::map<std::string, fake_value> values; ///< By key.
    std::map<std::int64_t, fake_lease> leases; ///< By id.
    std::int64_t revision = 1; ///< Of the whole store.
    std::int64_t nextLease = 1; ///< Id of the next lease.
};

/** A target process and what it believes to hold. */
struct fake_target
{
    target_incarnation incarnation; ///< Its life; empty id while it is down.
    std::uint64_t sequence = 0; ///< Reports sent.
    bool leaving = false; ///< Whether it asks for no new work.
    std::vector<slot_range> heldRanges; ///< Slots it serves.
    steady_time grantExpiresAt{}; ///< End of the hold by its own slow clock.
    std::vector<reported_range> releasedRanges; ///< Given back since the last acknowledged report.
    steady_time nextReport{}; ///< When to report next.
};

/** One instance. */
struct fake_node
{
    roster_state roster; ///< The daemon's decisions.
    fake_target target; ///< Its target.
    bool up = true; ///< Whether the daemon runs.
    steady_time pausedUntil{}; ///< Whole instance stands still.
    steady_time storeUnreachableUntil{}; ///< No path to the store.
    std::uint64_t run = 0; ///< Run of the daemon; late answers for earlier runs are dropped.
    std::int64_t lease = 0; ///< Store lease of the daemon.
    target_report staleReport; ///< Last report of the life before; empty id if there was none.
    std::int64_t watchedRevision = 0; ///< Store revision up to which the watch has told.
    steady_time watchStalledUntil{}; ///< The watch tells nothing before.
    mirrored_keys mirror; ///< What it knows of the store, to tell others.
    exchange_state exchange; ///< What it has told and been told of changes.
    steady_time nextPeerRequest{}; ///< When to ask another daemon next.
    steady_time peersUnreachableUntil{}; ///< No path to other daemons.
};

/** The world. */
struct roster_simulation
{
    steady_time now{seconds(1000)}; ///< Simulated time.
    std::mt19937_64 random; ///< Source of all chance.
    fake_lease_store store; ///< Store.
    std::vector<fake_node> nodes; ///< Instances.
    std::multimap<steady_time, std::function<void()>> pendingEvents; ///< Messages under way.
    steady_time storeDownUntil{}; ///< Store answers nobody.
    double responseLossRate = 0; ///< Part of the answers that get lost.
    double lateWriteRate = 0; ///< Part of the writes made seconds late.
    bool peerExchange = false; ///< Whether daemons tell each other of changes, and few ask the store.
    double messageLossRate = 0; ///< Part of the messages between daemons that get lost; as many come late or twice.
    std::uint64_t storeReads = 0; ///< Calls that read the store.
    std::map<std::uint32_t, std::uint64_t> highestFence; ///< By slot, over all targets.
    std::uint64_t incarnationsStarted = 0; ///< Lives started.
    std::string violation; ///< First broken promise; empty while there is none.
};

/**
 * Makes a world with one keyed pool "p".
 * @param seed Seed of all chance.
 * @param count Instances.
 * @return The world.
 */
roster_simulation makeRosterSimulation(std::uint64_t seed, std::size_t count);

/**
 * Lets time pass in steps of 10 ms and checks after each that no slot has two owners.
 * @param simulation World.
 * @param span How long.
 */
void runFor(roster_simulation &simulation, milliseconds span);

/**
 * Ends the daemon of an instance and starts a new run.
 * @param simulation World.
 * @param index Instance.
 */
void restartDaemon(roster_simulation &simulation, std::size_t index);

/**
 * Ends the target of an instance and starts a new life.
 * @param simulation World.
 * @param index Instance.
 */
void restartTarget(roster_simulation &simulation, std::size_t index);

/**
 * Delivers the last report of an ended life once more, as a network may.
 * @param simulation World.
 * @param index Instance.
 */
void resendStaleReport(roster_simulation &simulation, std::size_t index);

/**
 * Removes the entries of an instance at once, as a store that revokes leases does.
 * @param simulation World.
 * @param index Instance.
 */
void revokeEntry(roster_simulation &simulation, std::size_t index);

/**
 * Counts slots that a target serves now.
 * @param simulation World.
 * @return Slots with an owner that holds them.
 */
std::uint32_t servedSlotCount(const roster_simulation &simulation);

} // namespace quetzalspool::test

#endif // ROSTER_WORLD_H
