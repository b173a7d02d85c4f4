/** @file upstream_func.h Choice of the daemons from which a daemon requests store changes, so that few daemons read the
 * store. */
#ifndef UPSTREAM_FUNC_H
#define UPSTREAM_FUNC_H

#include "roster_base.h"

namespace quetzalspool {

/**
 * Chooses the upstream daemons to request changes from. One daemon of a region reads the store. A few daemons of each
 * failure domain request changes from that one, and all others from those of their own failure domain. The choice
 * depends on the present nodes alone. Daemons with different views of them cause extra calls, but never affect safety.
 * @param state Roster.
 * @return Peer endpoints of the upstream daemons in order of preference; empty if this daemon reads the store.
 */
std::vector<endpoint> upstreamsOf(const roster_state &state);

} // namespace quetzalspool

#endif // UPSTREAM_FUNC_H
