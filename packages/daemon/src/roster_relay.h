/** @file roster_relay.h Reaching the store through other daemons. */
#ifndef ROSTER_RELAY_H
#define ROSTER_RELAY_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Makes the way to the store through other daemons: some stores turn single machines away and serve the others.
 * @param control Control state, which lives as long as the way.
 * @return The way.
 */
store_relay makeRelay(roster_control &control);

} // namespace quetzalspool

#endif // ROSTER_RELAY_H
