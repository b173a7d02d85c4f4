/** @file load_type.h Open-loop load generator that records a request history. */
#ifndef LOAD_TYPE_H
#define LOAD_TYPE_H

#include "base_type.h"

#include <vector>

namespace quetzalspool {

/** Options of a load run. */
struct load_options
{
    std::vector<endpoint> callers; ///< Caller ports, used round robin.
    double rate = 100; ///< Requests started per second.
    std::chrono::seconds duration{5}; ///< Time during which requests are started.
    std::string path = "/formulas/{key}"; ///< Path of lookups; {key} is replaced by the key.
    std::string orderPath; ///< Path of orders; the path of lookups if empty.
    double orderShare = 0; ///< Fraction of requests that are orders, 0 to 1.
    std::uint64_t keys = 1000; ///< Number of distinct keys.
    std::uint64_t seed = 1; ///< Seed for the choice of keys and orders.
    milliseconds timeout{5000}; ///< Time limit of one request.
    std::string history; ///< File that receives a JSON line per request; empty for none.
    bool progress = true; ///< Whether to print progress to standard error.
};

/** Statistics of one class of requests. */
struct request_statistics
{
    std::uint64_t answered = 0; ///< Complete responses of a target.
    std::uint64_t notRun = 0; ///< Refused, and certainly not executed.
    std::uint64_t unknown = 0; ///< Requests with an unknown outcome.
    std::uint64_t broken = 0; ///< No complete response from the daemon, or the response to another request.
    std::vector<double> latenciesMs; ///< Latencies of answered requests, sorted.
};

/** Statistics of a load run. */
struct load_result
{
    request_statistics lookups; ///< Statistics of lookups.
    request_statistics orders; ///< Statistics of orders.
    double seconds = 0; ///< Time until the last request ended.
};

/**
 * Runs an open-loop load: requests start at a fixed rate, regardless of how long earlier requests take.
 * @param options Options of the run.
 * @return Statistics.
 */
load_result runLoad(const load_options &options);

/**
 * Formats the statistics as one JSON object.
 * @param result Statistics.
 * @return JSON text.
 */
std::string formatLoad(const load_result &result);

} // namespace quetzalspool

#endif // LOAD_TYPE_H
