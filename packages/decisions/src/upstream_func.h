/** @file upstream_func.h Whom a daemon asks for changes of the store, so that few daemons ask the store itself. */
#ifndef UPSTREAM_FUNC_H
#define UPSTREAM_FUNC_H

#include "roster_base.h"

namespace quetzalspool {

/**
 * Chooses the daemons to ask for changes. One daemon of a region asks the store; some of each failure domain ask that
 * one; all others ask those of their own failure domain. Who does what follows from the present nodes alone, and two
 * daemons with different views cost calls, never safety.
 * @param state Roster.
 * @return Where they listen for other daemons, the first choice first; none if this daemon asks the store.
 */
std::vector<endpoint> upstreamsOf(const roster_state &state);

} // namespace quetzalspool

#endif // UPSTREAM_FUNC_H
