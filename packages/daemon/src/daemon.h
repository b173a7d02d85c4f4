/** @file daemon.h Start, threads, listeners and planned stop of a daemon. */
#ifndef DAEMON_H
#define DAEMON_H

#include "settings_type.h"

namespace quetzalspool {

/**
 * Runs a daemon until a planned stop is complete: it has left its cell and its requests have ended, or the drain
 * limit has passed.
 * @param settings Settings.
 * @param why Receives the reason if the daemon could not start.
 * @return True after a planned stop, false if the daemon could not start.
 */
bool runDaemon(const daemon_settings &settings, last_reason &why);

} // namespace quetzalspool

#endif // DAEMON_H
