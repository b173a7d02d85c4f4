/** @file dedup_func.h Deduplication of requests that must not run twice. */
#ifndef DEDUP_FUNC_H
#define DEDUP_FUNC_H

#include "dedup_base.h"

namespace quetzalspool {

/** Result of the registration of an attempt. */
enum class dedup_result
{
    accepted, ///< The attempt may proceed.
    duplicate, ///< The same request is in progress or has run.
    cancelled, ///< The attempt was cancelled before it arrived and must not run.
    full, ///< The table is full.
};

/**
 * Registers an attempt at a request.
 * @param state Deduplication table.
 * @param id Request id, the same for all attempts.
 * @param attempt Token of this attempt, unique.
 * @param now Present time.
 * @param deadline When the request ends at the latest; its retention begins then.
 * @return Whether the attempt may proceed.
 */
dedup_result registerAttempt(dedup_state &state, const std::string &id, const std::string &attempt, steady_time now,
                             steady_time deadline);

/**
 * Updates the progress of a registered attempt.
 * @param state Deduplication table.
 * @param id Request id.
 * @param attempt Token of the attempt.
 * @param stage New stage.
 * @return False if the attempt was cancelled, refused, superseded or removed from the table, so that it must not be
 *         handed over.
 */
bool advanceAttempt(dedup_state &state, const std::string &id, const std::string &attempt, dedup_stage stage);

/**
 * Cancels an attempt unless it was handed over. An attempt that hasn't arrived yet is recorded as cancelled, so that a
 * delayed message can't start it. Later than the retention after its deadline, an attempt that was handed over is no
 * longer known, and the result proves nothing.
 * @param state Deduplication table.
 * @param id Request id.
 * @param attempt Token of the attempt.
 * @param now Present time.
 * @return Whether it is certain that the attempt has not run and will not.
 */
bool cancelAttempt(dedup_state &state, const std::string &id, const std::string &attempt, steady_time now);

} // namespace quetzalspool

#endif // DEDUP_FUNC_H
