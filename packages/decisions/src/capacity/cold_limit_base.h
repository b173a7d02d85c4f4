/** @file cold_limit_base.h State of the limit on the requests that reach the local target while it is cold. */
#ifndef COLD_LIMIT_BASE_H
#define COLD_LIMIT_BASE_H

#include "base_type.h"

namespace quetzalspool {

/** Bound on the requests that a cold target gets in any one second. */
struct cold_bound
{
    double over = 1; ///< Factor on the requests per second that the target takes while it is cold.
    double slack = 0; ///< Requests allowed in addition.

    bool operator==(const cold_bound &) const = default;
};

/** Tokens of requests, which may become negative while the target is not cold. */
struct cold_bucket
{
    double tokens = 0; ///< Tokens at `refilledAt`.
    steady_time refilledAt{}; ///< Up to when tokens were added.
};

/**
 * Limit while the local target is cold: two token buckets, one for admission and one for the hand-over. Connecting
 * takes up to half a second, so requests that were admitted one by one can be handed over together. Both buckets count
 * requests at all times, so that they hold the right number of tokens when the target becomes cold.
 */
struct cold_limit
{
    double perSecond = 0; ///< Requests per second that the target takes while it is cold; 0 for no limit.
    cold_bound bound; ///< Bound that the limit keeps.
    cold_bucket admitted; ///< Requests admitted.
    cold_bucket handedOver; ///< Requests handed over.
    steady_time lastHandOverAt{}; ///< When a request was last handed over, also without a limit.
    steady_time coldUntil{}; ///< The target is cold until then, as far as it has said.
    steady_time saidByResponseAt{}; ///< When a response last said that the target is cold.
    bool uncertain = false; ///< Whether the target may have become cold since its last report.
    steady_time uncertainSince{}; ///< When that was last noticed.
    std::uint64_t refusals = 0; ///< Requests refused because they would have waited too long for a token.
};

} // namespace quetzalspool

#endif // COLD_LIMIT_BASE_H
