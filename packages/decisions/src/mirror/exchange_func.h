/** @file exchange_func.h Exchange of store changes between daemons: freshness, verification and what may be passed on.
 */
#ifndef EXCHANGE_FUNC_H
#define EXCHANGE_FUNC_H

#include "exchange_base.h"
#include "mirror_type.h"
#include "roster_base.h"

namespace quetzalspool {

/**
 * Checks whether this daemon's entries were verified recently enough to serve changes to other daemons.
 * @param exchange Exchange state.
 * @param now Current time.
 * @return True if they were.
 */
bool isFresh(const exchange_state &exchange, steady_time now);

/**
 * Checks whether upstream daemons deliver all changes, so that this daemon need not watch the store. The age is counted
 * from the read of the store by the first daemon of the chain, not from the last response: if that daemon is lost, the
 * whole chain becomes stale at the same time. A daemon from which none requests changes waits a little longer.
 * @param exchange Exchange state.
 * @param now Current time.
 * @return True if they do.
 */
bool isUpstreamCurrent(const exchange_state &exchange, steady_time now);

/**
 * Returns how long isUpstreamCurrent holds without a further response.
 * @param exchange Exchange state.
 * @param now Current time.
 * @return End of that time.
 */
steady_time upstreamCurrentUntil(const exchange_state &exchange, steady_time now);

/**
 * Clears the upstream watermark when no upstream is left.
 * @param exchange Exchange state.
 */
void clearUpstreamWatermark(exchange_state &exchange);

/**
 * Advances the watch watermark after the store has answered a call other than a watch. If all watches were open when
 * the call was sent, they have delivered all changes made before.
 * @param exchange Exchange state.
 * @param sentAt Time before the call was sent.
 */
void advanceWatchWatermark(exchange_state &exchange, steady_time sentAt);

/**
 * Sets how often the daemon's store lease is renewed: more often while it watches the store and other daemons have
 * requested changes lately, since each answer of the store advances their watermark and a renewal is the cheapest call.
 * @param exchange Exchange state.
 * @param roster Roster.
 * @param now Current time.
 */
void setRenewalRate(const exchange_state &exchange, roster_state &roster, steady_time now);

/**
 * Brings the next confirmation of the own entry forward when a daemon that serves others begins to watch the store: the
 * store's answer to a call shows the others that the watches are under way.
 * @param exchange Exchange state.
 * @param roster Roster.
 * @param now Current time.
 */
void confirmSoon(const exchange_state &exchange, roster_state &roster, steady_time now);

/**
 * Checks whether other daemons depend on this daemon's reads of the store.
 * @param exchange Exchange state.
 * @param roster Roster.
 * @param now Current time.
 * @return True if it reads the store, and other daemons request changes from it or are expected to.
 */
bool servesFollowers(const exchange_state &exchange, const roster_state &roster, steady_time now);

/**
 * Records that this daemon has listed all entries in the store and applied the listing to its mirror.
 * @param exchange Exchange state.
 * @param sentAt Time before the listing was requested.
 */
void recordVerification(exchange_state &exchange, steady_time sentAt);

/**
 * Returns the verification time for a response. It is sent as an offset, because daemons share no clock.
 * @param exchange Exchange state, which must be fresh.
 * @param timing Allowed clock drift.
 * @param arrivedAt Arrival of the request.
 * @return Milliseconds from the arrival to the verification, reduced by the drift margin.
 */
milliseconds verifiedOffset(const exchange_state &exchange, const roster_timing &timing, steady_time arrivedAt);

/**
 * Returns the watermark for a response: the time before which all changes are known.
 * @param exchange Exchange state.
 * @param arrivedAt Arrival of the request.
 * @return Milliseconds from the arrival to the watermark; negative if it was before.
 */
milliseconds watermarkOffset(const exchange_state &exchange, steady_time arrivedAt);

/**
 * Applies the verification and the watermark of a response.
 * @param exchange Exchange state.
 * @param roster Roster.
 * @param response Response, whose changes were applied to the mirrors before.
 * @param mirrorsMatch Whether the mirrors now equal those of the responding daemon. Only the entries known there were
 * verified; a daemon that knows others must not pass the verification on.
 * @param requestedAt Time before the request was sent.
 * @param now Current time.
 */
void applyVerification(exchange_state &exchange, roster_state &roster, const changes_response &response,
                       bool mirrorsMatch, steady_time requestedAt, steady_time now);

} // namespace quetzalspool

#endif // EXCHANGE_FUNC_H
