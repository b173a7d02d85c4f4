/** @file roster_metrics.h Metrics of the roster, and log lines about the dependencies of a daemon. */
#ifndef ROSTER_METRICS_H
#define ROSTER_METRICS_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Counts a call to the store by kind, result and path (direct or relayed), and records its duration by kind.
 * @param numbers Metrics.
 * @param call Call.
 */
void countCall(metrics &numbers, const store_call &call);

/**
 * Updates the gauges of ownership, nodes, store and tables, at most once a second.
 * @param control Control state.
 * @param now Present time.
 */
void setControlGauges(roster_control &control, steady_time now);

/**
 * Logs when the target stops or resumes reporting, and when the own lease, the right to grant keys, is lost or
 * regained.
 * @param control Control state.
 * @param now Present time.
 */
void logDependencyChanges(roster_control &control, steady_time now);

} // namespace quetzalspool

#endif // ROSTER_METRICS_H
