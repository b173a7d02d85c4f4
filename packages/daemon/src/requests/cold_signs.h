/** @file cold_signs.h Connections to the local target that show that it may have restarted and be cold. */
#ifndef COLD_SIGNS_H
#define COLD_SIGNS_H

#include "target_func.h"
#include "traffic_base.h"

namespace quetzalspool {

/**
 * Treats the target as cold until its next report if a connection shows that it may have restarted.
 * @param shared State of the daemon.
 * @param exchange Connection; null if it could not be established.
 */
void noteConnection(daemon_shared &shared, const target_exchange *exchange);

} // namespace quetzalspool

#endif // COLD_SIGNS_H
