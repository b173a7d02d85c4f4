/** @file byte_metrics.h Metric of the bytes sent to other daemons and to the store. */
#ifndef BYTE_METRICS_H
#define BYTE_METRICS_H

#include "shared_base.h"

namespace quetzalspool {

/**
 * Copies the counters of sent bytes to the metrics registry. Called for each scrape, so that no thread that sends takes
 * the registry's lock.
 * @param shared Shared state.
 */
void showSentBytes(daemon_shared &shared);

} // namespace quetzalspool

#endif // BYTE_METRICS_H
