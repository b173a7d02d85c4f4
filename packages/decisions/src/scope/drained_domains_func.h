/** @file drained_domains_func.h Failure domains that the operator has taken out of service. */
#ifndef DRAINED_DOMAINS_FUNC_H
#define DRAINED_DOMAINS_FUNC_H

#include "drained_domains_base.h"

#include <optional>

namespace quetzalspool {

/**
 * Returns the time in which keyed requests are served after a drain began.
 * @param bound Time after which no request may reach a target of the domain.
 * @return Three quarters of it; the rest is for the news to arrive and for requests on their way.
 */
milliseconds keyedLimitFor(milliseconds bound);

/**
 * Records that a domain is drained. If that is known already, the time of the first record stays.
 * @param drained Drained domains.
 * @param domain Domain.
 * @param since Earliest time at which the drain may have begun.
 * @return Whether it was not known.
 */
bool beginDrain(drained_domains &drained, const domain_id &domain, steady_time since);

/**
 * Records that a domain is in service.
 * @param drained Drained domains.
 * @param domain Domain.
 * @return Whether it was drained.
 */
bool endDrain(drained_domains &drained, const domain_id &domain);

/**
 * Checks whether a domain is drained. No target in it is chosen for requests without keys.
 * @param drained Drained domains.
 * @param domain Domain.
 * @return Whether it is.
 */
bool isDrained(const drained_domains &drained, const domain_id &domain);

/**
 * Looks up since when a domain may be drained.
 * @param drained Drained domains.
 * @param domain Domain.
 * @return The earliest time; nothing while it is in service.
 */
std::optional<steady_time> drainedSince(const drained_domains &drained, const domain_id &domain);

/**
 * Checks whether a domain is drained and even keyed requests must not reach its targets any more.
 * @param drained Drained domains.
 * @param domain Domain.
 * @param now Current time.
 * @return Whether the time for handing over slots has passed.
 */
bool isDrainOver(const drained_domains &drained, const domain_id &domain, steady_time now);

} // namespace quetzalspool

#endif // DRAINED_DOMAINS_FUNC_H
