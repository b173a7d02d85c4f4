/** @file request_log.h Log lines about requests, by which a failure is traced from its id to its cause. */
#ifndef REQUEST_LOG_H
#define REQUEST_LOG_H

#include "admission_base.h"
#include "log_func.h"
#include "metrics_func.h"
#include "outcome_type.h"

namespace quetzalspool {

/** Lines about requests that one end may write. What failed or was late goes before what went well. */
struct request_log_budget
{
    log_budget failures; ///< Lines about requests that were refused, lost, or late.
    log_budget successes{5, 10, 10}; ///< Lines about the sample of answered ones.
};

/** One attempt at a request, as the daemon that took the request sees it. */
struct attempt_trace
{
    std::string attempt; ///< Token of the attempt.
    instance_id owner; ///< Daemon beside the chosen target; empty if there was none.
    std::optional<fenced_slot> slot; ///< Slot and fence, for keyed pools.
    std::uint64_t tables = 0; ///< Version of the tables that decided it.
    revision_number owners; ///< Revision of the owners that decided it.
    milliseconds startOffset{0}; ///< Since the request came.
    milliseconds duration{0}; ///< Until the attempt ended.
    request_outcome outcome; ///< How it ended.
};

/** One request, as the daemon that took it sees it. */
struct request_trace
{
    std::string id; ///< Id.
    std::string route; ///< Name of the route.
    pool_id pool; ///< Pool.
    steady_time arrivedAt{}; ///< When its headers had come.
    steady_time goal = steady_time::max(); ///< An answer after this moment is late.
    bool callerDisconnected = false; ///< Whether the caller closed its connection before the end.
    std::vector<attempt_trace> attempts; ///< Attempts in order.
};

/** One attempt, as the daemon beside the target sees it. */
struct local_attempt_trace
{
    steady_time queuedAt{}; ///< When it came to admission.
    steady_time admittedAt{}; ///< When it left the queue; the clock's epoch if it never did.
    std::uint32_t inFlight = 0; ///< Requests at the target when it came.
    std::size_t queued = 0; ///< Requests that waited when it came.
    milliseconds expectedService{0}; ///< Smoothed time of work of its kind, by which its wait was predicted.
    milliseconds leaseLeft{0}; ///< What was left of the right to the key.
    bool handedOver = false; ///< Whether it was handed to the target.
    std::string detail; ///< Why no answer came back, in the words of the connection.
};

/**
 * Writes the lines about one request at its end: one for each attempt, then one about the end.
 * @param requestBudget Budget of the calling thread.
 * @param trace Request.
 * @param outcome How it ended.
 * @param now Present time.
 */
void logRequest(request_log_budget &requestBudget, const request_trace &trace, const request_outcome &outcome,
                steady_time now);

/**
 * Takes the right to write the line about one attempt at the daemon beside the target.
 * @param requestBudget Budget; the caller holds its lock.
 * @param request Request.
 * @param outcome How it ended.
 * @param now Present time.
 * @return Lines left out before, if the line may be written.
 */
std::optional<std::uint64_t> reserveAttemptLine(request_log_budget &requestBudget, const routed_request &request,
                                                const request_outcome &outcome, steady_time now);

/**
 * Writes that line.
 * @param request Request.
 * @param trace What admission decided it on.
 * @param outcome How it ended.
 * @param dropped Lines left out before.
 * @param now Present time.
 */
void logLocalAttempt(const routed_request &request, const local_attempt_trace &trace, const request_outcome &outcome,
                     std::uint64_t dropped, steady_time now);

/**
 * Counts a request by route, outcome and reason, and its time by outcome.
 * @param registry Metrics.
 * @param trace Request.
 * @param outcome How it ended.
 * @param now Present time.
 */
void countRequest(metrics &registry, const request_trace &trace, const request_outcome &outcome, steady_time now);

} // namespace quetzalspool

#endif // REQUEST_LOG_H
