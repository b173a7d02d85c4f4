/** @file rate_limit_func.h The rate limit that the local target names in its responses. */
#ifndef RATE_LIMIT_FUNC_H
#define RATE_LIMIT_FUNC_H

#include "rate_limit_base.h"
#include "target_notice.h"

namespace quetzalspool {

/**
 * Applies what a response says about the limit. A limit ends with a successful response that names none and answers a
 * request handed over after the limit was last named: an earlier one may have been written before the limit began.
 * @param limit Limit.
 * @param notice What the response says.
 * @param handedOverAt When its request was handed over.
 * @param now Present time.
 * @return What changed.
 */
limit_change applyLimitNotice(rate_limit &limit, const target_notice &notice, steady_time handedOverAt,
                              steady_time now);

/**
 * Returns the name of a change, as used in log lines.
 * @param change Change.
 * @return Its name.
 */
const char *nameOf(limit_change change);

} // namespace quetzalspool

#endif // RATE_LIMIT_FUNC_H
