/** @file metrics_func.h Counters, gauges and latency histograms, exported in the Prometheus text format. */
#ifndef METRICS_FUNC_H
#define METRICS_FUNC_H

#include "base_type.h"

#include <memory>

namespace quetzalspool {

/** Metrics registry of a process; thread-safe. */
struct metrics;

/**
 * Creates an empty metrics registry.
 * @return The registry.
 */
std::shared_ptr<metrics> makeMetrics();

/**
 * Increments a counter; creates it if it does not exist.
 * @param into Metrics registry.
 * @param name Name with labels, such as requests_total{outcome="answered"}.
 * @param amount Amount to add.
 */
void countMetric(metrics &into, const std::string &name, std::uint64_t amount = 1);

/**
 * Sets a counter that is kept elsewhere; creates it if it does not exist.
 * @param into Metrics registry.
 * @param name Name with labels.
 * @param value Value, not below the one before.
 */
void setCounter(metrics &into, const std::string &name, std::uint64_t value);

/**
 * Sets a gauge; creates it if it does not exist.
 * @param into Metrics registry.
 * @param name Name with labels.
 * @param value New value.
 */
void setGauge(metrics &into, const std::string &name, double value);

/**
 * Records a duration in a histogram with logarithmic bins.
 * @param into Metrics registry.
 * @param name Name with labels; the histogram is exported in seconds.
 * @param span Duration.
 */
void observeDuration(metrics &into, const std::string &name, std::chrono::microseconds span);

/**
 * Reads a counter.
 * @param from Metrics registry.
 * @param name Name with labels.
 * @return Value of the counter; 0 if it does not exist.
 */
std::uint64_t readCounter(metrics &from, const std::string &name);

/**
 * Formats all metrics in the Prometheus text exposition format.
 * @param from Metrics registry.
 * @return Formatted text.
 */
std::string formatMetrics(metrics &from);

} // namespace quetzalspool

#endif // METRICS_FUNC_H
