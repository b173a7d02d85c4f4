/** @file request_log.h Log lines and metrics by which a failed request is traced from its id to its cause. */
#ifndef REQUEST_LOG_H
#define REQUEST_LOG_H

#include "admission_func.h"
#include "leaving_target_base.h"
#include "log_func.h"
#include "metrics_func.h"
#include "outcome_type.h"

namespace quetzalspool {

/** Log budgets for requests at one end (caller or target). Failed and late requests have a budget of their own, so that
 * successes don't use it up.
 */
struct request_log_budget
{
    log_budget failures; ///< Budget for requests that were refused, lost, or late.
    log_budget successes{5, 10, 10}; ///< Budget for sampled requests that were answered in time.
};

/** Log record of an attempt, at the daemon that accepted the request from the caller. */
struct attempt_trace
{
    std::string attempt; ///< Token of the attempt.
    instance_id owner; ///< Daemon beside the chosen target; empty if no target was found.
    std::optional<fenced_slot> slot; ///< Slot and fence, for keyed pools.
    std::uint64_t tables = 0; ///< Version of the tables it was routed by.
    revision_number owners; ///< Revision of the ownership record it was routed by.
    milliseconds startOffset{0}; ///< Time from the request's arrival to the start of the attempt.
    milliseconds duration{0}; ///< Duration of the attempt.
    std::optional<double> expected; ///< Expected completion time by which the target was chosen, relative to the mean
                                    ///< service time of the pool; unset unless speeds are learned.
    request_outcome outcome; ///< How it ended.
};

/** Log record of a request, at the daemon that accepted it from the caller. */
struct request_trace
{
    std::string id; ///< Id.
    std::string route; ///< Name of the route.
    pool_id pool; ///< Pool.
    steady_time arrivedAt{}; ///< When its headers had been read.
    std::uint64_t tables = 0; ///< Version of the tables by which its route was found, or by which it was refused.
    steady_time goal = steady_time::max(); ///< A response after this time is late.
    bool call = false; ///< Whether the local target made it within another request.
    bool callerDisconnected = false; ///< Whether the caller closed its connection before the end.
    std::vector<attempt_trace> attempts; ///< Attempts, oldest first.
};

/** Log record of an attempt, at the daemon beside the target. */
struct local_attempt_trace
{
    steady_time queuedAt{}; ///< When it was submitted to admission control.
    steady_time admittedAt{}; ///< When it was admitted; the clock's epoch if it never was.
    std::uint32_t inFlight = 0; ///< Requests in flight at the target on its arrival.
    std::size_t queued = 0; ///< Requests in the queue on its arrival.
    milliseconds expectedService{0}; ///< Smoothed service time of its class, from which its wait was predicted.
    std::optional<double> limitPerSecond; ///< Rate limit of the target on its arrival; unset without one.
    milliseconds leaseLeft{0}; ///< Time left until the target's grant or lease ends.
    bool handedOver = false; ///< Whether it was handed to the target.
    unsigned status = 0; ///< Status of the target's response; 0 without one.
    std::string detail; ///< Connection error, if the response is missing or incomplete.
};

/**
 * Logs one line for each attempt of a request, then one for its end.
 * @param requestBudget Log budget of the calling thread.
 * @param trace Request.
 * @param outcome How it ended.
 * @param now Current time.
 */
void logRequest(request_log_budget &requestBudget, const request_trace &trace, const request_outcome &outcome,
                steady_time now);

/**
 * Reserves a log line for an attempt at the daemon beside the target.
 * @param requestBudget Log budget; the caller holds its lock.
 * @param request Request.
 * @param outcome How it ended.
 * @param now Current time.
 * @return Lines dropped before, if the line may be written; else nothing.
 */
std::optional<std::uint64_t> reserveAttemptLine(request_log_budget &requestBudget, const routed_request &request,
                                                const request_outcome &outcome, steady_time now);

/**
 * Logs an attempt at the daemon beside the target.
 * @param request Request.
 * @param trace Log record of the attempt.
 * @param outcome How it ended.
 * @param dropped Lines dropped before.
 * @param now Current time.
 */
void logLocalAttempt(const routed_request &request, const local_attempt_trace &trace, const request_outcome &outcome,
                     std::uint64_t dropped, steady_time now);

/**
 * Logs what the target says about itself: a changed rate limit, or that it is leaving.
 * @param notice What the response said.
 * @param effect What that changed.
 */
void logNotice(const target_notice &notice, const notice_effect &effect);

/**
 * Logs that another daemon remembers the local target as leaving.
 * @param target Target.
 * @param now Present time.
 */
void logReminder(const leaving_target &target, steady_time now);

/**
 * Updates the metrics: requests by route, outcome and reason, and their duration by outcome.
 * @param registry Metrics.
 * @param trace Request.
 * @param outcome How it ended.
 * @param now Current time.
 */
void countRequest(metrics &registry, const request_trace &trace, const request_outcome &outcome, steady_time now);

} // namespace quetzalspool

#endif // REQUEST_LOG_H
