/** @file exchange_cmd.cpp Decisions about changes told from daemon to daemon. */
#include "exchange_func.h"

#include "roster_func.h"
#include "upstream_func.h"

#include <algorithm>
#include <cassert>

namespace quetzalspool {

namespace {

constexpr milliseconds toldFor{1250}; ///< Without news for this long the store is watched: two renewals of the daemon
                                      ///< that reads it, and the way here.
constexpr milliseconds freshLimit{4000}; ///< A daemon that knows the store only as it was before tells nothing.
constexpr milliseconds askedLately{3000}; ///< A daemon that another one asked within this time reads for it too.

} // namespace

bool isFresh(const exchange_state &exchange, steady_time now)
{
    return exchange.verifiedAt && now - *exchange.verifiedAt < freshLimit;
}

bool isTold(const exchange_state &exchange, steady_time now)
{
    return now < toldUntil(exchange);
}

steady_time toldUntil(const exchange_state &exchange)
{
    return exchange.toldAt + toldFor;
}

void endTold(exchange_state &exchange)
{
    exchange.toldAt = {};
}

void noteHeard(exchange_state &exchange, steady_time sentAt)
{
    if (exchange.watchedSince && sentAt >= *exchange.watchedSince && sentAt > exchange.readAt) {
        exchange.readAt = sentAt;
        ++exchange.version;
    }
}

void chooseRenewal(const exchange_state &exchange, roster_state &roster, steady_time now)
{
    roster.lease.renewsOften = exchange.watchedSince && now - exchange.askedAt < askedLately;
}

bool readsForOthers(const exchange_state &exchange, const roster_state &roster, steady_time now)
{
    return !isTold(exchange, now) && (upstreamsOf(roster).empty() || now - exchange.askedAt < askedLately);
}

void noteVerified(exchange_state &exchange, steady_time sentAt)
{
    if (!exchange.verifiedAt || sentAt > *exchange.verifiedAt) {
        exchange.verifiedAt = sentAt;
        ++exchange.version;
    }
}

milliseconds verifiedAfter(const exchange_state &exchange, const roster_timing &timing, steady_time arrivedAt)
{
    assert(exchange.verifiedAt);
    const auto after = std::chrono::floor<milliseconds>(*exchange.verifiedAt - arrivedAt);
    return after - std::chrono::abs(after) * timing.driftPercent / 100;
}

milliseconds knownAfter(const exchange_state &exchange, steady_time arrivedAt)
{
    const auto knownAt = std::max(exchange.toldAt, exchange.readAt);
    return std::chrono::floor<milliseconds>(knownAt - arrivedAt);
}

void takeProof(exchange_state &exchange, roster_state &roster, const changes_answer &answer, bool same,
               steady_time askedAt, steady_time now)
{
    // The question arrived after it was sent, so this moment is no later than the one meant.
    const auto verifiedAt = askedAt + answer.verifiedAfter;
    if (same) {
        noteVerified(exchange, verifiedAt);
    }
    applyEntryVerification(roster, answer.entry, verifiedAt);
    const auto toldAt = std::min(askedAt + answer.knownAfter, now);
    if (toldAt > exchange.toldAt) {
        exchange.toldAt = toldAt;
        ++exchange.version; // Others may wait for just this word.
    }
}

} // namespace quetzalspool
