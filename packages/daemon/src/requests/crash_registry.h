/** @file crash_registry.h Crash suspects and the runs of the local target, shared by the threads of a daemon. */
#ifndef CRASH_REGISTRY_H
#define CRASH_REGISTRY_H

#include "crash_suspect_base.h"
#include "header_profile.h"
#include "log_func.h"
#include "outcome_type.h"

#include <mutex>

namespace quetzalspool {

/** A crash of the local target. */
struct target_crash
{
    std::vector<crash_suspect> suspects; ///< Requests that it was running.
};

/** Crash suspects under one lock. No code blocks or suspends while it holds the lock. */
struct crash_registry
{
    std::mutex mutex; ///< Guards all members.
    crash_suspects suspects; ///< Suspects of which this daemon knows.
    std::uint64_t crashes = 0; ///< Crashes of the local target in this run of the daemon.
    target_runs runs; ///< What the local target is running.
    std::vector<target_crash> unpublished; ///< Crashes that other daemons have not been told yet, oldest first.
};

/** What is known about a request that may crash targets. */
struct request_suspicion
{
    std::uint32_t crashes = 0; ///< Crashes of which it is suspected.
    std::optional<milliseconds> quarantineLeft; ///< Time for which it must not be handed over; empty if it may be.
};

/**
 * Computes the fingerprint of a request.
 * @param request Request; its headers contain the pool from which it originated, if the deployment names that.
 * @param names Header names.
 * @return Fingerprint.
 */
request_fingerprint fingerprintOf(const routed_request &request, const header_profile &names);

/**
 * Returns what is known about a request.
 * @param registry Registry.
 * @param fingerprint The request.
 * @param now Present time.
 * @return Suspicion.
 */
request_suspicion suspicionOf(crash_registry &registry, const request_fingerprint &fingerprint, steady_time now);

/**
 * Records what another daemon knows about a request.
 * @param registry Registry.
 * @param suspect The request and its crashes; 0 changes nothing.
 * @param now Present time.
 */
void recordNews(crash_registry &registry, const crash_suspect &suspect, steady_time now);

/**
 * Records the suspects that another daemon published.
 * @param registry Registry.
 * @param suspects Suspects.
 * @param now Present time.
 */
void recordNews(crash_registry &registry, const std::vector<crash_suspect> &suspects, steady_time now);

/**
 * Clears a request: a target of another daemon has responded to it.
 * @param registry Registry.
 * @param fingerprint The request.
 * @param now Present time.
 */
void clearSuspect(crash_registry &registry, const request_fingerprint &fingerprint, steady_time now);

/**
 * Clears a request: the local target has responded to it.
 * @param registry Registry.
 * @param id Id under which admission control knows the request.
 * @param fingerprint The request.
 * @param now Present time.
 */
void finishRun(crash_registry &registry, std::uint64_t id, const request_fingerprint &fingerprint, steady_time now);

/**
 * Records that a request is handed to the local target, unless it is quarantined.
 * @param registry Registry.
 * @param id Id under which admission control knows the request.
 * @param fingerprint The request.
 * @param now Present time.
 * @return Whether it may be handed over.
 */
bool beginRun(crash_registry &registry, std::uint64_t id, const request_fingerprint &fingerprint, steady_time now);

/**
 * Records that a request was handed to nobody, or that the target refused it.
 * @param registry Registry.
 * @param id Id of the request; may be unknown.
 */
void abandonRun(crash_registry &registry, std::uint64_t id);

/**
 * Records that the connection of a request ended without a response.
 * @param registry Registry.
 * @param id Id of the request; may be unknown.
 * @param now Present time.
 */
void loseRun(crash_registry &registry, std::uint64_t id, steady_time now);

/**
 * Records that the local target has crashed, and logs it. Its requests become suspects, of which other daemons will be
 * told. Does nothing if it ran no request, or its crash was recorded before.
 * @param registry Registry.
 * @param now Present time.
 */
void recordTargetCrash(crash_registry &registry, steady_time now);

/**
 * Records that another incarnation of the local target has reported. If the end of the one before was not known, it is
 * recorded as a crash.
 * @param registry Registry.
 * @param now Present time.
 */
void recordTargetStart(crash_registry &registry, steady_time now);

/**
 * Counts the suspects, quarantined ones too.
 * @param registry Registry.
 * @return Number of requests.
 */
std::size_t countSuspects(crash_registry &registry);

/**
 * Counts the crashes of the local target.
 * @param registry Registry.
 * @return Crashes in this run of the daemon.
 */
std::uint64_t countCrashes(crash_registry &registry);

} // namespace quetzalspool

#endif // CRASH_REGISTRY_H
