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
    target_runs runs; ///< What the local target is running.
};

/**
 * Computes the fingerprint of a request.
 * @param request Request; its headers contain the pool from which it originated, if the deployment names that.
 * @param names Header names.
 * @return Fingerprint.
 */
request_fingerprint fingerprintOf(const routed_request &request, const header_profile &names);

/**
 * Clears a request: a target has responded to it.
 * @param registry Registry.
 * @param fingerprint The request.
 */
void clearSuspect(crash_registry &registry, const request_fingerprint &fingerprint);

/**
 * Records that a request is handed to the local target.
 * @param registry Registry.
 * @param id Id under which admission control knows the request.
 * @param fingerprint The request.
 * @param now Present time.
 */
void beginRun(crash_registry &registry, std::uint64_t id, const request_fingerprint &fingerprint, steady_time now);

/**
 * Records that the target has responded to a request, or that this daemon has abandoned it.
 * @param registry Registry.
 * @param id Id of the request; may be unknown.
 */
void endRun(crash_registry &registry, std::uint64_t id);

/**
 * Records that the connection of a request ended without a response.
 * @param registry Registry.
 * @param id Id of the request; may be unknown.
 * @param now Present time.
 */
void loseRun(crash_registry &registry, std::uint64_t id, steady_time now);

/**
 * Records that the local target has crashed, and logs it. Does nothing if it ran no request, or its crash was recorded
 * before.
 * @param registry Registry.
 * @param now Present time.
 */
void recordTargetCrash(crash_registry &registry, steady_time now);

} // namespace quetzalspool

#endif // CRASH_REGISTRY_H
