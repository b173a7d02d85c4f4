/** @file exchange_cmd.cpp Exchange of store changes between daemons. */
#include "exchange_func.h"

#include "roster_func.h"
#include "upstream_func.h"

#include <algorithm>
#include <cassert>

namespace quetzalspool {

namespace {

constexpr milliseconds maxUpstreamAge{1250}; ///< Without a newer watermark for this long, the daemon watches the store.
                                             ///< Covers two renewals of the upstream reader and the transmission.
constexpr milliseconds maxVerificationAge{4000}; ///< Daemons with an older verification serve no changes.
constexpr milliseconds followerTimeout{3000}; ///< A daemon has followers until this long after the last request.

constexpr milliseconds followerPatience{500}; ///< Additional time before a daemon without followers watches the store.

/** Whether other daemons request changes from this one. */
bool hasFollowers(const exchange_state &exchange, steady_time now)
{
    return now - exchange.lastRequestAt < followerTimeout;
}

} // namespace

bool isFresh(const exchange_state &exchange, steady_time now)
{
    return exchange.verifiedAt && now - *exchange.verifiedAt < maxVerificationAge;
}

bool isUpstreamCurrent(const exchange_state &exchange, steady_time now)
{
    return now < upstreamCurrentUntil(exchange, now);
}

steady_time upstreamCurrentUntil(const exchange_state &exchange, steady_time now)
{
    // If all daemons of a region turned to the store at once, a large value would be sent to each over the slow link.
    // Those that serve others turn first, and these then have an upstream again.
    const auto patience = hasFollowers(exchange, now) ? milliseconds(0) : followerPatience;
    return exchange.upstreamWatermark + maxUpstreamAge + patience;
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
    roster.lease.renewsOften = exchange.watchedSince && hasFollowers(exchange, now);
}

void confirmSoon(const exchange_state &exchange, roster_state &roster, steady_time now)
{
    if (servesFollowers(exchange, roster, now)) {
        roster.lease.nextConfirm = std::min(roster.lease.nextConfirm, now);
    }
}

bool servesFollowers(const exchange_state &exchange, const roster_state &roster, steady_time now)
{
    return !isUpstreamCurrent(exchange, now) && (hasFollowers(exchange, now) || upstreamsOf(roster).empty());
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
    // The request arrived after it was sent, so this time is no later than the verification.
    const auto verifiedAt = requestedAt + response.verifiedOffset;
    if (mirrorsMatch) {
        recordVerification(exchange, verifiedAt);
    }
    applyEntryVerification(roster, response.entryRevision, verifiedAt);
    const auto upstreamWatermark = std::min(requestedAt + response.watermarkOffset, now);
    if (upstreamWatermark > exchange.upstreamWatermark) {
        exchange.upstreamWatermark = upstreamWatermark;
        ++exchange.version; // Waiting requests may need the watermark.
    }
}

} // namespace quetzalspool
