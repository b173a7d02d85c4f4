/** @file header_profile.h Names and conventions of the HTTP headers between callers, the daemons that accept
 * their requests, and targets.
 */
#ifndef HEADER_PROFILE_H
#define HEADER_PROFILE_H

#include <string>

namespace quetzalspool {

/** Header names and conventions of one deployment, by default those of this project. Empty names are not sent. */
struct header_profile
{
    std::string requestId = "Quetzalspool-Request-Id"; ///< Request id, received from the caller and sent to the target.
    std::string deadline = "Quetzalspool-Deadline-Ms"; ///< Time left until the deadline of the sender, in milliseconds.
    std::string notRun = "Quetzalspool-Not-Run"; ///< In a target's response: it did not execute the request.
    std::string targetLimit = "Quetzalspool-Limit"; ///< In a target's response: requests per second that it takes.
    std::string targetCold = "Quetzalspool-Cold-Ms"; ///< In a target's response: milliseconds for which it is cold.
    std::string targetLoad = "Quetzalspool-Load"; ///< In a target's response: its load, as requests running, waiting,
                                                  ///< slots, and optionally the time of work in percent of the usual.
    std::string targetLeaving; ///< In a target's response: 1 if the target is leaving.
    std::string outcome = "Quetzalspool-Outcome"; ///< In a response: outcome of the request.
    std::string reason = "Quetzalspool-Reason"; ///< In a refusal: the reason.
    std::string retryAfterMs = "Quetzalspool-Retry-After-Ms"; ///< In a refusal: delay before a retry, in milliseconds.
    std::string pool = "Quetzalspool-Pool"; ///< To the target: the pool.
    std::string key = "Quetzalspool-Key"; ///< To the target: the key.
    std::string slot = "Quetzalspool-Slot"; ///< To the target: the slot.
    std::string fence = "Quetzalspool-Fence"; ///< To the target: fencing number of the slot.
    std::string callerPool; ///< To the target: pool of the target on whose instance the request originated.
    std::string expectedTarget; ///< To the target: the expected incarnation; any other one refuses the request.
    bool composeRequestIds = true; ///< Whether targets get a composed request id instead of the caller's.
    bool acceptUnframedResponses = false; ///< Whether responses of targets may end by closing the connection.
    bool refusalStatusesPromise = false; ///< Whether callers take 408, 421, 429 and 503 alone as "not run".
    bool fractionalRetryAfter = false; ///< Whether callers accept fractions of a second in Retry-After.
};

} // namespace quetzalspool

#endif // HEADER_PROFILE_H
