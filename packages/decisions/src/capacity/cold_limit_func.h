/** @file cold_limit_func.h The limit on the requests that reach the local target while it is cold. */
#ifndef COLD_LIMIT_FUNC_H
#define COLD_LIMIT_FUNC_H

#include "cold_limit_base.h"

#include <optional>

namespace quetzalspool {

/**
 * Sets the rate and the bound. If there was no limit before, there are no tokens until one second after the last
 * hand-over, which may be one of an earlier run of this daemon just before it ended.
 * @param limit Limit.
 * @param perSecond Requests per second that the target takes while it is cold; 0 for no limit.
 * @param bound Bound on the requests in any one second.
 * @param startedAt Start of this daemon.
 * @param now Present time.
 */
void setColdRate(cold_limit &limit, double perSecond, const cold_bound &bound, steady_time startedAt, steady_time now);

/**
 * Applies a report of the target. It ends the uncertainty unless it came so soon after the sign of a restart that the
 * target may have sent it before.
 * @param limit Limit.
 * @param coldFor Time for which the target will still be cold; empty if its reports don't say.
 * @param restarted Whether it is the first report of an incarnation.
 * @param now Present time.
 */
void applyColdReport(cold_limit &limit, std::optional<milliseconds> coldFor, bool restarted, steady_time now);

/**
 * Applies that a response says that the target is cold. A response never ends this, since it may be late.
 * @param limit Limit.
 * @param coldFor Time for which the target will still be cold.
 * @param now Present time.
 */
void applyColdNotice(cold_limit &limit, milliseconds coldFor, steady_time now);

/**
 * Treats the target as cold until its next report: its connection was refused or reset, so it may have restarted, or
 * the drain of its failure domain has ended.
 * @param limit Limit.
 * @param now Present time.
 */
void noteMayBeCold(cold_limit &limit, steady_time now);

/**
 * Returns whether the limit is in force: the target is cold, may be, or was within the last second. Every second that
 * overlaps the cold time keeps the bound.
 * @param limit Limit.
 * @param now Present time.
 * @return True if it is in force; false without a limit.
 */
bool isCold(const cold_limit &limit, steady_time now);

/**
 * Returns whether a request may be admitted.
 * @param limit Limit.
 * @param now Present time.
 * @return True if there is a token, or the target is not cold.
 */
bool hasColdToken(const cold_limit &limit, steady_time now);

/**
 * Takes the token of a request that is admitted.
 * @param limit Limit.
 * @param now Present time.
 */
void takeColdToken(cold_limit &limit, steady_time now);

/**
 * Takes the token of a request that is about to be handed over.
 * @param limit Limit.
 * @param now Present time.
 * @return Whether it may be handed over.
 */
bool takeHandOverToken(cold_limit &limit, steady_time now);

/**
 * Predicts how long a request waits for its token.
 * @param limit Limit.
 * @param before Requests that take a token before it.
 * @param now Present time.
 * @return Time in milliseconds, at most until the target is warm; 0 if it is not cold.
 */
milliseconds predictedColdWait(const cold_limit &limit, std::size_t before, steady_time now);

/**
 * Returns the concurrency that the limit sustains (Little's law).
 * @param limit Limit.
 * @param service Mean service time.
 * @param slots Concurrency of the target without a limit.
 * @param now Present time.
 * @return Concurrency, at most `slots`.
 */
double coldConcurrency(const cold_limit &limit, std::chrono::duration<double, std::milli> service, double slots,
                       steady_time now);

} // namespace quetzalspool

#endif // COLD_LIMIT_FUNC_H
