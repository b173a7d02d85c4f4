/** @file dedup_base.h Deduplication table of the daemon beside the target: requests that must not run twice. */
#ifndef DEDUP_BASE_H
#define DEDUP_BASE_H

#include "base_type.h"

#include <map>
#include <unordered_map>
#include <unordered_set>

namespace quetzalspool {

/** Time for which a request is kept after its deadline, and a cancelled attempt after its cancellation. */
constexpr milliseconds dedupRetention{120000};

/** Progress of a request in the table. */
enum class dedup_stage
{
    registered, ///< Registered, not handed over.
    handed_over, ///< Handed over to the target.
    answered, ///< The target responded.
    refused, ///< Certainly not run; the same id may be registered again.
};

/** One request in the table. */
struct dedup_entry
{
    dedup_stage stage = dedup_stage::registered; ///< Progress.
    std::string attempt; ///< Token of the attempt that registered it last.
    steady_time expiresAt{}; ///< End of its retention, counted from the deadline.
};

/** Deduplication table: known requests, and cancelled attempts. */
struct dedup_state
{
    milliseconds retention = dedupRetention; ///< Time for which requests and cancelled attempts are kept.
    std::size_t capacity = 65536; ///< Maximum of requests and cancelled attempts; orders are refused beyond it.
    std::unordered_map<std::string, dedup_entry> entries; ///< By request id.
    std::unordered_set<std::string> cancelled; ///< Tokens of cancelled attempts, which must not run.
    std::multimap<steady_time, std::string> expiries; ///< Ids and tokens by end of retention, or by an earlier end.
};

} // namespace quetzalspool

#endif // DEDUP_BASE_H
