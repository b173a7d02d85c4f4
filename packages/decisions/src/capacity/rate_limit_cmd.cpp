/** @file rate_limit_cmd.cpp The rate limit that the local target names in its responses. */
#include "rate_limit_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds burstTime{0.5}; ///< An idle target may get the tokens of this time at once.
constexpr double minBurst = 1; ///< Tokens; with fewer a slow target would never get a request.
constexpr double minPerSecond = 0.5; ///< A target that takes less is still sent a request at times: only its responses
                                     ///< show that the limit has ended.
constexpr seconds urgentSmoothingTime{2}; ///< Time constant of the rate of urgent requests.
constexpr double minNormalShare = 0.02; ///< Least share of the tokens assumed to be left for normal requests.
constexpr double tokenTolerance = 1e-6; ///< Rounding error of the refill.

double ratePerSecond(const rate_limit &limit)
{
    return std::max(*limit.perSecond, minPerSecond);
}

double availableTokens(const rate_limit &limit, steady_time now)
{
    const auto burst = std::max(ratePerSecond(limit) * burstTime.count(), minBurst);
    return std::min(limit.tokens + ratePerSecond(limit) * seconds(now - limit.refilledAt).count(), burst);
}

double urgentRate(const rate_limit &limit, steady_time now)
{
    return limit.urgentPerSecond * std::exp(-(seconds(now - limit.urgentUpdatedAt) / urgentSmoothingTime));
}

/** Tokens per second for requests of this urgency. */
double tokenRate(const rate_limit &limit, bool urgent, steady_time now)
{
    const auto rate = ratePerSecond(limit);
    return urgent ? rate : std::max(rate - urgentRate(limit, now), rate * minNormalShare);
}

milliseconds roundUp(seconds span)
{
    return std::chrono::ceil<milliseconds>(std::min(span, seconds(std::chrono::hours(1))));
}

/** Sets the limit. Tokens collected under the limit before are kept as far as the new one allows. */
void setLimit(rate_limit &limit, double perSecond, steady_time now)
{
    limit.tokens = limit.perSecond ? availableTokens(limit, now) : 0;
    limit.refilledAt = now;
    limit.perSecond = perSecond;
}

} // namespace

limit_change applyLimitNotice(rate_limit &limit, const target_notice &notice, steady_time handedOverAt, steady_time now)
{
    switch (notice.limit) {
    case limit_statement::unreadable:
        return limit_change::unreadable;
    case limit_statement::absent: {
        const bool ends = limit.perSecond && notice.succeeded && handedOverAt > limit.namedAt;
        if (ends) {
            limit.perSecond.reset();
        }
        return ends ? limit_change::ended : limit_change::none;
    }
    case limit_statement::named:
        break;
    }
    const auto before = limit.perSecond;
    setLimit(limit, notice.requestsPerSecond, now);
    limit.namedAt = now;
    if (!before) {
        return limit_change::begun;
    }
    return *before == notice.requestsPerSecond ? limit_change::none : limit_change::changed;
}

bool hasToken(const rate_limit &limit, steady_time now)
{
    return !limit.perSecond || availableTokens(limit, now) >= 1 - tokenTolerance;
}

void takeToken(rate_limit &limit, bool urgent, steady_time now)
{
    if (!limit.perSecond) {
        return;
    }
    limit.tokens = availableTokens(limit, now) - 1;
    limit.refilledAt = now;
    limit.urgentPerSecond = urgentRate(limit, now) + (urgent ? 1 / urgentSmoothingTime.count() : 0);
    limit.urgentUpdatedAt = now;
}

milliseconds predictedTokenWait(const rate_limit &limit, std::size_t before, bool urgent, steady_time now)
{
    if (!limit.perSecond) {
        return milliseconds(0);
    }
    const auto missing = static_cast<double>(before + 1) - availableTokens(limit, now);
    return roundUp(seconds(std::max(missing, 0.0) / tokenRate(limit, urgent, now)));
}

milliseconds planReturn(rate_limit &limit, milliseconds wait, bool urgent, steady_time deadline, steady_time now)
{
    if (!limit.perSecond) {
        return wait;
    }
    const auto interval = roundUp(seconds(1 / tokenRate(limit, urgent, now)));
    const auto at = std::max(limit.returnsPlannedUntil + interval, now + wait);
    if (at >= deadline) {
        return wait;
    }
    limit.returnsPlannedUntil = at;
    return std::chrono::duration_cast<milliseconds>(at - now);
}

double sustainedConcurrency(const rate_limit &limit, std::chrono::duration<double, std::milli> service, double slots)
{
    return limit.perSecond ? std::min(slots, ratePerSecond(limit) * seconds(service).count()) : slots;
}

const char *nameOf(limit_change change)
{
    switch (change) {
    case limit_change::none:
        return "none";
    case limit_change::begun:
        return "begun";
    case limit_change::changed:
        return "changed";
    case limit_change::ended:
        return "ended";
    case limit_change::unreadable:
        return "unreadable";
    }
    return "unknown";
}

} // namespace quetzalspool
