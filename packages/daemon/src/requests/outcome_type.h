/** @file outcome_type.h A request on its way through a daemon, and its outcome. */
#ifndef OUTCOME_TYPE_H
#define OUTCOME_TYPE_H

#include "asio_type.h"
#include "chart_type.h"
#include "crash_suspect_base.h"
#include "http_type.h"
#include "retry_type.h"

#include <functional>

namespace quetzalspool {

/** A request that is being routed. */
struct routed_request
{
    http_request http; ///< Method, path, headers and complete body.
    std::string id; ///< Request id, the same for all attempts.
    std::string attempt; ///< Token of this attempt.
    std::string route; ///< Name of the route; empty if the daemon that accepted the request did not send it.
    pool_id pool; ///< Pool.
    std::string key; ///< Key, for keyed pools.
    std::optional<fenced_slot> slot; ///< Slot and fence, for keyed pools.
    request_class kind = request_class::lookup; ///< Class.
    bool idempotent = false; ///< Whether it may be executed more than once.
    std::uint32_t rank = 2; ///< Priority; smaller values are admitted first.
    bool call = false; ///< Whether a target makes it within another request.
    bool returned = false; ///< Whether the caller has presumably been refused before.
    std::uint32_t maxTargets = 6; ///< Maximum number of targets that it may be handed to.
    steady_time deadline{}; ///< When the caller stops waiting.
    steady_time goal = steady_time::max(); ///< Latency goal: a later response is of less use to the caller.
    request_fingerprint fingerprint; ///< What it asks for, to recognize repetitions of it.
    std::string host; ///< Host by which its route was found; known only to that daemon.
    std::vector<region_id> regions; ///< Regions that its route named on arrival; known only to that daemon.
    std::uint32_t crashes = 0; ///< Crashes of which the sending daemon suspects it.
    milliseconds responseTimeout{0}; ///< Time from the hand-over to the start of the response after which the attempt
                                     ///< is abandoned; 0 for no limit.
};

/** How an attempt or a request ended. */
struct request_outcome
{
    attempt_result result = attempt_result::not_run; ///< Answered, not run, or unknown.
    refusal reason = refusal::none; ///< Why the owner refused it, if it did.
    std::string reasonText; ///< Reason in a few words, for the caller.
    milliseconds retryAfter{0}; ///< When to retry, if it did not run.
    bool reachedOwner = true; ///< Whether the daemon beside the target could be reached.
    std::optional<double> loadPerSlot; ///< Load of the target, if the daemon beside it reported it.
    std::optional<double> serviceMs; ///< Expected service time at the target, if the daemon beside it reported it.
    std::uint32_t attempts = 0; ///< Attempts made, once the request is over.
    bool handedOver = false; ///< Whether it was sent to a target, which may have refused it.
    std::uint64_t responseBytes = 0; ///< Bytes of the response body received from another daemon.
    std::uint32_t crashes = 0; ///< Crashes of which the daemon beside the target suspects the request.
    bool connectionLost = false; ///< Whether the connection to the target ended before its complete response.
    bool complete = false; ///< Whether the complete response was forwarded.
    std::string logDetail; ///< Details for the log only; empty if the reason says all.
};

/** Where a response is written to. Used by one thread only. */
struct response_sink
{
    std::function<asio::awaitable<bool>(unsigned, std::vector<http_header>, std::optional<std::uint64_t>)>
        writeHead; ///< Writes status, headers and length; returns false if the receiver has gone.
    std::function<asio::awaitable<bool>(std::string)>
        writeChunk; ///< Writes a chunk of the body; returns false if the receiver has gone.
    std::function<void(bool)> finish; ///< Ends the response; the argument tells whether it is complete.
    std::function<bool()> isCancelled; ///< Whether the receiver has cancelled the request.
};

/** Tracks one request through the outcome state chart. */
struct outcome_tracker
{
    chart_state state = 0; ///< Current state.

    /**
     * Applies an event. The chart must have a transition for it in the current state.
     * @param event Name of the event.
     */
    void applyEvent(std::string_view event);
};

/** What is known about an attempt that ended without a response. */
struct loss_context
{
    bool deadlinePassed = false; ///< Whether the request's deadline has passed.
    bool callerDisconnected = false; ///< Whether the caller has closed its connection.
    bool ownerChanged = false; ///< Whether the key has been assigned to another owner since.
};

/**
 * Chooses the reason for an attempt that was forwarded or handed over and got no response.
 * @param context What is known.
 * @param broken Reason if none of these applies, that is, if the connection was lost: "daemon-lost" or "target-lost".
 * @return "caller-left", "time-over", "owner-changed" or `broken`.
 */
const char *lossReason(const loss_context &context, const char *broken);

/**
 * Name of a result, as in the outcome header.
 * @param result Result.
 * @return "answered", "not-run" or "unknown".
 */
const char *nameOf(attempt_result result);

} // namespace quetzalspool

#endif // OUTCOME_TYPE_H
