/** @file exchange_cmd.cpp Decisions about changes told from daemon to daemon. */
#include "exchange_func.h"

#include "roster_func.h"
#include "upstream_func.h"

#include <algorithm>
#include <cassert>

namespace quetzalspool {

namespace {

constexpr milliseconds toldFor{
    1250}; ///< After an answer the next one is awaited this long before the store is watched.
constexpr milliseconds freshLimit{4000}; ///< A daemon that knows the store only as it was before tells nothing.
constexpr milliseconds askedLately{3000}; ///< A daemon that another one asked within this time reads for it too.

} // namespace

bool isFresh(const exchange_state &exchange, steady_time now)
{
    return exchange.verifiedAt && now - *exchange.verifiedAt < freshLimit;
}

bool readsForOthers(const exchange_state &exchange, const roster_state &roster, steady_time now)
{
    const bool told = now < exchange.toldUntil;
    return !told && (upstreamsOf(roster).empty() || now - exchange.askedAt < askedLately);
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

void takeProof(exchange_state &exchange, roster_state &roster, const changes_answer &answer, bool same,
               steady_time askedAt, steady_time now)
{
    // The question arrived after it was sent, so this moment is no later than the one meant.
    const auto verifiedAt = askedAt + answer.verifiedAfter;
    if (same) {
        noteVerified(exchange, verifiedAt);
    }
    takeVerified(roster, answer.entry, verifiedAt);
    exchange.toldUntil = now + toldFor;
}

} // namespace quetzalspool
