/** @file load_type.h Open-loop load with a recorded history. */
#ifndef LOAD_TYPE_H
#define LOAD_TYPE_H

#include "base_type.h"

#include <vector>

namespace quetzalspool {

/** What load to make. */
struct load_options
{
    std::vector<endpoint> callers; ///< Caller ports, used in turn.
    double rate = 100; ///< Requests a second.
    std::chrono::seconds duration{5}; ///< How long.
    std::string path = "/formulas/{key}"; ///< Path of lookups; {key} is replaced.
    std::string orderPath; ///< Path of orders; the lookups' path if empty.
    double orderShare = 0; ///< Share of orders.
    std::uint64_t keys = 1000; ///< Number of keys.
    std::uint64_t seed = 1; ///< Seed of keys and kinds.
    milliseconds timeout{5000}; ///< Bound on one request.
    std::string history; ///< File for a JSON line per request; empty for none.
    bool progress = true; ///< Whether to show progress on standard error.
};

/** Figures of one class of requests. */
struct request_statistics
{
    std::uint64_t answered = 0; ///< Whole answers of a target.
    std::uint64_t notRun = 0; ///< Refused, proved not run.
    std::uint64_t unknown = 0; ///< Outcome unknown.
    std::uint64_t broken = 0; ///< No whole answer from the daemon.
    std::vector<double> latenciesMs; ///< Of answered requests, sorted.
};

/** Figures of a run. */
struct load_result
{
    request_statistics lookups; ///< Lookups.
    request_statistics orders; ///< Orders.
    double seconds = 0; ///< How long it took.
};

/**
 * Makes load: requests start at their times, however long earlier ones take.
 * @param options What load to make.
 * @return Figures.
 */
load_result runLoad(const load_options &options);

/**
 * Formats figures as one JSON object.
 * @param result Figures.
 * @return JSON text.
 */
std::string formatLoad(const load_result &result);

} // namespace quetzalspool

#endif // LOAD_TYPE_H
