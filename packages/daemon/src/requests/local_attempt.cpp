/** @file local_attempt.cpp Attempts at the local target. */
#include "local_attempt.h"

#include "admission_estimate_func.h"
#include "admission_func.h"
#include "async_condition.h"
#include "call_follower.h"
#include "call_priority_func.h"
#include "cold_signs.h"
#include "dedup_func.h"
#include "elapsed_clock.h"
#include "memory_budget_func.h"
#include "request_log.h"
#include "suspect_run.h"

#include <cmath>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds connectTimeout{500}; ///< Time limit for connecting to the local target.
constexpr milliseconds maxLookupIdle{
    3000}; ///< Maximum idle time of a connection reused for a lookup, which can be retried.
constexpr milliseconds maxOrderIdle{
    500}; ///< Maximum idle time of a connection reused for an order, which can't be retried: it must be shorter
          ///< than the idle time after which targets close connections.
constexpr std::uint64_t exchangeBytes = 98304; ///< Bytes charged for a response: what is read ahead, and one part.
constexpr milliseconds cancelCheckInterval{150}; ///< Interval of the checks whether the caller has cancelled.
constexpr std::string_view staleGrantReason =
    "stale-grant"; ///< Reason by which a target refuses an invalid grant, as in its contract.
constexpr milliseconds targetRefusedRetryAfter{200}; ///< Suggested retry time if the target refused.
constexpr milliseconds unreachableRetryAfter{1000}; ///< Suggested retry time if the target can't be reached.

request_outcome notRun(refusal reason, milliseconds retryAfter)
{
    return {attempt_result::not_run, reason, nameOf(reason), retryAfter};
}

/** Whether the memory of this process has room for another response, and that of the target for a body. */
bool hasMemoryFor(const daemon_shared &shared, std::uint64_t heldByTarget, std::uint64_t bodyBytes)
{
    const auto &memory = *shared.memory;
    const auto targetMemory = shared.settings.memoryBytes;
    return admitsBytes({memory.limit, memory.reserved}, memory.used, 0, 0)
        && (targetMemory == 0 || admitsAtTarget(heldByTarget, bodyBytes, targetMemory));
}

/** A body that the target holds, or will hold once the request is admitted. */
struct target_body
{
    target_body(daemon_shared &of, std::uint64_t size)
        : shared(of)
        , bytes(size)
        , admitted(hasMemoryFor(shared, shared.targetBodyBytes.fetch_add(bytes), bytes))
    { }
    ~target_body()
    {
        shared.targetBodyBytes -= bytes;
    }
    target_body(const target_body &) = delete;
    target_body &operator=(const target_body &) = delete;

    daemon_shared &shared; ///< Shared state.
    std::uint64_t bytes; ///< Bytes of the body.
    bool admitted; ///< Whether the target may hold it.
};

/** Result of a queued admission request, delivered by another thread to a waiting coroutine. */
struct pending_admission
{
    explicit pending_admission(const asio::any_io_executor &executor)
        : changed(executor)
    { }

    std::optional<admission_result> result; ///< Set once, on the waiting coroutine's thread.
    async_condition changed; ///< Notified when the result is set.
};

/** Registers an attempt at a request that must not run twice. Returns the outcome if it may not proceed. */
std::optional<request_outcome> registerOrder(daemon_shared &shared, const routed_request &request)
{
    const std::lock_guard lock(shared.admissionControl.mutex);
    switch (
        registerAttempt(shared.admissionControl.dedup, request.id, request.attempt, clock::now(), request.deadline)) {
    case dedup_result::accepted:
        return std::nullopt;
    case dedup_result::cancelled:
        return notRun(refusal::cancelled, milliseconds(0));
    case dedup_result::full:
        return notRun(refusal::overloaded, unreachableRetryAfter);
    default:
        // An earlier attempt is in progress or has run, and its outcome is not known here.
        return request_outcome{attempt_result::unknown, refusal::none, "duplicate"};
    }
}

void recordOrderStage(daemon_shared &shared, const routed_request &request, dedup_stage stage)
{
    if (!request.idempotent) {
        const std::lock_guard lock(shared.admissionControl.mutex);
        advanceAttempt(shared.admissionControl.dedup, request.id, request.attempt, stage);
    }
}

/** Waits in the queue until the request is admitted, refused, or cancelled by the caller. */
asio::awaitable<admission_result> awaitAdmission(daemon_shared &shared, admission_request admissionRequest,
                                                 std::shared_ptr<pending_admission> pending,
                                                 std::shared_ptr<response_sink> sink)
{
    while (!pending->result) {
        co_await pending->changed.waitUntil(clock::now() + cancelCheckInterval);
        if (!pending->result && sink->isCancelled()) {
            const std::lock_guard lock(shared.admissionControl.mutex);
            if (removeWaiting(shared.admissionControl.admission, admissionRequest.id)) {
                shared.admissionControl.waiters.erase(admissionRequest.id);
                co_return admission_result{false, false, refusal::cancelled, milliseconds(0)};
            }
        }
    }
    co_return *pending->result;
}

/** Submits a request to admission control. A queued request gets its result through `pending`. */
admission_result requestAdmission(daemon_shared &shared, const routed_request &request,
                                  admission_request &admissionRequest,
                                  const std::shared_ptr<pending_admission> &pending, local_attempt_trace &trace)
{
    const std::lock_guard lock(shared.admissionControl.mutex);
    const auto now = clock::now();
    auto &admission = shared.admissionControl.admission;
    admissionRequest.id = shared.admissionControl.nextId++;
    trace.queuedAt = now;
    trace.inFlight = admission.inFlight;
    trace.queued = admission.queue.size();
    trace.expectedService = milliseconds(std::llround(expectedServiceMs(admission, isUrgent(admissionRequest))));
    trace.limitPerSecond = admission.rate.perSecond;
    trace.leaseLeft = std::chrono::duration_cast<milliseconds>(grantUntil(admission) - now);
    if (const auto throttled = throttleRequest(shared, request, now)) {
        return *throttled;
    }
    const auto result = admit(admission, admissionRequest, now);
    if (result.queued) {
        shared.admissionControl.waiters[admissionRequest.id] = [pending](const admission_result &decided) {
            asio::post(pending->changed.executor, [pending, decided] {
                pending->result = decided;
                pending->changed.notifyAll();
            });
        };
    }
    return result;
}

/** Makes the last check before the hand-over and records the hand-over for deduplication, under one lock. */
refusal authorizeHandOver(daemon_shared &shared, const routed_request &request,
                          const admission_request &admissionRequest)
{
    const std::lock_guard lock(shared.admissionControl.mutex);
    const auto now = clock::now();
    const auto reason = checkHandOver(shared.admissionControl.admission, admissionRequest, now);
    if (reason != refusal::none) {
        return reason;
    }
    if (!takeHandOverToken(shared.admissionControl.admission.cold, now)) {
        return refusal::overloaded;
    }
    // Other daemons may have told of a crash while the request was queued.
    if (!beginRun(shared.crashRegistry, admissionRequest.id, request.fingerprint, now)) {
        return refusal::quarantined;
    }
    const bool mayRun = request.idempotent
        || advanceAttempt(shared.admissionControl.dedup, request.id, request.attempt, dedup_stage::handed_over);
    if (!mayRun) {
        abandonRun(shared.crashRegistry, admissionRequest.id);
    }
    if (mayRun && shared.settings.overload.followCalls) {
        beginRequest(shared.admissionControl.inProgress, request.id, request.rank);
    }
    return mayRun ? refusal::none : refusal::cancelled;
}

void addHeader(http_request &request, const std::string &name, std::string value)
{
    if (!name.empty()) {
        request.headers.emplace_back(name, std::move(value));
    }
}

http_request addGrantHeaders(const routed_request &request, const header_profile &names,
                             const std::string &targetIncarnation)
{
    auto out = request.http;
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - clock::now());
    if (names.composeRequestIds) {
        addHeader(out, names.requestId, request.id);
    }
    addHeader(out, names.deadline, std::to_string(left.count()));
    addHeader(out, names.pool, request.pool.value);
    if (!targetIncarnation.empty()) {
        addHeader(out, names.expectedTarget, targetIncarnation);
    }
    if (request.slot) {
        addHeader(out, names.key, request.key);
        addHeader(out, names.slot, std::to_string(request.slot->slot.value));
        addHeader(out, names.fence, std::to_string(request.slot->fence.value));
    }
    return out;
}

/** Id of the target that the request is meant for; empty in deployments without such ids. */
std::string currentTargetId(daemon_shared &shared)
{
    const std::lock_guard lock(shared.admissionControl.mutex);
    return shared.admissionControl.targetIncarnation.id;
}

/** Maximum idle time of a connection that is reused for this request. */
milliseconds maxIdleTime(const routed_request &request)
{
    return request.idempotent ? maxLookupIdle : maxOrderIdle;
}

/** Forwards the body. Returns whether it was complete and accepted to its end. */
asio::awaitable<bool> forwardBody(std::shared_ptr<target_exchange> exchange, std::shared_ptr<response_sink> sink,
                                  steady_time deadline, last_reason &why)
{
    for (;;) {
        auto chunk = co_await readTargetPart(exchange, deadline, why);
        if (!chunk) {
            co_return false;
        }
        if (chunk->empty()) {
            co_return true;
        }
        const bool accepted = co_await sink->writeChunk(std::move(*chunk));
        if (!accepted) {
            co_return false;
        }
    }
}

/** Aborts the exchange when the caller cancels, which cancels the request at the target. */
asio::awaitable<void> cancelOnDisconnect(std::shared_ptr<target_exchange> exchange, std::shared_ptr<response_sink> sink,
                                         std::shared_ptr<bool> done)
{
    while (!*done) {
        co_await sleepFor(cancelCheckInterval);
        if (!*done && sink->isCancelled()) {
            cancelTarget(*exchange);
            co_return;
        }
    }
}

/** Time by which the response must start. */
steady_time responseDeadline(const routed_request &request, steady_time handedOver)
{
    const bool limited = request.responseTimeout.count() > 0;
    return limited ? std::min(request.deadline, handedOver + request.responseTimeout) : request.deadline;
}

/**
 * Records that the target has produced its response, of which a head with a length is the sign: it can process another
 * request during the transfer.
 */
void recordResponseStart(daemon_shared &shared, admission_request &admissionRequest, steady_time startedAt)
{
    {
        const std::lock_guard lock(shared.admissionControl.mutex);
        const auto now = clock::now();
        const auto serviceTime = std::chrono::duration_cast<milliseconds>(now - startedAt);
        beginTransfer(shared.admissionControl.admission, admissionRequest, serviceTime, now);
    }
    decideQueued(shared.admissionControl, clock::now());
}

/** Whether callers take a status alone as a promise that their request did not run. */
bool isPromise(const header_profile &names, unsigned status)
{
    return names.refusalStatusesPromise && (status == 408 || status == 421 || status == 429 || status == 503);
}

/** Records what a response says about the target. */
void recordNotice(daemon_shared &shared, const target_notice &notice, steady_time handedOverAt)
{
    const auto now = clock::now();
    auto &control = shared.admissionControl;
    notice_effect effect;
    bool logged = false;
    {
        const std::lock_guard lock(control.mutex);
        effect = applyNotice(control.admission, notice, handedOverAt, now);
        const bool changed = effect.limit != limit_change::none || effect.beganLeaving;
        logged = changed && consumeTokens(control.noticeLogBudget, now);
    }
    if (logged) {
        logNotice(notice, effect);
    }
}

/** Lets the next request run that may crash the target: it has survived this one so far. */
void endSuspectRun(daemon_shared &shared, const admission_request &admissionRequest)
{
    if (admissionRequest.suspect) {
        const std::lock_guard lock(shared.admissionControl.mutex);
        releaseSuspect(shared.admissionControl.admission, admissionRequest);
    }
}

/** Hands a request over to the target and forwards the response. */
asio::awaitable<request_outcome>
exchangeWithTarget(daemon_shared &shared, std::shared_ptr<const routed_request> request,
                   std::shared_ptr<target_exchange> exchange, std::shared_ptr<response_sink> sink,
                   admission_request &admissionRequest, bool &responded, local_attempt_trace &trace)
{
    last_reason why;
    const memory_charge charge(shared.memory, exchangeBytes);
    trace.handedOver = true;
    countMetric(*shared.metricsRegistry, "hand_overs_total");
    const auto handedOverAt = clock::now();
    auto granted = addGrantHeaders(*request, shared.names, currentTargetId(shared));
    const bool sent = co_await sendToTarget(exchange, std::move(granted), request->deadline, why);
    std::optional<target_head> head;
    if (sent) {
        head = co_await readTargetHead(exchange, responseDeadline(*request, handedOverAt), why);
    }
    if (!head) {
        trace.detail = describe(why);
        const loss_context context{clock::now() >= responseDeadline(*request, handedOverAt), sink->isCancelled(),
                                   false};
        request_outcome lostOutcome{attempt_result::unknown, refusal::none, lossReason(context, "target-lost")};
        lostOutcome.handedOver = true;
        lostOutcome.connectionLost = !context.deadlinePassed && !context.callerDisconnected;
        co_return lostOutcome;
    }
    responded = true;
    trace.status = head->status;
    admissionRequest.failed = !head->notice.succeeded;
    recordNotice(shared, head->notice, handedOverAt);
    endSuspectRun(shared, admissionRequest);
    if (!head->notRun.empty()) {
        // A target that does not know the lease yet, or no longer, refuses like a daemon without a lease.
        const auto reason = head->notRun == staleGrantReason ? refusal::no_lease : refusal::none;
        request_outcome refusedOutcome{attempt_result::not_run, reason, "target-refused-" + head->notRun,
                                       targetRefusedRetryAfter};
        refusedOutcome.handedOver = true;
        co_return refusedOutcome;
    }
    if (!request->idempotent && isPromise(shared.names, head->status)) {
        trace.detail = "status " + std::to_string(head->status) + " without a statement that it did not run";
        request_outcome unprovenOutcome{attempt_result::unknown, refusal::none, "target-lost"};
        unprovenOutcome.handedOver = true;
        co_return unprovenOutcome;
    }
    if (head->length) {
        recordResponseStart(shared, admissionRequest, handedOverAt);
    }
    const bool accepted = co_await sink->writeHead(head->status, std::move(head->headers), head->length);
    bool complete = false;
    if (accepted) {
        complete = co_await forwardBody(exchange, sink, request->deadline, why);
    }
    sink->finish(complete);
    admissionRequest.cut = !complete;
    trace.detail = complete || why.text.empty() ? "" : describe(why);
    request_outcome outcome{attempt_result::answered, refusal::none, "target"};
    outcome.complete = complete;
    outcome.connectionLost = !complete && !sink->isCancelled() && clock::now() < request->deadline;
    co_return outcome;
}

/** Event of the outcome chart for the end of an admitted request. */
std::string_view finalEvent(const request_outcome &outcome, const outcome_tracker &tracker)
{
    const bool handedOver = isIn(embeddedChart(chart_file::outcome), tracker.state, "handed_over");
    switch (outcome.result) {
    case attempt_result::answered:
        return "answer";
    case attempt_result::unknown:
        return "lose";
    default:
        return handedOver ? "target_refused" : "refuse";
    }
}

/** Makes the attempt after admission: connects, hands over, and releases the admission. */
asio::awaitable<request_outcome> attemptAdmitted(daemon_shared &shared, std::shared_ptr<target_client> targets,
                                                 std::shared_ptr<const routed_request> request,
                                                 admission_request admissionRequest,
                                                 std::shared_ptr<response_sink> sink, local_attempt_trace &trace)
{
    endpoint address;
    {
        const std::lock_guard lock(shared.admissionControl.mutex);
        address = shared.admissionControl.target;
    }
    last_reason why;
    outcome_tracker tracker;
    tracker.applyEvent("admit");
    request_outcome outcome = notRun(refusal::no_target, unreachableRetryAfter);
    bool responded = false;
    const auto startedAt = clock::now();
    const std::string echoedId = shared.names.composeRequestIds ? "" : request->id;
    const auto exchange = co_await openTarget(targets, address, echoedId, maxIdleTime(*request), connectTimeout, why);
    noteConnection(shared, exchange.get());
    if (exchange) {
        const auto reason = authorizeHandOver(shared, *request, admissionRequest);
        if (reason == refusal::none) {
            tracker.applyEvent("hand_over");
            const auto done = std::make_shared<bool>(false);
            asio::co_spawn(co_await asio::this_coro::executor, cancelOnDisconnect(exchange, sink, done),
                           asio::detached);
            outcome = co_await exchangeWithTarget(shared, request, exchange, sink, admissionRequest, responded, trace);
            *done = true;
            noteConnection(shared, exchange.get());
            closeTarget(*targets, exchange);
            co_await concludeRun(shared, request, admissionRequest.id, address, outcome);
        } else {
            outcome = notRun(reason, milliseconds(100));
            outcome.crashes = suspicionOf(shared.crashRegistry, request->fingerprint, clock::now()).crashes;
            closeTarget(*targets, exchange);
        }
    } else {
        trace.detail = describe(why);
        co_await checkTargetEnded(shared, address);
    }
    {
        const std::lock_guard lock(shared.admissionControl.mutex);
        const auto now = clock::now();
        endRequest(shared.admissionControl.inProgress, request->id);
        finishRequest(shared.admissionControl.admission, admissionRequest, responded,
                      std::chrono::duration_cast<milliseconds>(now - startedAt), now);
    }
    recordTargetEnd(shared, *request, outcome, {trace.status, startedAt}, clock::now());
    decideQueued(shared.admissionControl, clock::now());
    tracker.applyEvent(finalEvent(outcome, tracker));
    co_return outcome;
}

/** Makes an attempt: deduplication, admission, then the exchange with the target. */
asio::awaitable<request_outcome> admitAndAttempt(daemon_shared &shared, std::shared_ptr<target_client> targets,
                                                 std::shared_ptr<const routed_request> request,
                                                 std::shared_ptr<response_sink> sink, local_attempt_trace &trace)
{
    auto admissionRequest = makeAdmissionRequest(shared, *request);
    if (!request->idempotent) {
        auto ended = registerOrder(shared, *request);
        if (ended) {
            co_return *ended;
        }
    }
    if (auto refused = checkSuspicion(shared, *request, admissionRequest, clock::now())) {
        recordOrderStage(shared, *request, dedup_stage::refused);
        co_return *refused;
    }
    const target_body held(shared, request->http.body.size());
    if (!held.admitted) {
        recordOrderStage(shared, *request, dedup_stage::refused);
        co_return notRun(refusal::overloaded, unreachableRetryAfter);
    }
    const auto pending = std::make_shared<pending_admission>(co_await asio::this_coro::executor);
    auto result = requestAdmission(shared, *request, admissionRequest, pending, trace);
    if (result.queued) {
        decideQueued(shared.admissionControl, clock::now()); // Notifies requests that lost their place in the queue.
        result = co_await awaitAdmission(shared, admissionRequest, pending, sink);
    }
    if (!result.admitted) {
        recordOrderStage(shared, *request, dedup_stage::refused);
        co_return notRun(result.refused, result.retryAfter);
    }
    trace.admittedAt = clock::now();
    const auto outcome = co_await attemptAdmitted(shared, targets, request, admissionRequest, sink, trace);
    observeDuration(*shared.metricsRegistry, "queue_seconds",
                    std::chrono::duration_cast<std::chrono::microseconds>(trace.admittedAt - trace.queuedAt));
    if (outcome.result != attempt_result::unknown) {
        recordOrderStage(shared, *request,
                         outcome.result == attempt_result::answered ? dedup_stage::answered : dedup_stage::refused);
    }
    co_return outcome;
}

} // namespace

admission_request makeAdmissionRequest(const daemon_shared &shared, const routed_request &request)
{
    admission_request admissionRequest{
        0, request.slot, request.kind, request.deadline, request.rank, request.goal, request.pool};
    admissionRequest.call = request.call && shared.settings.overload.followCalls;
    admissionRequest.route = request.route;
    return admissionRequest;
}

asio::awaitable<request_outcome> attemptLocally(daemon_shared &shared, std::shared_ptr<target_client> targets,
                                                std::shared_ptr<const routed_request> request,
                                                std::shared_ptr<response_sink> sink)
{
    local_attempt_trace trace;
    trace.queuedAt = clock::now();
    const auto outcome = co_await admitAndAttempt(shared, targets, request, sink, trace);
    const auto now = clock::now();
    std::optional<std::uint64_t> dropped;
    {
        const std::lock_guard lock(shared.admissionControl.mutex);
        dropped = reserveAttemptLine(shared.admissionControl.logBudget, *request, outcome, now);
    }
    if (dropped) {
        logLocalAttempt(*request, trace, outcome, *dropped, now);
    }
    co_return outcome;
}

bool cancelLocalAttempt(daemon_shared &shared, incarnation_id incarnation, const std::string &id,
                        const std::string &attempt)
{
    if (incarnation != shared.incarnation) {
        return false; // A previous incarnation may have handed it over.
    }
    const std::lock_guard lock(shared.admissionControl.mutex);
    return cancelAttempt(shared.admissionControl.dedup, id, attempt, clock::now());
}

} // namespace quetzalspool
