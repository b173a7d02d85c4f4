/** @file routing_report_func.h Explains where a request would go, with the functions that route requests. */
#ifndef ROUTING_REPORT_FUNC_H
#define ROUTING_REPORT_FUNC_H

#include "eligible_targets_func.h"
#include "routing_report_base.h"

namespace quetzalspool {

/** A request to be explained, and the daemon that would route it. */
struct report_query
{
    std::string host; ///< Host of the request.
    std::string path; ///< Path of the request.
    pool_id pool; ///< Pool that was selected among those of its route.
    std::string key; ///< Key, for keyed pools.
    std::set<instance_id> tried; ///< Targets to which it was sent before.
    choice_rules rules; ///< How the daemon chooses targets in pools without keys.
    bool completeTables = false; ///< Whether the deployment has complete tables from an external source.
};

/**
 * Explains where a request would go now. Changes no state.
 * @param view View.
 * @param state Load balancing state.
 * @param query Request.
 * @param random Copy of the generator of random numbers with which a target would be chosen.
 * @param now Current time.
 * @return The report.
 */
routing_report explainRouting(const routing_view &view, const balance_state &state, const report_query &query,
                              std::mt19937_64 random, steady_time now);

/**
 * Returns the name of a result in outputs.
 * @param result Result.
 * @return Its name.
 */
const char *nameOf(report_result result);

/**
 * Returns the name of a distance in outputs.
 * @param distance Distance.
 * @return Its name.
 */
const char *nameOf(target_distance distance);

} // namespace quetzalspool

#endif // ROUTING_REPORT_FUNC_H
