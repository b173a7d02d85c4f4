/** @file local_attempt.h Running a request at the target beside this daemon. */
#ifndef LOCAL_ATTEMPT_H
#define LOCAL_ATTEMPT_H

#include "outcome_type.h"
#include "shared_base.h"
#include "target_func.h"

namespace quetzalspool {

/**
 * Admits a request, hands it to the target and passes the answer on.
 * @param shared Shared state.
 * @param targets Connections of this thread.
 * @param request Request.
 * @param sink Where the answer goes.
 * @return How it ended.
 */
asio::awaitable<request_outcome> attemptLocally(daemon_shared &shared, std::shared_ptr<target_client> targets,
                                                std::shared_ptr<const routed_request> request,
                                                std::shared_ptr<response_sink> sink);

/**
 * Cancels an attempt unless it was handed over.
 * @param shared Shared state.
 * @param run Run of this daemon that was sent the attempt; another run knows nothing of it.
 * @param id Request id.
 * @param attempt Token of the attempt.
 * @return Whether it is proved that it did not and will not run.
 */
bool cancelLocalAttempt(daemon_shared &shared, incarnation_id incarnation, const std::string &id,
                        const std::string &attempt);

} // namespace quetzalspool

#endif // LOCAL_ATTEMPT_H
