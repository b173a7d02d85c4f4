/** @file exchange_cmd.cpp Decisions about changes told from daemon to daemon. */
#include "exchange_func.h"

#include "roster_func.h"
#include "upstream_func.h"

#include <algorithm>
#include <cassert>

namespace quetzalspool {

namespace {

constexpr milliseconds maxUpstreamAge{1250}; ///< Without news for this long the store is watched: two renewals of the
                                             ///< daemon that reads it, and the way here.
constexpr milliseconds maxVerificationAge{4000}; ///< A daemon that knows the store only as it was before tells nothing.
constexpr milliseconds followerTimeout{3000}; ///< A daemon that another one asked within this time reads for it too.

} // namespace

bool isFresh(const exchange_state &exchange, steady_time now)
{
    return exchange.verifiedAt && now - *exchange.verifiedAt < maxVerificationAge;
}

bool isUpstreamCurrent(const exchange_state &exchange, steady_time now)
{
    return now < upstreamCurrentUntil(exchange);
}

steady_time upstreamCurrentUntil(const exchange_state &exchange)
{
    return exchange.upstreamWatermark + maxUpstreamAge;
}

void clearUpstreamWatermark(exchange_state &exchange)
{
    exchange.upstreamWatermark = {};
}

void advanceWatchWatermark(exchange_state &exchange, steady_time sentAt)
{
    if (exchange.watchedSince && sentAt >= *exchange.watchedSince && sentAt > exchange.watchWatermark) {
        exchange.watchWatermark = sentAt;
        ++exchange.version;
    }
}

void setRenewalRate(const exchange_state &exchange, roster_state &roster, steady_time now)
{
    roster.lease.renewsOften = exchange.watchedSince && now - exchange.lastRequestAt < followerTimeout;
}

bool servesFollowers(const exchange_state &exchange, const roster_state &roster, steady_time now)
{
    return !isUpstreamCurrent(exchange, now)
        && (upstreamsOf(roster).empty() || now - exchange.lastRequestAt < followerTimeout);
}

void recordVerification(exchange_state &exchange, steady_time sentAt)
{
    if (!exchange.verifiedAt || sentAt > *exchange.verifiedAt) {
        exchange.verifiedAt = sentAt;
        ++exchange.version;
    }
}

milliseconds verifiedOffset(const exchange_state &exchange, const roster_timing &timing, steady_time arrivedAt)
{
    assert(exchange.verifiedAt);
    const auto offset = std::chrono::floor<milliseconds>(*exchange.verifiedAt - arrivedAt);
    return offset - std::chrono::abs(offset) * timing.driftPercent / 100;
}

milliseconds watermarkOffset(const exchange_state &exchange, steady_time arrivedAt)
{
    const auto watermark = std::max(exchange.upstreamWatermark, exchange.watchWatermark);
    return std::chrono::floor<milliseconds>(watermark - arrivedAt);
}

void applyVerification(exchange_state &exchange, roster_state &roster, const changes_response &response,
                       bool mirrorsMatch, steady_time requestedAt, steady_time now)
{
    // The question arrived after it was sent, so this moment is no later than the one meant.
    const auto verifiedAt = requestedAt + response.verifiedOffset;
    if (mirrorsMatch) {
        recordVerification(exchange, verifiedAt);
    }
    applyEntryVerification(roster, response.entryRevision, verifiedAt);
    const auto upstreamWatermark = std::min(requestedAt + response.watermarkOffset, now);
    if (upstreamWatermark > exchange.upstreamWatermark) {
        exchange.upstreamWatermark = upstreamWatermark;
        ++exchange.version; // Others may wait for just this word.
    }
}

} // namespace quetzalspool
