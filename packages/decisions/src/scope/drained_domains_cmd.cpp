/** @file drained_domains_cmd.cpp Failure domains that the operator has taken out of service. */
#include "drained_domains_func.h"

namespace quetzalspool {

namespace {

constexpr int keyedPercent = 75; ///< Share of the bound in which keyed requests are served.

} // namespace

milliseconds keyedLimitFor(milliseconds bound)
{
    return bound * keyedPercent / 100;
}

bool beginDrain(drained_domains &drained, const domain_id &domain, steady_time since)
{
    return drained.since.emplace(domain, since).second;
}

bool endDrain(drained_domains &drained, const domain_id &domain)
{
    return drained.since.erase(domain) > 0;
}

bool isDrained(const drained_domains &drained, const domain_id &domain)
{
    return drained.since.contains(domain);
}

std::optional<steady_time> drainedSince(const drained_domains &drained, const domain_id &domain)
{
    const auto found = drained.since.find(domain);
    return found == drained.since.end() ? std::nullopt : std::optional(found->second);
}

bool isDrainOver(const drained_domains &drained, const domain_id &domain, steady_time now)
{
    const auto since = drainedSince(drained, domain);
    return since && now - *since >= drained.keyedLimit;
}

} // namespace quetzalspool
