/** @file row_type.h Rows of the tables that operators maintain: routes, pools, failure domains and rules for changes.
 */
#ifndef ROW_TYPE_H
#define ROW_TYPE_H

#include "base_type.h"

#include <string>
#include <variant>
#include <vector>

namespace quetzalspool {

/** Part of a request that contains its key. */
enum class key_source
{
    none, ///< No key; the pool is not keyed.
    path, ///< A path segment.
    header, ///< A header.
};

/** Class of a request. Orders run at most once and have priority over lookups, which may be delayed. */
enum class request_class
{
    lookup, ///< Read-only request.
    order, ///< Request that is not idempotent.
};

/** Share of a route's requests that is sent to one pool. */
struct pool_share
{
    pool_id pool; ///< Pool.
    std::uint32_t weight = 1; ///< Its weight.

    bool operator==(const pool_share &) const = default;
};

/** A route: which requests match it and how they are handled. */
struct route_row
{
    std::string name; ///< Name of the row.
    std::string prefix; ///< Path prefix; the route with the longest matching prefix is used.
    pool_id pool; ///< Pool that serves the requests.
    key_source keyFrom = key_source::none; ///< Part of a request that contains its key.
    std::uint32_t keySegment = 0; ///< Zero-based index of the path segment, for key_source::path.
    std::string keyHeader; ///< Name of the header, for key_source::header.
    request_class kind = request_class::lookup; ///< Class of requests whose method is not listed as idempotent.
    std::vector<std::string> idempotentMethods{"GET", "HEAD"}; ///< Methods whose requests may run more than once.
    milliseconds deadline{5000}; ///< Time limit for the whole request.
    std::uint64_t maxBody = 262144; ///< Maximum bytes of a request body.
    std::vector<std::string> callers; ///< IP addresses or networks that may use the route; empty for all.
    std::string host; ///< Host of the requests; empty for all hosts.
    std::vector<pool_share> shares; ///< Weighted pools used instead of `pool`; empty to use `pool`.
    milliseconds latencyGoal{0}; ///< Goal for the response time; later responses are worth less. 0 for no goal.
    bool idempotent = false; ///< Whether requests of any method may run more than once.
    std::uint32_t rank = 2; ///< Priority of the requests; smaller values go first.
    std::uint32_t targetsPerRequest = 6; ///< Maximum targets that one request may be sent to.
    std::vector<region_id> regions; ///< Regions whose targets may serve the requests; empty for all.

    bool operator==(const route_row &) const = default;
};

/** Share of a pool's slots that is assigned to one cell. */
struct cell_share
{
    cell_id cell; ///< Cell.
    std::uint32_t weight = 1; ///< Its weight.

    bool operator==(const cell_share &) const = default;
};

/** A pool of targets. */
struct pool_row
{
    pool_id name; ///< Name of the row.
    bool keyed = false; ///< Whether targets own keys exclusively.
    std::uint32_t slots = 0; ///< Number of slots, if keyed.
    std::vector<cell_share> homes; ///< Cells that the slots are assigned to, if keyed.
    bool weighsChurn = false; ///< Whether placement prefers few reassignments to balanced load.
    std::uint32_t movesAtOnce = 4; ///< Maximum concurrent reassignments of slots whose owner is alive.
    std::uint32_t queue = 16; ///< Maximum requests queued at the daemon beside one target.
    milliseconds takeoverGrace{0}; ///< Delay before a new owner's first request, for targets that check no grants.
    bool numeric = false; ///< Whether keys are numbers and slots are ranges of numbers.
    double coldPerSecond = 0; ///< Requests per second that a cold target tolerates; 0 for no limit.

    bool operator==(const pool_row &) const = default;
};

/** A failure domain whose targets may be taken out of service. A domain without a row is in service. */
struct domain_row
{
    domain_id name; ///< Name of the row and of the domain.
    bool drained = false; ///< Whether its targets get no requests.

    bool operator==(const domain_row &) const = default;
};

/** An operator with permissions. */
struct operator_row
{
    std::string name; ///< Name, as recorded in the audit trail.
    std::string keyHash; ///< SHA-256 of the operator's key, in hexadecimal.
    std::vector<std::string> mayChange; ///< Permitted prefixes of row keys, such as "routes/" or "pools/formula".

    bool operator==(const operator_row &) const = default;
};

/** A daily period in which changes are refused. */
struct quiet_time
{
    std::uint32_t fromMinute = 0; ///< Start in minutes after midnight, UTC.
    std::uint32_t toMinute = 0; ///< End, exclusive; smaller than the start if the period spans midnight.

    bool operator==(const quiet_time &) const = default;
};

/** The customer's rules for changes of the tables. */
struct rules_row
{
    std::vector<operator_row> operators; ///< Operators and their permissions.
    std::vector<std::string> needApproval; ///< Prefixes of row keys whose changes a second operator must approve.
    std::vector<quiet_time> quiet; ///< Periods in which changes are refused.
    std::uint32_t maxRows = 50; ///< Maximum rows per change.

    bool operator==(const rules_row &) const = default;
};

/** Tombstone of a removed row, kept so that an outdated copy cannot restore the row. */
struct removed_row
{
    bool operator==(const removed_row &) const = default;
};

using table_row = std::variant<removed_row, route_row, pool_row, rules_row, domain_row>;

/** A row with its key, such as "routes/formulas". */
struct keyed_row
{
    std::string key; ///< Key.
    table_row row; ///< Row.
    std::uint32_t line = 0; ///< Line in the operator's file; 0 if the row has another source.
};

} // namespace quetzalspool

#endif // ROW_TYPE_H
