/** @file roster_world_parts.h What the files of the world share among themselves. */
#ifndef ROSTER_WORLD_PARTS_H
#define ROSTER_WORLD_PARTS_H

#include "roster_world.h"

namespace quetzalspool::test {

/** Whether something happens that does so in a part of all cases. */
bool chance(roster_simulation &simulation, double part);

/** Key of the fake store. */
std::string keyOf(const char *kind, const std::string &name);

/** Lets something happen after a while. */
void after(roster_simulation &simulation, milliseconds wait, std::function<void()> act);

/** Whether an instance reaches the store. */
bool reachesStore(const roster_simulation &simulation, const fake_node &node);

/** Delivers one value to a daemon. */
void deliverValue(roster_simulation &simulation, fake_node &node, const std::string &key, const fake_value &value);

/** Delivers what is news to a daemon. */
void deliverChanges(roster_simulation &simulation, fake_node &node, const std::vector<key_change> &news);

/** Values with a prefix, as a list tells them. */
std::vector<key_change> changesOf(const std::map<std::string, fake_value> &values, const std::string &prefix);

/** Lets a daemon hear of all changes from the store, unless others tell it of them. */
void followStore(roster_simulation &simulation, fake_node &node);

/** Asks another daemon for changes, if it is time to. */
void pollPeer(roster_simulation &simulation, std::size_t index);

} // namespace quetzalspool::test

#endif // ROSTER_WORLD_PARTS_H
