/** @file roster_simulation_internal.h Functions shared by the source files of the simulation and its tests. */
#ifndef ROSTER_SIMULATION_INTERNAL_H
#define ROSTER_SIMULATION_INTERNAL_H

#include "roster_simulation.h"

namespace quetzalspool::test {

/** Returns true with the given probability. */
bool chance(roster_simulation &simulation, double probability);

/** Builds a key of the fake store. */
std::string keyOf(const char *kind, const std::string &name);

/** Schedules an event. */
void after(roster_simulation &simulation, milliseconds wait, std::function<void()> act);

/** Whether an instance can reach the store. */
bool reachesStore(const roster_simulation &simulation, const fake_node &node);

/** Revision of the present era of the store; 0 for none. */
revision_number position(const roster_simulation &simulation, std::int64_t storeRevision);

/** Makes a daemon know the era of a response. */
void observeEra(roster_simulation &simulation, fake_node &node, era_number era);

/** Delivers one value of the store to a daemon. */
void deliverValue(roster_simulation &simulation, fake_node &node, const std::string &key, const mirrored_value &value);

/** Delivers changes of the store, including removals, to a daemon. */
void deliverChanges(roster_simulation &simulation, fake_node &node, const std::vector<key_change> &changes);

/** Lists all values of the store with a prefix as changes. */
std::vector<key_change> changesOf(const roster_simulation &simulation, const std::string &prefix);

/** Delivers all changes of the store to a daemon, unless it receives them from a peer. */
void followStore(roster_simulation &simulation, fake_node &node);

/** Requests changes from a peer, if a request is due. */
void pollPeer(roster_simulation &simulation, std::size_t index);

} // namespace quetzalspool::test

#endif // ROSTER_SIMULATION_INTERNAL_H
