/** @file speed_exchange.h Exchange of the speeds and loads of targets between daemons. */
#ifndef SPEED_EXCHANGE_H
#define SPEED_EXCHANGE_H

#include "eligible_targets_func.h"
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
 * Returns how this daemon chooses targets in pools without keys.
 * @param settings Settings of the daemon.
 * @return By expected completion if speeds are learned, else by load.
 */
choice_rules choiceRules(const daemon_settings &settings);

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
