/** @file crash_suspect_base.h Requests suspected of crashing the targets that run them. */
#ifndef CRASH_SUSPECT_BASE_H
#define CRASH_SUSPECT_BASE_H

#include "base_type.h"

#include <map>
#include <vector>

namespace quetzalspool {

/** Hash of what a request asks for. A repetition of the request has the same, under whatever request id. */
struct request_fingerprint
{
    std::uint64_t high = 0; ///< Upper half.
    std::uint64_t low = 0; ///< Lower half.

    auto operator<=>(const request_fingerprint &) const = default;
};

/** A request that was running at a target that crashed. */
struct crash_suspect
{
    request_fingerprint fingerprint; ///< The request.
    std::uint32_t crashes = 0; ///< Targets that crashed one after another while they ran it: each got it when the crash
                               ///< before was known. Crashes at the same time count as one.

    bool operator==(const crash_suspect &) const = default;
};

/** What is known about a suspect. */
struct suspect_record
{
    std::uint32_t crashes = 0; ///< As in crash_suspect; 0 once it is cleared.
    steady_time lastCrashAt{}; ///< When its latest crash became known here.
    steady_time clearedAt{}; ///< When a target last responded to it, if there are no crashes since.
};

/** Maximum number of suspects of one crash, those with most crashes before it first. */
constexpr std::size_t maxSuspectsOfCrash = 256;

/** Suspects of which this daemon knows, from its own target and from other daemons. */
struct crash_suspects
{
    std::size_t capacity = 4096; ///< Maximum number of suspects.
    std::map<request_fingerprint, suspect_record> known; ///< By request.
};

/** A request that was handed to the local target and has no response yet. */
struct running_request
{
    request_fingerprint fingerprint; ///< The request.
    std::uint32_t crashesBefore = 0; ///< Crashes of which it was suspected when it was handed over.
};

/** A request whose connection to the local target ended without a response. */
struct lost_request
{
    running_request request; ///< The request.
    steady_time lostAt{}; ///< When its connection ended.
};

/** What the local target is running, so that it is known what it ran when it crashes. */
struct target_runs
{
    std::map<std::uint64_t, running_request> running; ///< By the id under which admission control knows the request.
    std::vector<lost_request> lost; ///< Oldest first.
    bool crashed = false; ///< Whether the current incarnation of the target is known to have crashed.
};

} // namespace quetzalspool

#endif // CRASH_SUSPECT_BASE_H
