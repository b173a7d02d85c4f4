/** @file routing_report_base.h Where a request would go, as shown to operators. */
#ifndef ROUTING_REPORT_BASE_H
#define ROUTING_REPORT_BASE_H

#include "allowed_regions_base.h"
#include "record_base.h"

#include <optional>
#include <string>

namespace quetzalspool {

/** What would happen to a request. */
enum class report_result
{
    chosen, ///< It would be sent to a target.
    refused, ///< It would be refused.
    no_route, ///< No route matches it.
    no_tables, ///< The daemon has received no routes yet.
};

/** Distance between a daemon and a target. */
enum class target_distance
{
    local, ///< The target beside the daemon.
    same_domain, ///< Same failure domain.
    same_region, ///< Other failure domain of the region.
    other_region, ///< Other region.
};

/** A target that was considered for a request. */
struct candidate_report
{
    cell_member member; ///< Target and the daemon beside it.
    target_distance distance = target_distance::local; ///< Distance from this daemon.
    double load = 0; ///< Requests per slot by which it is compared.
    double score = 0; ///< Score by which it is compared; the lowest one is preferred.
    std::optional<double> speed; ///< Learned speed relative to its pool, if a report of it is known: 0.25 is four times
                                 ///< slower than the mean.
    std::optional<milliseconds> reportAge; ///< Age of the last report of its load, if there was one.
    bool allowed = true; ///< Whether the route allows its region.
    bool drained = false; ///< Whether its failure domain is out of service.
    bool ejected = false; ///< Whether it is ejected after consecutive failures.
    bool tried = false; ///< Whether the request was sent there before.
    bool chosen = false; ///< Whether the request would be sent there.
};

/** Where a request would go, and why. Owns all its data, so that it may be passed to another thread. */
struct routing_report
{
    report_result result = report_result::refused; ///< What would happen.
    std::uint64_t tables = 0; ///< Version of the tables.
    std::string route; ///< Name of the route.
    std::string host; ///< Host of the route; empty for all.
    std::string prefix; ///< Path prefix of the route.
    pool_id pool; ///< Pool.
    bool keyed = false; ///< Whether only the owner of the key may serve the request.
    allowed_regions allowed; ///< Regions that the route allows.
    std::optional<slot_number> slot; ///< Slot of the key, for keyed pools.
    bool hasOwner = false; ///< Whether the slot has an owner, which is then the only candidate.
    fence_number fence; ///< Fencing token of its assignment.
    revision_number ownersRevision; ///< Revision of the record that names the owner.
    std::vector<candidate_report> candidates; ///< In order of preference; those that can't be chosen are last.
    std::size_t omittedCandidates = 0; ///< Candidates that were left out to bound the size of the report.
    std::optional<double> expected; ///< Expected completion time by which the target was chosen, if speeds are learned.
    std::string reason; ///< Why the request would be refused; empty if a target was chosen.
    milliseconds retryAfter{0}; ///< Time after which the caller should retry then; 0 if it is not stated here.
};

} // namespace quetzalspool

#endif // ROUTING_REPORT_BASE_H
