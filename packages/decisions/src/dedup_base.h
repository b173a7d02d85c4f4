/** @file dedup_base.h Requests that must not run twice, as the daemon beside the target remembers them. */
#ifndef DEDUP_BASE_H
#define DEDUP_BASE_H

#include "base_type.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace quetzalspool {

/** How far a remembered request has come. */
enum class dedup_stage
{
    registered, ///< Known here, not handed over.
    handed_over, ///< Given to the target.
    answered, ///< The target answered.
    refused, ///< Proved not run; the same id may come again.
};

/** One remembered request. */
struct dedup_entry
{
    dedup_stage stage = dedup_stage::registered; ///< How far it has come.
    std::string attempt; ///< Token of the attempt that entered it last.
    steady_time expiresAt{}; ///< Remembered until then, counted from when it was entered.
};

/** The remembered requests, and the attempts that must not run. */
struct dedup_state
{
    milliseconds retention{120000}; ///< How long a request is remembered.
    std::size_t capacity = 65536; ///< Requests and attempts remembered at most; beyond it, orders are refused.
    std::unordered_map<std::string, dedup_entry> entries; ///< By request id.
    std::unordered_set<std::string> cancelled; ///< Tokens of attempts that must not run.
    std::deque<std::pair<steady_time, std::string>> expiries; ///< Ids and tokens by end of their window.
};

} // namespace quetzalspool

#endif // DEDUP_BASE_H
