/** @file roster_numbers.h Metrics of the roster, and lines about what a daemon rests on. */
#ifndef ROSTER_NUMBERS_H
#define ROSTER_NUMBERS_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Counts a call to the store by kind, result and way, and its time by kind.
 * @param numbers Metrics.
 * @param call Call.
 */
void countCall(metrics &numbers, const store_call &call);

/**
 * Sets the gauges of ownership, nodes, store and tables, at most once a second.
 * @param control Control state.
 * @param now Present time.
 */
void setControlGauges(roster_control &control, steady_time now);

/**
 * Logs when the target or the right to grant is lost or back, once each.
 * @param control Control state.
 * @param now Present time.
 */
void logDependencyChanges(roster_control &control, steady_time now);

} // namespace quetzalspool

#endif // ROSTER_NUMBERS_H
