/** @file roster_relay.h Calls to the store relayed through other daemons. */
#ifndef ROSTER_RELAY_H
#define ROSTER_RELAY_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Makes a relay to the store through other daemons: some stores reject single machines while they serve the others.
 * @param control Control state, which must outlive the relay.
 * @return The relay.
 */
store_relay makeRelay(roster_control &control);

} // namespace quetzalspool

#endif // ROSTER_RELAY_H
