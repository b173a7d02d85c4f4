/** @file header_profile.h Names of the headers between callers, daemons' entries and targets. */
#ifndef HEADER_PROFILE_H
#define HEADER_PROFILE_H

#include <string>

namespace quetzalspool {

/** Header names of one deployment. The defaults are the product's own; an empty name is not sent. */
struct header_profile
{
    std::string requestId = "Quetzalspool-Request-Id"; ///< Id of a request, from the caller and to the target.
    std::string deadline = "Quetzalspool-Deadline-Ms"; ///< Milliseconds that the sender still waits.
    std::string notRun = "Quetzalspool-Not-Run"; ///< In a target's answer: it did not run the request.
    std::string outcome = "Quetzalspool-Outcome"; ///< In an answer: what became of the request.
    std::string reason = "Quetzalspool-Reason"; ///< In a refusal: why.
    std::string retryAfterMs = "Quetzalspool-Retry-After-Ms"; ///< In a refusal: when to come back.
    std::string pool = "Quetzalspool-Pool"; ///< To the target: the pool that is meant.
    std::string key = "Quetzalspool-Key"; ///< To the target: the key.
    std::string slot = "Quetzalspool-Slot"; ///< To the target: the slot.
    std::string fence = "Quetzalspool-Fence"; ///< To the target: the fence of the slot.
    std::string callerPool; ///< To the target: pool of the target on whose machine the request began.
    std::string expectedTarget; ///< To the target: the life that is meant; another one refuses.
    bool composeRequestIds =
        true; ///< Whether targets get the composed request id; else the caller's goes on unchanged.
    bool acceptUnframedResponses = false; ///< Whether a target's answer may end with its connection, without a length.
    bool fractionalRetryAfter = false; ///< Whether callers take fractions of a second in Retry-After.
};

} // namespace quetzalspool

#endif // HEADER_PROFILE_H
