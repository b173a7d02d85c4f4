/** @file cold_limit_cmd.cpp The limit on the requests that reach the local target while it is cold. */
#include "cold_limit_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using seconds = std::chrono::duration<double>;

constexpr std::chrono::seconds boundTime{1}; ///< The bound holds in any span of this length.
constexpr double minBurst = 1; ///< Tokens; with fewer, no request would ever be admitted.
constexpr double maxBurstSeconds = 0.5; ///< A bucket holds at most the tokens of this time.
constexpr double handOverMargin = 0.75; ///< Share of the requests above the rate that the hand-over uses; the rest
                                        ///< is for varying delays between the hand-over and the target.
constexpr double admissionMargin = 0.375; ///< The same for admission, so that few requests fail at the hand-over.
constexpr milliseconds reportDelay{100}; ///< A report that comes this soon after a sign of a restart may be older.
constexpr milliseconds noticeTime{1000}; ///< Reports don't end what a response said this recently: they may be older.
constexpr milliseconds maxColdTime{60000}; ///< A longer time in a response is not believed; reports follow soon.
constexpr double tokenTolerance = 1e-6; ///< Rounding error of the refill.

/** Requests above the rate that the bound allows in one second. */
double marginOf(const cold_limit &limit)
{
    return limit.perSecond * limit.bound.over + limit.bound.slack - limit.perSecond;
}

double burstFor(const cold_limit &limit, double margin)
{
    return std::max(std::min(marginOf(limit) * margin, limit.perSecond * maxBurstSeconds), minBurst);
}

double availableTokens(const cold_limit &limit, const cold_bucket &bucket, double margin, steady_time now)
{
    const auto refill = limit.perSecond * seconds(now - bucket.refilledAt).count();
    return std::min(bucket.tokens + refill, burstFor(limit, margin));
}

/**
 * Takes a token. After many requests to a target that was not cold, the bucket owes as many as keep the next second
 * without a request; more would not make the bound safer.
 */
void takeFrom(const cold_limit &limit, cold_bucket &bucket, double margin, steady_time now)
{
    const auto floor = -limit.perSecond * seconds(boundTime).count();
    bucket.tokens = std::max(availableTokens(limit, bucket, margin, now) - 1, floor);
    bucket.refilledAt = now;
}

bool hasTokenIn(const cold_limit &limit, const cold_bucket &bucket, double margin, steady_time now)
{
    return !isCold(limit, now) || availableTokens(limit, bucket, margin, now) >= 1 - tokenTolerance;
}

} // namespace

void setColdRate(cold_limit &limit, double perSecond, const cold_bound &bound, steady_time startedAt, steady_time now)
{
    if (limit.perSecond == perSecond && limit.bound == bound) {
        return;
    }
    const bool isFirst = limit.perSecond <= 0;
    if (isFirst) {
        const auto idleSince = std::max(startedAt, limit.lastHandOverAt);
        const auto left = std::max(seconds(idleSince + boundTime - now).count(), 0.0);
        limit.admitted = {-perSecond * left, now};
        limit.handedOver = limit.admitted;
    } else {
        // Tokens collected at the rate before are kept as far as the new limit allows.
        limit.admitted = {availableTokens(limit, limit.admitted, admissionMargin, now), now};
        limit.handedOver = {availableTokens(limit, limit.handedOver, handOverMargin, now), now};
    }
    limit.perSecond = perSecond;
    limit.bound = bound;
}

void applyColdReport(cold_limit &limit, std::optional<milliseconds> coldFor, bool restarted, steady_time now)
{
    if (restarted || now - limit.uncertainSince >= reportDelay) {
        limit.uncertain = false;
    }
    if (!coldFor) {
        return;
    }
    const bool wasCold = now < limit.coldUntil;
    const auto said = now + std::max(*coldFor, milliseconds(0));
    if (!restarted && now - limit.saidByResponseAt < noticeTime) {
        limit.coldUntil = std::max(said, std::min(limit.coldUntil, limit.saidByResponseAt + noticeTime));
    } else if (wasCold || said > now) {
        limit.coldUntil = said;
    }
}

void applyColdNotice(cold_limit &limit, milliseconds coldFor, steady_time now)
{
    if (coldFor > milliseconds(0)) {
        limit.coldUntil = std::max(limit.coldUntil, now + std::min(coldFor, maxColdTime));
        limit.saidByResponseAt = now;
    }
}

void noteMayBeCold(cold_limit &limit, steady_time now)
{
    limit.uncertain = true;
    limit.uncertainSince = now;
}

bool isCold(const cold_limit &limit, steady_time now)
{
    const bool wasEverCold = limit.coldUntil != steady_time{};
    return limit.perSecond > 0 && (limit.uncertain || (wasEverCold && now < limit.coldUntil + boundTime));
}

bool hasColdToken(const cold_limit &limit, steady_time now)
{
    return hasTokenIn(limit, limit.admitted, admissionMargin, now);
}

void takeColdToken(cold_limit &limit, steady_time now)
{
    if (limit.perSecond > 0) {
        takeFrom(limit, limit.admitted, admissionMargin, now);
    }
}

bool takeHandOverToken(cold_limit &limit, steady_time now)
{
    const bool allowed = hasTokenIn(limit, limit.handedOver, handOverMargin, now);
    if (allowed && limit.perSecond > 0) {
        takeFrom(limit, limit.handedOver, handOverMargin, now);
    }
    limit.lastHandOverAt = allowed ? now : limit.lastHandOverAt;
    limit.refusals += allowed ? 0 : 1;
    return allowed;
}

milliseconds predictedColdWait(const cold_limit &limit, std::size_t before, steady_time now)
{
    if (!isCold(limit, now)) {
        return milliseconds(0);
    }
    const auto missing = static_cast<double>(before + 1) - availableTokens(limit, limit.admitted, admissionMargin, now);
    auto wait = std::min(seconds(std::max(missing, 0.0) / limit.perSecond), seconds(std::chrono::hours(1)));
    if (!limit.uncertain) {
        wait = std::min(wait, seconds(limit.coldUntil + boundTime - now));
    }
    return std::chrono::ceil<milliseconds>(wait);
}

double coldConcurrency(const cold_limit &limit, std::chrono::duration<double, std::milli> service, double slots,
                       steady_time now)
{
    return isCold(limit, now) ? std::min(slots, limit.perSecond * seconds(service).count()) : slots;
}

} // namespace quetzalspool
