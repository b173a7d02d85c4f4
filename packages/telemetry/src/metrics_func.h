/** @file metrics_func.h Counters, gauges and latency histograms, printed in the Prometheus text format. */
#ifndef METRICS_FUNC_H
#define METRICS_FUNC_H

#include "base_type.h"

#include <memory>

namespace quetzalspool {

/** The metrics of a process. Safe to use from several threads. */
struct metrics;

/**
 * Makes an empty set of metrics.
 * @return The metrics.
 */
std::shared_ptr<metrics> makeMetrics();

/**
 * Adds to a counter.
 * @param into Metrics.
 * @param name Name with labels, such as requests_total{outcome="answered"}.
 * @param amount Amount.
 */
void countMetric(metrics &into, const std::string &name, std::uint64_t amount = 1);

/**
 * Sets a gauge.
 * @param into Metrics.
 * @param name Name with labels.
 * @param value Value.
 */
void setGauge(metrics &into, const std::string &name, double value);

/**
 * Adds a duration to a histogram with logarithmic bins.
 * @param into Metrics.
 * @param name Name with labels; the unit is seconds.
 * @param span Duration.
 */
void observeDuration(metrics &into, const std::string &name, std::chrono::microseconds span);

/**
 * Reads a counter.
 * @param from Metrics.
 * @param name Name with labels.
 * @return Its value, 0 if it does not exist.
 */
std::uint64_t readCounter(metrics &from, const std::string &name);

/**
 * Prints all metrics in the Prometheus text exposition format.
 * @param from Metrics.
 * @return Text.
 */
std::string formatMetrics(metrics &from);

} // namespace quetzalspool

#endif // METRICS_FUNC_H
