/** @file local_attempt.h Attempts at the local target. */
#ifndef LOCAL_ATTEMPT_H
#define LOCAL_ATTEMPT_H

#include "outcome_type.h"
#include "shared_base.h"
#include "target_func.h"

namespace quetzalspool {

/**
 * Makes the request for admission of an attempt at the local target.
 * @param shared Shared state, of which only the settings are used.
 * @param request Request.
 * @return What admission depends on, without an id.
 */
admission_request makeAdmissionRequest(const daemon_shared &shared, const routed_request &request);

/**
 * Admits a request, hands it to the local target and forwards the response.
 * @param shared Shared state.
 * @param targets Target connections of this thread.
 * @param request Request.
 * @param sink Where the response is written.
 * @return How it ended.
 */
asio::awaitable<request_outcome> attemptLocally(daemon_shared &shared, std::shared_ptr<target_client> targets,
                                                std::shared_ptr<const routed_request> request,
                                                std::shared_ptr<response_sink> sink);

/**
 * Cancels an attempt unless it was handed over.
 * @param shared Shared state.
 * @param incarnation Incarnation of this daemon that received the attempt; another one has no record of it.
 * @param id Request id.
 * @param attempt Token of the attempt.
 * @return Whether the attempt certainly did not and will not run.
 */
bool cancelLocalAttempt(daemon_shared &shared, incarnation_id incarnation, const std::string &id,
                        const std::string &attempt);

} // namespace quetzalspool

#endif // LOCAL_ATTEMPT_H
