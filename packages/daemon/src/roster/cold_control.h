/** @file cold_control.h Whether the local target is cold: its reports, the rate from the tables, log lines, gauges. */
#ifndef COLD_CONTROL_H
#define COLD_CONTROL_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Applies what a report says about the target's coldness to admission, with the rate from the present tables. Call it
 * after the report was applied to the roster.
 * @param control Control thread.
 * @param report Report.
 * @param restarted Whether it is the first report of an incarnation.
 * @param now Time at which the report was applied.
 */
void applyColdness(roster_control &control, const target_report &report, bool restarted, steady_time now);

/**
 * Returns whether the planner is told the target's speed without demand: the target is cold or was until recently. The
 * planner would otherwise keep the speed of the cold target.
 * @param control Control thread.
 * @return True if it is told.
 */
bool reportsColdSpeed(const roster_control &control);

/**
 * Updates the limit from the present tables, logs when it takes effect or ends, and sets the gauges.
 * @param control Control thread.
 * @param now Present time.
 */
void updateColdLimit(roster_control &control, steady_time now);

} // namespace quetzalspool

#endif // COLD_CONTROL_H
