/** @file roster_daemon.h A whole daemon whose keys are owned by leases of the store. */
#ifndef ROSTER_DAEMON_H
#define ROSTER_DAEMON_H

#include "roster_port.h"
#include "settings_type.h"

namespace quetzalspool {

/**
 * Runs a daemon until a signal stops it.
 * @param settings Settings, with a roster.
 * @param port Interface to the deployment.
 * @param why Receives the reason if the daemon could not start.
 * @return Whether it started and stopped as planned.
 */
bool runRosterDaemon(const daemon_settings &settings, roster_port port, last_reason &why);

} // namespace quetzalspool

#endif // ROSTER_DAEMON_H
