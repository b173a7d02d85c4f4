/** @file crash_registry.cpp Crash suspects and the runs of the local target. */
#include "crash_registry.h"

#include "crash_suspect_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr std::size_t maxUnpublished = 16; ///< Without the store, the latest crashes are kept for other daemons.
constexpr std::size_t maxLogged = 8; ///< Suspects named in the log line of a crash, those with most crashes first.

std::string describeSuspects(std::vector<crash_suspect> suspects)
{
    suspects.resize(std::min(suspects.size(), maxLogged));
    std::string text;
    for (const auto &suspect : suspects) {
        text += (text.empty() ? "" : " ") + toString(suspect.fingerprint) + ":" + std::to_string(suspect.crashes);
    }
    return text;
}

void logCrash(const target_crash &crash)
{
    logEvent(log_level::warn, "target-crashed",
             {{"running", std::to_string(crash.suspects.size())}, {"suspects", describeSuspects(crash.suspects)}});
}

/** Records the requests that the target was running when it ended, as a function takes them from its runs. */
void recordEnd(crash_registry &registry, std::vector<crash_suspect> (*takeRuns)(target_runs &, steady_time),
               steady_time now)
{
    target_crash crash;
    {
        const std::lock_guard lock(registry.mutex);
        crash.suspects = takeRuns(registry.runs, now);
        if (crash.suspects.empty()) {
            return;
        }
        for (const auto &suspect : crash.suspects) {
            recordSuspect(registry.suspects, suspect, now);
        }
        ++registry.crashes;
        registry.unpublished.push_back(crash);
        if (registry.unpublished.size() > maxUnpublished) {
            registry.unpublished.erase(registry.unpublished.begin());
        }
    }
    logCrash(crash);
}

} // namespace

request_fingerprint fingerprintOf(const routed_request &request, const header_profile &names)
{
    const auto host = findHeader(request.http.headers, "Host");
    const auto callerPool = names.callerPool.empty() ? "" : findHeader(request.http.headers, names.callerPool);
    return makeFingerprint(
        {request.http.method, host, request.http.path, request.key, callerPool, "", request.http.body.parts()});
}

request_suspicion suspicionOf(crash_registry &registry, const request_fingerprint &fingerprint, steady_time now)
{
    const std::lock_guard lock(registry.mutex);
    return {crashesOf(registry.suspects, fingerprint, now), quarantineLeft(registry.suspects, fingerprint, now)};
}

void recordNews(crash_registry &registry, const crash_suspect &suspect, steady_time now)
{
    if (suspect.crashes > 0) {
        const std::lock_guard lock(registry.mutex);
        recordNews(registry.suspects, suspect, now);
    }
}

void recordNews(crash_registry &registry, const std::vector<crash_suspect> &suspects, steady_time now)
{
    const std::lock_guard lock(registry.mutex);
    for (const auto &suspect : suspects) {
        recordNews(registry.suspects, suspect, now);
    }
}

void clearSuspect(crash_registry &registry, const request_fingerprint &fingerprint, steady_time now)
{
    const std::lock_guard lock(registry.mutex);
    clearSuspect(registry.suspects, fingerprint, now);
}

bool beginRun(crash_registry &registry, std::uint64_t id, const request_fingerprint &fingerprint, steady_time now)
{
    const std::lock_guard lock(registry.mutex);
    if (quarantineLeft(registry.suspects, fingerprint, now)) {
        return false;
    }
    beginRun(registry.runs, id, {fingerprint, crashesOf(registry.suspects, fingerprint, now)});
    return true;
}

void finishRun(crash_registry &registry, std::uint64_t id, const request_fingerprint &fingerprint, steady_time now)
{
    const std::lock_guard lock(registry.mutex);
    finishRun(registry.runs, id);
    clearSuspect(registry.suspects, fingerprint, now);
}

void abandonRun(crash_registry &registry, std::uint64_t id)
{
    const std::lock_guard lock(registry.mutex);
    abandonRun(registry.runs, id);
}

void loseRun(crash_registry &registry, std::uint64_t id, steady_time now)
{
    const std::lock_guard lock(registry.mutex);
    loseRun(registry.runs, id, now);
}

void recordTargetCrash(crash_registry &registry, steady_time now)
{
    recordEnd(registry, takeCrashedRuns, now);
}

void recordTargetStart(crash_registry &registry, steady_time now)
{
    recordEnd(registry, beginIncarnation, now);
}

std::size_t countSuspects(crash_registry &registry)
{
    const std::lock_guard lock(registry.mutex);
    return registry.suspects.known.size();
}

std::uint64_t countCrashes(crash_registry &registry)
{
    const std::lock_guard lock(registry.mutex);
    return registry.crashes;
}

} // namespace quetzalspool
