/** @file rate_limit_cmd.cpp The rate limit that the local target names in its responses. */
#include "rate_limit_func.h"

namespace quetzalspool {

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
    limit.perSecond = notice.requestsPerSecond;
    limit.namedAt = now;
    if (!before) {
        return limit_change::begun;
    }
    return *before == notice.requestsPerSecond ? limit_change::none : limit_change::changed;
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
