/** @file call_follower.h Recognizes the calls of the local target, and throttles fresh requests whose calls fail. */
#ifndef CALL_FOLLOWER_H
#define CALL_FOLLOWER_H

#include "outcome_type.h"
#include "request_log.h"
#include "shared_base.h"

namespace quetzalspool {

/**
 * Recognizes a call: a request of the local target while it works on another one, by its id.
 * @param shared Shared state.
 * @param id Id of the request.
 * @return Rank of the call, or nothing if it is a fresh request or calls are not followed.
 */
std::optional<std::uint32_t> rankIfCall(daemon_shared &shared, const std::string &id);

/**
 * Marks a request from a caller as a call or a fresh request, if calls are followed.
 * @param shared Shared state.
 * @param request Request; updated.
 * @param callRank Rank if it is a call.
 * @param retryAge Estimated time since the caller's first attempt.
 */
void markCall(const daemon_shared &shared, routed_request &request, const std::optional<std::uint32_t> &callRank,
              milliseconds retryAge);

/**
 * Records the end of a call of the local target. Does nothing for a fresh request.
 * @param shared Shared state.
 * @param trace Request.
 * @param outcome How it ended.
 * @param now Current time.
 */
void recordCallEnd(daemon_shared &shared, const request_trace &trace, const request_outcome &outcome, steady_time now);

/**
 * Decides whether a request at the local target is throttled. The caller holds the lock of admission unless it passes
 * copies.
 * @param shared Shared state, of which only the settings are used.
 * @param admission Admission of the local target.
 * @param throttle Throttle; changed.
 * @param request Request.
 * @param now Current time.
 * @return Decision.
 */
throttle_decision decideThrottle(const daemon_shared &shared, const admission_state &admission, call_throttle &throttle,
                                 const routed_request &request, steady_time now);

/**
 * Refuses a fresh request at the local target if its route is throttled. The caller holds the lock of admission.
 * @param shared Shared state.
 * @param request Request.
 * @param now Current time.
 * @return The refusal, or nothing if the request goes on to admission.
 */
std::optional<admission_result> throttleRequest(daemon_shared &shared, const routed_request &request, steady_time now);

/** How the local target has ended a request. */
struct target_end
{
    unsigned status = 0; ///< Status of its response; 0 if there was none.
    steady_time startedAt{}; ///< When the request was handed over.
};

/**
 * Records that the local target has ended a fresh request. Does nothing for a call.
 * @param shared Shared state.
 * @param request Request.
 * @param outcome How it ended.
 * @param end What the target did.
 * @param now Current time.
 */
void recordTargetEnd(daemon_shared &shared, const routed_request &request, const request_outcome &outcome,
                     const target_end &end, steady_time now);

} // namespace quetzalspool

#endif // CALL_FOLLOWER_H
