/** @file outcome_type.h What is said about a request at its end, and how it passes between daemons. */
#ifndef OUTCOME_TYPE_H
#define OUTCOME_TYPE_H

#include "asio_type.h"
#include "chart_type.h"
#include "http_type.h"
#include "retry_type.h"

#include <functional>

namespace quetzalspool {

/** A request on its way through a daemon. */
struct routed_request
{
    http_request http; ///< Method, path, headers and whole body.
    std::string id; ///< Request id, the same for all attempts.
    std::string attempt; ///< Token of this attempt.
    std::string route; ///< Name of the route; known only to the daemon that took the request.
    pool_id pool; ///< Pool.
    std::string key; ///< Key, for keyed pools.
    std::optional<fenced_slot> slot; ///< Slot and fence, for keyed pools.
    request_class kind = request_class::lookup; ///< Class.
    bool idempotent = false; ///< Whether it may run more than once.
    std::uint32_t rank = 2; ///< Urgency; smaller goes first.
    std::uint32_t maxTargets = 6; ///< Targets that it may be handed to.
    steady_time deadline{}; ///< When the caller no longer waits.
    steady_time goal = steady_time::max(); ///< An answer is worth less after this moment.
    milliseconds responseTimeout{
        0}; ///< After the hand-over, an attempt without an answer is given up after it; 0 is never.
};

/** The end of an attempt or a request. */
struct request_outcome
{
    attempt_result result = attempt_result::not_run; ///< Answered, not run, or unknown.
    refusal reason = refusal::none; ///< Why the owner refused it.
    std::string reasonText; ///< Reason in one word or a few, for the caller.
    milliseconds retryAfter{0}; ///< When to come back, after not run.
    bool reachedOwner = true; ///< Whether the other daemon could be reached.
    std::optional<double> loadPerSlot; ///< How busy the target is, if the daemon beside it said.
    std::uint32_t attempts = 0; ///< Attempts made, once the request is over.
    bool handedOver = false; ///< Whether it was sent to a target, which may have refused it.
    std::uint64_t responseBytes = 0; ///< Bytes of the answer's body that came from another daemon.
    bool complete = false; ///< Whether the answer was passed on whole.
};

/** Where an answer goes. Belongs to one thread. */
struct response_sink
{
    std::function<asio::awaitable<bool>(unsigned, std::vector<http_header>, std::optional<std::uint64_t>)>
        writeHead; ///< Takes status, headers and length; returns false if nobody wants the answer any more.
    std::function<asio::awaitable<bool>(std::string)> writeChunk; ///< Takes a part of the body.
    std::function<void(bool)> finish; ///< Takes whether the answer was whole.
    std::function<bool()> isCancelled; ///< Tells whether nobody waits any more.
};

/** Follows one request through the outcome chart. */
struct outcome_tracker
{
    chart_state state = 0; ///< State in the chart.

    /**
     * Takes an event that the chart must allow here.
     * @param event Name of the event.
     */
    void applyEvent(std::string_view event);
};

/** What is known when no answer came. */
struct loss_context
{
    bool deadlinePassed = false; ///< Whether the request's time is over.
    bool callerDisconnected = false; ///< Whether the caller waits no longer.
    bool ownerChanged = false; ///< Whether the key has another owner by now.
};

/**
 * The reason why no answer came of an attempt that was passed on or handed over.
 * @param context What is known.
 * @param broken Reason if none of it is so: what was asked is lost, "daemon-lost" or "target-lost".
 * @return A word of the list of reasons.
 */
const char *lossReason(const loss_context &context, const char *broken);

/**
 * Words for an outcome, as the header gives them.
 * @param result Result.
 * @return "answered", "not-run" or "unknown".
 */
const char *nameOf(attempt_result result);

} // namespace quetzalspool

#endif // OUTCOME_TYPE_H
