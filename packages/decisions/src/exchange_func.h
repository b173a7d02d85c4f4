/** @file exchange_func.h Decisions about changes told from daemon to daemon: what may be told, and what it proves. */
#ifndef EXCHANGE_FUNC_H
#define EXCHANGE_FUNC_H

#include "exchange_base.h"
#include "mirror_type.h"
#include "roster_base.h"

namespace quetzalspool {

/**
 * Tells whether this daemon has heard of the store lately enough to tell others of it.
 * @param exchange State of the exchange.
 * @param now Present time.
 * @return Whether it has.
 */
bool isFresh(const exchange_state &exchange, steady_time now);

/**
 * Tells whether others have told of all changes until a moment ago, so that the store need not be watched. What counts
 * is when the store was heard at the start of the chain, not when the last daemon of it answered: a chain whose first
 * daemon is lost goes stale everywhere at once.
 * @param exchange State of the exchange.
 * @param now Present time.
 * @return Whether they have.
 */
bool isUpstreamCurrent(const exchange_state &exchange, steady_time now);

/**
 * Tells until when isUpstreamCurrent holds if nobody tells more.
 * @param exchange State of the exchange.
 * @return That moment.
 */
steady_time upstreamCurrentUntil(const exchange_state &exchange);

/**
 * Notes that nobody is left to tell of changes.
 * @param exchange State of the exchange.
 */
void clearUpstreamWatermark(exchange_state &exchange);

/**
 * Notes that the store has answered a call other than a watch. If all watches were under way by then, they have told of
 * all changes that were made before.
 * @param exchange State of the exchange.
 * @param sentAt Moment before the call was sent.
 */
void advanceWatchWatermark(exchange_state &exchange, steady_time sentAt);

/**
 * Chooses how often the own store lease is renewed: more often where others rest on what this daemon reads, since each
 * answer of the store shows them that its way there is open, and a renewal is the cheapest call.
 * @param exchange State of the exchange.
 * @param roster Roster.
 * @param now Present time.
 */
void setRenewalRate(const exchange_state &exchange, roster_state &roster, steady_time now);

/**
 * Tells whether other daemons rest on what this one reads of the store.
 * @param exchange State of the exchange.
 * @param roster Roster.
 * @param now Present time.
 * @return Whether it asks the store, and others ask it or should.
 */
bool servesFollowers(const exchange_state &exchange, const roster_state &roster, steady_time now);

/**
 * Notes that this daemon has listed all entries in the store, and that its mirror has taken them.
 * @param exchange State of the exchange.
 * @param sentAt Moment before the list was asked for.
 */
void recordVerification(exchange_state &exchange, steady_time sentAt);

/**
 * Makes the answer to a question, as far as it doesn't lie in the mirrors.
 * @param exchange State of the exchange, fresh.
 * @param timing Margin for clocks that run at different rates.
 * @param arrivedAt Arrival of the question.
 * @return From then to the moment at which all entries were listed, less the margin.
 */
milliseconds verifiedOffset(const exchange_state &exchange, const roster_timing &timing, steady_time arrivedAt);

/**
 * Makes the other half of the answer: up to when all changes are known.
 * @param exchange State of the exchange.
 * @param arrivedAt Arrival of the question.
 * @return From then to that moment; negative if it was before.
 */
milliseconds watermarkOffset(const exchange_state &exchange, steady_time arrivedAt);

/**
 * Takes what an answer proves.
 * @param exchange State of the exchange.
 * @param roster Roster.
 * @param response Answer, whose changes the mirrors have taken.
 * @param mirrorsMatch Whether the mirrors now know what those of the daemon that answered do. Only what that one knows
 * to be there was verified; more than that must not be told on.
 * @param requestedAt Moment before the question was sent.
 * @param now Present time.
 */
void applyVerification(exchange_state &exchange, roster_state &roster, const changes_response &response,
                       bool mirrorsMatch, steady_time requestedAt, steady_time now);

} // namespace quetzalspool

#endif // EXCHANGE_FUNC_H
