/** @file target_notice.h What a response says about the target that sent it. */
#ifndef TARGET_NOTICE_H
#define TARGET_NOTICE_H

#include "base_type.h"

#include <cstdint>
#include <optional>

namespace quetzalspool {

/** What a response says about the target's rate limit. */
enum class limit_statement
{
    absent, ///< Nothing.
    named, ///< A limit.
    unreadable, ///< Something that is no limit.
};

/** Load that a target states in a response. */
struct stated_load
{
    std::uint32_t running = 0; ///< Requests that it processes.
    std::uint32_t waiting = 0; ///< Requests that wait in it.
    std::uint32_t slots = 0; ///< Requests that it processes at once.
    std::optional<std::uint32_t> workPercent; ///< Time that work takes at this moment, in percent of the usual time.
};

/** What a response says about its target, besides the result of the request. */
struct target_notice
{
    limit_statement limit = limit_statement::absent; ///< What it says about the rate limit.
    double requestsPerSecond = 0; ///< The limit, if one is named: requests per second from all callers, not negative.
    bool leaving = false; ///< Whether the target says that it is leaving.
    bool succeeded = false; ///< Whether the response certainly belongs to the current request, which the target
                            ///< executed without failing. Only such a one shows by naming no limit that there is none.
    milliseconds coldFor{0}; ///< Time for which the target says that it will be cold; 0 if it does not say so.
    std::optional<stated_load> load; ///< Load that it states; unset if there is none or it can't be read.
};

} // namespace quetzalspool

#endif // TARGET_NOTICE_H
