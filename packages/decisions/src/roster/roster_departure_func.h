/** @file roster_departure_func.h Target incarnations that announced their exit. Internal to the package. */
#ifndef ROSTER_DEPARTURE_FUNC_H
#define ROSTER_DEPARTURE_FUNC_H

#include "roster_base.h"

namespace quetzalspool {

/**
 * Checks whether an incarnation of the target has announced its exit.
 * @param state Roster.
 * @param incarnation Incarnation.
 * @param now Current time.
 * @return Whether it has.
 */
bool hasDeparted(const roster_state &state, const target_incarnation &incarnation, steady_time now);

} // namespace quetzalspool

#endif // ROSTER_DEPARTURE_FUNC_H
