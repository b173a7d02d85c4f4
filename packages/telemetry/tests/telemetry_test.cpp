/** @file telemetry_test.cpp Export of metrics in the Prometheus text format. */
#include "metrics_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

TEST(metrics, printsCountersGaugesAndHistograms)
{
    const auto metricsRegistry = makeMetrics();
    countMetric(*metricsRegistry, "requests_total{outcome=\"answered\"}", 2);
    setGauge(*metricsRegistry, "slots_owned", 7);
    observeDuration(*metricsRegistry, "request_seconds", std::chrono::microseconds(1500));
    observeDuration(*metricsRegistry, "request_seconds", std::chrono::hours(1));
    const auto text = formatMetrics(*metricsRegistry);
    EXPECT_EQ(readCounter(*metricsRegistry, "requests_total{outcome=\"answered\"}"), 2U);
    EXPECT_NE(
        text.find("# TYPE quetzalspool_requests_total counter\nquetzalspool_requests_total{outcome=\"answered\"} 2"),
        std::string::npos);
    EXPECT_NE(text.find("quetzalspool_slots_owned 7\n"), std::string::npos);
    EXPECT_NE(text.find("quetzalspool_request_seconds_bucket{le=\"+Inf\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("quetzalspool_request_seconds_count 2\n"), std::string::npos);
}

} // namespace quetzalspool::test
