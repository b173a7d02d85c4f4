/** @file row_type.h Rows of the operators' tables: routes, pools and the rules for changes. */
#ifndef ROW_TYPE_H
#define ROW_TYPE_H

#include "base_type.h"

#include <string>
#include <variant>
#include <vector>

namespace quetzalspool {

/** Where a route finds the key of a request. */
enum class key_source
{
    none, ///< The pool is not divided by key.
    path, ///< A segment of the path.
    header, ///< A header.
};

/** What a request is for. Lookups may wait; orders run at most once and go first. */
enum class request_class
{
    lookup, ///< Reads.
    order, ///< Work that is not idempotent.
};

/** Share of a route's requests that one pool gets. */
struct pool_share
{
    pool_id pool; ///< Pool.
    std::uint32_t weight = 1; ///< Its weight.

    bool operator==(const pool_share &) const = default;
};

/** One route: which requests it takes, and how they are treated. */
struct route_row
{
    std::string name; ///< Name of the row.
    std::string prefix; ///< Path prefix; the longest match wins.
    pool_id pool; ///< Pool that serves it.
    key_source keyFrom = key_source::none; ///< Where the key is found.
    std::uint32_t keySegment = 0; ///< Index of the path segment, from 0, for key_source::path.
    std::string keyHeader; ///< Header, for key_source::header.
    request_class kind = request_class::lookup; ///< Class of methods that are not listed as idempotent.
    std::vector<std::string> idempotentMethods{"GET", "HEAD"}; ///< Methods that may run more than once.
    milliseconds deadline{5000}; ///< Bound on the whole request.
    std::uint64_t maxBody = 262144; ///< Bytes of a request body at most.
    std::vector<std::string> callers; ///< IP addresses or networks that may use it; empty means all.
    std::string host; ///< Host that it is for; empty for all hosts.
    std::vector<pool_share> shares; ///< Pools that serve it by weight, in place of the one pool; empty for one.
    milliseconds latencyGoal{0}; ///< Time within which an answer is worth most; 0 if any time is as good.
    bool idempotent = false; ///< Whether all its methods may run more than once.
    std::uint32_t rank = 2; ///< Urgency of its requests; smaller goes first.
    std::uint32_t targetsPerRequest = 6; ///< Targets that one request may be handed to.

    bool operator==(const route_row &) const = default;
};

/** Share of a pool's slots that one cell holds. */
struct cell_share
{
    cell_id cell; ///< Cell.
    std::uint32_t weight = 1; ///< Its weight.

    bool operator==(const cell_share &) const = default;
};

/** One pool of targets. */
struct pool_row
{
    pool_id name; ///< Name of the row.
    bool keyed = false; ///< Whether targets own keys exclusively.
    std::uint32_t slots = 0; ///< Hash slots, if keyed.
    std::vector<cell_share> homes; ///< Cells that hold the slots, if keyed.
    bool weighsChurn = false; ///< Whether few moves weigh more than even load.
    std::uint32_t movesAtOnce = 4; ///< Slots of living owners on the move together.
    std::uint32_t queue = 16; ///< Requests that may wait beside one target.
    milliseconds takeoverGrace{0}; ///< Wait of a new owner before its first request, for targets that check no grants.
    bool numeric = false; ///< Whether keys are numbers, and slots are ranges of them.

    bool operator==(const pool_row &) const = default;
};

/** An operator and what he may change. */
struct operator_row
{
    std::string name; ///< Name, as it stands in the audit trail.
    std::string keyHash; ///< SHA-256 of his key, in hexadecimal.
    std::vector<std::string> mayChange; ///< Prefixes of row keys, such as "routes/" or "pools/formula".

    bool operator==(const operator_row &) const = default;
};

/** A daily time in which nothing changes. */
struct quiet_time
{
    std::uint32_t fromMinute = 0; ///< Minutes after midnight, UTC.
    std::uint32_t toMinute = 0; ///< End, exclusive; may be smaller than the start.

    bool operator==(const quiet_time &) const = default;
};

/** The customer's rules for changes. */
struct rules_row
{
    std::vector<operator_row> operators; ///< Who may change what.
    std::vector<std::string> needApproval; ///< Prefixes of row keys that need a second operator.
    std::vector<quiet_time> quiet; ///< When nothing changes.
    std::uint32_t maxRows = 50; ///< Rows that one change may touch.

    bool operator==(const rules_row &) const = default;
};

/** A removed row. It stays, so that its removal can't be undone by an old copy. */
struct removed_row
{
    bool operator==(const removed_row &) const = default;
};

using table_row = std::variant<removed_row, route_row, pool_row, rules_row>;

/** A row with its key, such as "routes/formulas". */
struct keyed_row
{
    std::string key; ///< Key.
    table_row row; ///< Row.
    std::uint32_t line = 0; ///< Line in the operator's file; 0 if it came from elsewhere.
};

} // namespace quetzalspool

#endif // ROW_TYPE_H
