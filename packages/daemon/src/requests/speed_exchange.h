/** @file speed_exchange.h Exchange of the speeds and loads of targets between daemons, and the choice of a target. */
#ifndef SPEED_EXCHANGE_H
#define SPEED_EXCHANGE_H

#include "balance_func.h"
#include "outcome_type.h"
#include "traffic_base.h"

namespace quetzalspool {

/** Load and speed of the local target. */
struct local_speed
{
    double loadPerSlot = 0; ///< Admitted and queued requests per slot.
    std::optional<double> serviceMs; ///< Expected service time; unset unless speeds are learned and it is known.
};

/**
 * Returns the load and speed of the local target, as reported to other daemons.
 * @param shared Shared state.
 * @param request Request, for whose kind the service time is expected.
 * @return Load and speed.
 */
local_speed currentSpeed(daemon_shared &shared, const routed_request &request);

/**
 * Chooses the target of an attempt in a pool without keys: by expected completion if speeds are learned, else by load.
 * @param thread Traffic thread.
 * @param members Targets of the pool.
 * @param tried Targets already tried.
 * @param reserved Regions whose targets other requests need; empty if the request is restricted itself.
 * @return The target, or null if none is left.
 */
const cell_member *chooseMemberOf(traffic_thread &thread, const std::vector<const cell_member *> &members,
                                  const std::set<instance_id> &tried, std::span<const region_id> reserved);

/**
 * Records the load and speed of a target that an attempt has shown.
 * @param thread Traffic thread.
 * @param member Target.
 * @param request Request.
 * @param outcome Outcome of the attempt.
 * @param now Current time.
 */
void recordReport(traffic_thread &thread, const cell_member &member, const routed_request &request,
                  const request_outcome &outcome, steady_time now);

} // namespace quetzalspool

#endif // SPEED_EXCHANGE_H
