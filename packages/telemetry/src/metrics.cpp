/** @file metrics.cpp Metrics kept in Boost.Histogram. */
#include "metrics_func.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <set>
#include <sstream>

namespace quetzalspool {

namespace bh = boost::histogram;

namespace {

constexpr unsigned binCount = 48; ///< Number of bins of a latency histogram.
constexpr double minSeconds = 50e-6; ///< Lower bound of the first bin, in seconds.
constexpr double maxSeconds = 60.0; ///< Upper bound of the last bin, in seconds.
constexpr const char *namePrefix = "quetzalspool_";

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(log_axis(binCount, minSeconds, maxSeconds)));

/** Latency histogram, with the sum that the Prometheus text format requires. */
struct duration_series
{
    latency_histogram bins = bh::make_histogram(log_axis(binCount, minSeconds, maxSeconds)); ///< Observations per bin.
    double sum = 0; ///< Sum of all observations, in seconds.
};

/** Splits "name{labels}" into the name and the labels, without the braces. */
std::pair<std::string, std::string> splitName(const std::string &name)
{
    const auto brace = name.find('{');
    if (brace == std::string::npos) {
        return {name, ""};
    }
    return {name.substr(0, brace), name.substr(brace + 1, name.size() - brace - 2)};
}

/** Writes the TYPE comment before the first series of a metric. */
void writeType(std::ostream &out, std::set<std::string> &seen, const std::string &name, const char *type)
{
    if (seen.insert(name).second) {
        out << "# TYPE " << namePrefix << name << ' ' << type << '\n';
    }
}

void writeSeries(std::ostream &out, const std::string &name, const std::string &labels, const duration_series &series)
{
    const auto prefix = labels.empty() ? std::string() : labels + ",";
    const auto suffix = labels.empty() ? std::string() : "{" + labels + "}";
    double count = series.bins.at(-1);
    for (const auto &bin : bh::indexed(series.bins)) {
        count += *bin;
        out << namePrefix << name << "_bucket{" << prefix << "le=\"" << bin.bin().upper() << "\"} " << count << '\n';
    }
    count += series.bins.at(binCount);
    out << namePrefix << name << "_bucket{" << prefix << "le=\"+Inf\"} " << count << '\n';
    out << namePrefix << name << "_sum" << suffix << ' ' << series.sum << '\n';
    out << namePrefix << name << "_count" << suffix << ' ' << count << '\n';
}

} // namespace

struct metrics
{
    std::mutex mutex; ///< Guards all members.
    std::map<std::string, std::uint64_t> counters; ///< Counters by name with labels.
    std::map<std::string, double> gauges; ///< Gauges by name with labels.
    std::map<std::string, duration_series> durations; ///< Histograms by name with labels.
};

std::shared_ptr<metrics> makeMetrics()
{
    return std::make_shared<metrics>();
}

void countMetric(metrics &into, const std::string &name, std::uint64_t amount)
{
    const std::lock_guard lock(into.mutex);
    into.counters[name] += amount;
}

void setCounter(metrics &into, const std::string &name, std::uint64_t value)
{
    const std::lock_guard lock(into.mutex);
    into.counters[name] = value;
}

void setGauge(metrics &into, const std::string &name, double value)
{
    const std::lock_guard lock(into.mutex);
    into.gauges[name] = value;
}

void observeDuration(metrics &into, const std::string &name, std::chrono::microseconds span)
{
    const std::lock_guard lock(into.mutex);
    auto &series = into.durations[name];
    const auto seconds = std::chrono::duration<double>(span).count();
    series.bins(seconds);
    series.sum += seconds;
}

std::uint64_t readCounter(metrics &from, const std::string &name)
{
    const std::lock_guard lock(from.mutex);
    const auto found = from.counters.find(name);
    return found == from.counters.end() ? 0 : found->second;
}

std::string formatMetrics(metrics &from)
{
    const std::lock_guard lock(from.mutex);
    std::ostringstream out;
    std::set<std::string> seen;
    for (const auto &[name, value] : from.counters) {
        writeType(out, seen, splitName(name).first, "counter");
        out << namePrefix << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : from.gauges) {
        writeType(out, seen, splitName(name).first, "gauge");
        out << namePrefix << name << ' ' << value << '\n';
    }
    for (const auto &[name, series] : from.durations) {
        const auto [base, labels] = splitName(name);
        writeType(out, seen, base, "histogram");
        writeSeries(out, base, labels, series);
    }
    return out.str();
}

} // namespace quetzalspool
