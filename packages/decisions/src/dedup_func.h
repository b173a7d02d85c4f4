/** @file dedup_func.h Remembering requests so that none runs twice. */
#ifndef DEDUP_FUNC_H
#define DEDUP_FUNC_H

#include "dedup_base.h"

namespace quetzalspool {

/** What the ledger says about an arriving request. */
enum class dedup_result
{
    accepted, ///< It may go on.
    duplicate, ///< The same request is under way or has run.
    cancelled, ///< It was cancelled before; it must not run.
    full, ///< Nothing more can be remembered now.
};

/**
 * Enters one attempt at a request.
 * @param state Ledger.
 * @param id Request id, the same for all attempts.
 * @param attempt Token of this attempt, never used again.
 * @param now Present time.
 * @return Whether it may go on.
 */
dedup_result registerAttempt(dedup_state &state, const std::string &id, const std::string &attempt, steady_time now);

/**
 * Moves an entered attempt on.
 * @param state Ledger.
 * @param id Request id.
 * @param attempt Token of the attempt.
 * @param stage New stage.
 * @return False if the attempt was cancelled meanwhile, so that it must not be handed over.
 */
bool advanceAttempt(dedup_state &state, const std::string &id, const std::string &attempt, dedup_stage stage);

/**
 * Cancels an attempt unless it was handed over. An attempt not yet seen is remembered, so that a late copy can't run.
 * @param state Ledger.
 * @param id Request id.
 * @param attempt Token of the attempt.
 * @param now Present time.
 * @return Whether it is proved that the attempt did not and will not run.
 */
bool cancelAttempt(dedup_state &state, const std::string &id, const std::string &attempt, steady_time now);

} // namespace quetzalspool

#endif // DEDUP_FUNC_H
