/** @file drained_domains_base.h Failure domains that the operator has taken out of service. */
#ifndef DRAINED_DOMAINS_BASE_H
#define DRAINED_DOMAINS_BASE_H

#include "base_type.h"

#include <map>

namespace quetzalspool {

/** Failure domains out of service, as far as this daemon knows. */
struct drained_domains
{
    std::map<domain_id, steady_time> since; ///< By domain, the earliest time at which its drain may have begun: when
                                            ///< this daemon last knew that it was in service.
    milliseconds keyedLimit{0}; ///< Time since then in which keyed requests are still served, until their slots have
                                ///< moved.

    bool operator==(const drained_domains &) const = default;
};

} // namespace quetzalspool

#endif // DRAINED_DOMAINS_BASE_H
