/** @file load.cpp Open-loop load generator that records a request history. */
#include "load_type.h"

#include "http_client.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace quetzalspool {

namespace {

using clock = std::chrono::steady_clock;
using json = nlohmann::json;

constexpr std::chrono::seconds progressInterval{1};

/** State of one load run. */
struct load_run
{
    const load_options &options; ///< Options of the run.
    asio::io_context context{1}; ///< Event loop of the run, on one thread.
    std::shared_ptr<http_connection_pool> pool = makeHttpConnectionPool(); ///< Idle connections for reuse.
    std::mt19937_64 random; ///< Chooses the keys and whether a request is an order.
    std::ofstream history; ///< Request history.
    load_result result; ///< Statistics.
    std::uint64_t started = 0; ///< Requests started.
    std::uint64_t inFlight = 0; ///< Requests without a final outcome yet.
};

std::int64_t microseconds(steady_time at)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
}

std::string substituteKey(std::string path, const std::string &key)
{
    const auto at = path.find("{key}");
    return at == std::string::npos ? path : path.replace(at, 5, key);
}

void recordOutcome(request_statistics &statistics, const std::string &outcome, double latencyMs)
{
    if (outcome == "answered") {
        ++statistics.answered;
        statistics.latenciesMs.push_back(latencyMs);
    } else if (outcome == "not-run") {
        ++statistics.notRun;
    } else if (outcome == "unknown") {
        ++statistics.unknown;
    } else {
        ++statistics.broken;
    }
}

/** Returns whether a response belongs to the request. Stand-in targets echo the path; other bodies can't be checked. */
bool matchesRequest(const http_response &response, const std::string &path)
{
    const auto body = json::parse(response.body.substr(0, response.body.find('\n')), nullptr, false);
    return !body.is_object() || !body.contains("path") || body.at("path") == path;
}

asio::awaitable<void> sendOneRequest(load_run &run, bool order, std::string key, std::string id, endpoint to)
{
    const auto &options = run.options;
    const auto path = substituteKey(order && !options.orderPath.empty() ? options.orderPath : options.path, key);
    http_request request{order ? "POST" : "GET", path, {{"Quetzalspool-Request-Id", id}}, order ? "{}" : ""};
    last_reason why;
    const auto startedAt = clock::now();
    const auto response = co_await sendRequest(run.pool, to, std::move(request), options.timeout, why);
    const auto endedAt = clock::now();
    auto outcome = response ? findHeader(response->headers, "Quetzalspool-Outcome") : std::string("broken");
    if (response && outcome.empty()) {
        outcome = "answered"; // A target that is called directly sends no outcome header.
    }
    if (outcome == "answered" && !matchesRequest(*response, path)) {
        outcome = "crossed";
    }
    const auto latency = std::chrono::duration<double, std::milli>(endedAt - startedAt).count();
    recordOutcome(order ? run.result.orders : run.result.lookups, outcome, latency);
    if (run.history.is_open()) {
        const json line{{"start_us", microseconds(startedAt)},
                        {"end_us", microseconds(endedAt)},
                        {"method", order ? "POST" : "GET"},
                        {"key", key},
                        {"id", id},
                        {"to", toString(to)},
                        {"status", response ? response->status : 0},
                        {"outcome", outcome},
                        {"reason", response ? findHeader(response->headers, "Quetzalspool-Reason") : describe(why)}};
        run.history << line.dump() << '\n';
    }
    --run.inFlight;
}

asio::awaitable<void> startRequests(load_run &run)
{
    const auto &options = run.options;
    const auto startedAt = clock::now();
    auto nextProgress = startedAt + progressInterval;
    const auto total = static_cast<std::uint64_t>(options.rate * static_cast<double>(options.duration.count()));
    asio::steady_timer timer(run.context);
    for (; run.started < total; ++run.started) {
        const auto due = startedAt
            + std::chrono::duration_cast<clock::duration>(
                             std::chrono::duration<double>(static_cast<double>(run.started) / options.rate));
        if (due > clock::now()) {
            timer.expires_at(due);
            error_code code;
            co_await timer.async_wait(redirectError(code));
        }
        const bool order = std::uniform_real_distribution<>(0, 1)(run.random) < options.orderShare;
        const auto key = "k" + std::to_string(run.random() % options.keys);
        const auto id = std::to_string(options.seed) + "-" + std::to_string(run.started);
        ++run.inFlight;
        asio::co_spawn(run.context,
                       sendOneRequest(run, order, key, id, options.callers[run.started % options.callers.size()]),
                       asio::detached);
        if (options.progress && clock::now() >= nextProgress) {
            nextProgress += progressInterval;
            std::cerr << "started " << run.started << " of " << total << ", in flight " << run.inFlight << "\n";
        }
    }
}

double percentile(const std::vector<double> &sorted, double quantile)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto at = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
    return sorted[std::min(at, sorted.size() - 1)];
}

json toJson(const request_statistics &statistics)
{
    return {{"answered", statistics.answered},
            {"not_run", statistics.notRun},
            {"unknown", statistics.unknown},
            {"broken", statistics.broken},
            {"p50_ms", percentile(statistics.latenciesMs, 0.5)},
            {"p99_ms", percentile(statistics.latenciesMs, 0.99)},
            {"p999_ms", percentile(statistics.latenciesMs, 0.999)}};
}

} // namespace

load_result runLoad(const load_options &options)
{
    load_run run{options};
    run.random.seed(options.seed);
    if (!options.history.empty()) {
        run.history.open(options.history);
    }
    const auto startedAt = clock::now();
    asio::co_spawn(run.context, startRequests(run), asio::detached);
    run.context.run();
    run.result.seconds = std::chrono::duration<double>(clock::now() - startedAt).count();
    std::sort(run.result.lookups.latenciesMs.begin(), run.result.lookups.latenciesMs.end());
    std::sort(run.result.orders.latenciesMs.begin(), run.result.orders.latenciesMs.end());
    return std::move(run.result);
}

std::string formatLoad(const load_result &result)
{
    return json{{"lookups", toJson(result.lookups)}, {"orders", toJson(result.orders)}, {"seconds", result.seconds}}
        .dump();
}

} // namespace quetzalspool
