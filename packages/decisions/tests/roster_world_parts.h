/** @file roster_world_parts.h What the files of the world share among themselves. */
#ifndef ROSTER_WORLD_PARTS_H
#define ROSTER_WORLD_PARTS_H

#include "roster_world.h"

namespace quetzalspool::test {

/** Whether something happens that does so in a part of all cases. */
bool chance(roster_world &world, double part);

/** Key of the fake store. */
std::string keyOf(const char *kind, const std::string &name);

/** Lets something happen after a while. */
void after(roster_world &world, milliseconds wait, std::function<void()> act);

/** Whether an instance reaches the store. */
bool reaches(const roster_world &world, const fake_node &node);

/** Delivers one value to a daemon. */
void deliver(roster_world &world, fake_node &node, const std::string &key, const fake_value &value);

/** Delivers what is news to a daemon. */
void deliverNews(roster_world &world, fake_node &node, const std::vector<key_change> &news);

/** Values with a prefix, as a list tells them. */
std::vector<key_change> changesOf(const std::map<std::string, fake_value> &values, const std::string &prefix);

/** Lets a daemon hear of all changes from the store, unless others tell it of them. */
void follow(roster_world &world, fake_node &node);

/** Asks another daemon for changes, if it is time to. */
void ask(roster_world &world, std::size_t index);

} // namespace quetzalspool::test

#endif // ROSTER_WORLD_PARTS_H
