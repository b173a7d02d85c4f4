/** @file daemon.h A whole daemon: threads, listeners, start and planned stop. */
#ifndef DAEMON_H
#define DAEMON_H

#include "settings_type.h"

namespace quetzalspool {

/**
 * Runs a daemon until it is asked to stop and has left its cell.
 * @param settings Settings.
 * @param why Receives the reason if it could not start.
 * @return Whether it started and stopped as planned.
 */
bool runDaemon(const daemon_settings &settings, last_reason &why);

} // namespace quetzalspool

#endif // DAEMON_H
