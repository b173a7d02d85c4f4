/** @file local_attempt.cpp Running a request at the target beside this daemon. */
#include "local_attempt.h"

#include "admission_estimate_func.h"
#include "admission_func.h"
#include "async_condition.h"
#include "dedup_func.h"
#include "elapsed_clock.h"
#include "request_log.h"

#include <cmath>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds connectTimeout{500}; ///< Bound on connecting to the target beside this daemon.
constexpr milliseconds lookupIdle{3000}; ///< Idle time of a connection that a lookup may use; it can be repeated.
constexpr milliseconds orderIdle{500}; ///< Idle time of a connection that an order may use; targets close later.
constexpr milliseconds abandonCheck{150}; ///< Between two looks whether the caller still waits.
constexpr std::string_view staleGrant = "stale-grant"; ///< The contract's reason for a grant that does not hold.
constexpr milliseconds targetRetry{200}; ///< When to come back if the target refused.
constexpr milliseconds unreachableRetry{1000}; ///< When to come back if the target can't be reached.

request_outcome notRun(refusal reason, milliseconds retryAfter)
{
    return {attempt_result::not_run, reason, nameOf(reason), retryAfter};
}

/** A verdict that another thread delivers to a waiting coroutine. */
struct verdict_box
{
    explicit verdict_box(const asio::any_io_executor &executor)
        : changed(executor)
    { }

    std::optional<admission_result> verdict; ///< Set once, on the waiter's thread.
    async_condition changed; ///< Wakes the waiter.
};

/** Enters a request that must not run twice; returns the outcome that ends it, if any. */
std::optional<request_outcome> enterLedger(daemon_shared &shared, const routed_request &request)
{
    const std::lock_guard lock(shared.admission.mutex);
    switch (registerAttempt(shared.admission.ledger, request.id, request.attempt, clock::now())) {
    case dedup_result::accepted:
        return std::nullopt;
    case dedup_result::cancelled:
        return notRun(refusal::cancelled, milliseconds(0));
    case dedup_result::full:
        return notRun(refusal::overloaded, unreachableRetry);
    default:
        // An earlier copy is under way or has run: nothing can be said about that one here.
        return request_outcome{attempt_result::unknown, refusal::none, "duplicate"};
    }
}

void leaveLedger(daemon_shared &shared, const routed_request &request, dedup_stage stage)
{
    if (!request.idempotent) {
        const std::lock_guard lock(shared.admission.mutex);
        advanceAttempt(shared.admission.ledger, request.id, request.attempt, stage);
    }
}

/** Waits in the queue until admitted, refused, or abandoned by the caller. */
asio::awaitable<admission_result> awaitVerdict(daemon_shared &shared, admission_request asked,
                                               std::shared_ptr<verdict_box> box, std::shared_ptr<answer_sink> sink)
{
    while (!box->verdict) {
        co_await box->changed.waitUntil(clock::now() + abandonCheck);
        if (!box->verdict && sink->abandoned()) {
            const std::lock_guard lock(shared.admission.mutex);
            auto &queue = shared.admission.admission.queue;
            const auto before = queue.size();
            std::erase_if(queue, [&](const auto &waiting) { return waiting.request.id == asked.id; });
            if (queue.size() != before) {
                shared.admission.waiters.erase(asked.id);
                co_return admission_result{false, false, refusal::cancelled, milliseconds(0)};
            }
        }
    }
    co_return *box->verdict;
}

/** Asks admission; a queued request gets its verdict through the box. */
admission_result askAdmission(daemon_shared &shared, admission_request &asked, const std::shared_ptr<verdict_box> &box,
                              run_note &note)
{
    const std::lock_guard lock(shared.admission.mutex);
    const auto now = clock::now();
    auto &admission = shared.admission.admission;
    asked.id = shared.admission.nextId++;
    note.askedAt = now;
    note.inFlight = admission.inFlight;
    note.queued = admission.queue.size();
    note.service = milliseconds(std::llround(expectedServiceMs(admission, isUrgent(asked))));
    note.leaseLeft = std::chrono::duration_cast<milliseconds>(grantUntil(admission) - now);
    const auto verdict = admit(admission, asked, now);
    if (verdict.queued) {
        shared.admission.waiters[asked.id] = [box](const admission_result &decided) {
            asio::post(box->changed.executor, [box, decided] {
                box->verdict = decided;
                box->changed.notifyAll();
            });
        };
    }
    return verdict;
}

/** The last check before hand-over, together with the ledger, in one step. */
refusal passHandOver(daemon_shared &shared, const routed_request &request, const admission_request &asked)
{
    const std::lock_guard lock(shared.admission.mutex);
    const auto reason = checkHandOver(shared.admission.admission, asked, clock::now());
    if (reason != refusal::none || request.idempotent) {
        return reason;
    }
    return advanceAttempt(shared.admission.ledger, request.id, request.attempt, dedup_stage::handed_over)
        ? refusal::none
        : refusal::cancelled;
}

void addHeader(http_request &request, const std::string &name, std::string value)
{
    if (!name.empty()) {
        request.headers.emplace_back(name, std::move(value));
    }
}

http_request withGrant(const routed_request &request, const header_profile &names, const std::string &targetLife)
{
    auto out = request.http;
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - clock::now());
    if (names.composeRequestIds) {
        addHeader(out, names.requestId, request.id);
    }
    addHeader(out, names.deadline, std::to_string(left.count()));
    addHeader(out, names.pool, request.pool.value);
    if (!targetLife.empty()) {
        addHeader(out, names.expectedTarget, targetLife);
    }
    if (request.slot) {
        addHeader(out, names.key, request.key);
        addHeader(out, names.slot, std::to_string(request.slot->slot.value));
        addHeader(out, names.fence, std::to_string(request.slot->fence.value));
    }
    return out;
}

/** Life of the target that is meant, if this deployment names lives. */
std::string targetLifeOf(daemon_shared &shared)
{
    const std::lock_guard lock(shared.admission.mutex);
    return shared.admission.targetLife;
}

/** How long a kept connection may have been idle for this request. */
milliseconds idleFor(const routed_request &request)
{
    return request.idempotent ? lookupIdle : orderIdle;
}

/** Passes the body on. Returns whether it was whole and wanted to its end. */
asio::awaitable<bool> passBody(std::shared_ptr<target_exchange> exchange, std::shared_ptr<answer_sink> sink,
                               steady_time deadline, last_reason &why)
{
    for (;;) {
        auto part = co_await readTargetPart(exchange, deadline, why);
        if (!part) {
            co_return false;
        }
        if (part->empty()) {
            co_return true;
        }
        const bool wanted = co_await sink->part(std::move(*part));
        if (!wanted) {
            co_return false;
        }
    }
}

/** Breaks the exchange off when the caller gives up, which cancels the work at the target. */
asio::awaitable<void> watchCaller(std::shared_ptr<target_exchange> exchange, std::shared_ptr<answer_sink> sink,
                                  std::shared_ptr<bool> done)
{
    while (!*done) {
        co_await sleepFor(abandonCheck);
        if (!*done && sink->abandoned()) {
            cancelTarget(*exchange);
            co_return;
        }
    }
}

/** Latest moment for an answer to begin, from the hand-over on. */
steady_time answerUntil(const routed_request &request, steady_time handedOver)
{
    const bool limited = request.patience.count() > 0;
    return limited ? std::min(request.deadline, handedOver + request.patience) : request.deadline;
}

/** Lets other requests start once the target has made an answer, which then has a length. */
void freeWorker(daemon_shared &shared, admission_request &asked, steady_time startedAt)
{
    {
        const std::lock_guard lock(shared.admission.mutex);
        const auto now = clock::now();
        const auto worked = std::chrono::duration_cast<milliseconds>(now - startedAt);
        beginTransfer(shared.admission.admission, asked, worked, now);
    }
    advanceGate(shared.admission, clock::now());
}

/** Everything from hand-over to the end of the answer. */
asio::awaitable<request_outcome> exchangeWithTarget(daemon_shared &shared,
                                                    std::shared_ptr<const routed_request> request,
                                                    std::shared_ptr<target_exchange> exchange,
                                                    std::shared_ptr<answer_sink> sink, admission_request &asked,
                                                    bool &progress, run_note &note)
{
    last_reason why;
    note.handedOver = true;
    const auto handedOverAt = clock::now();
    auto granted = withGrant(*request, shared.names, targetLifeOf(shared));
    const bool sent = co_await sendToTarget(exchange, std::move(granted), request->deadline, why);
    std::optional<target_head> head;
    if (sent) {
        head = co_await readTargetHead(exchange, answerUntil(*request, handedOverAt), why);
    }
    if (!head) {
        note.detail = describe(why);
        const loss_facts facts{clock::now() >= answerUntil(*request, handedOverAt), sink->abandoned(), false};
        request_outcome lost{attempt_result::unknown, refusal::none, lossReason(facts, "target-lost")};
        lost.handedOver = true;
        co_return lost;
    }
    progress = true;
    if (!head->notRun.empty()) {
        // A target that has not yet heard of the lease, or no longer, refuses like a daemon without one.
        const auto reason = head->notRun == staleGrant ? refusal::no_lease : refusal::none;
        request_outcome refused{attempt_result::not_run, reason, "target-refused-" + head->notRun, targetRetry};
        refused.handedOver = true;
        co_return refused;
    }
    if (head->length) {
        freeWorker(shared, asked, handedOverAt);
    }
    const bool wanted = co_await sink->head(head->status, std::move(head->headers), head->length);
    bool whole = false;
    if (wanted) {
        whole = co_await passBody(exchange, sink, request->deadline, why);
    }
    sink->end(whole);
    note.detail = whole || why.text.empty() ? "" : describe(why);
    request_outcome outcome{attempt_result::answered, refusal::none, "target"};
    outcome.whole = whole;
    co_return outcome;
}

/** The chart's event for the end of an admitted request. */
std::string_view endEvent(const request_outcome &outcome, const outcome_track &track)
{
    const bool handedOver = isIn(embeddedChart(chart_file::outcome), track.state, "handed_over");
    switch (outcome.result) {
    case attempt_result::answered:
        return "answer";
    case attempt_result::unknown:
        return "lose";
    default:
        return handedOver ? "target_refused" : "refuse";
    }
}

/** Everything from admission on. */
asio::awaitable<request_outcome> runAdmitted(daemon_shared &shared, std::shared_ptr<target_client> targets,
                                             std::shared_ptr<const routed_request> request, admission_request asked,
                                             std::shared_ptr<answer_sink> sink, run_note &note)
{
    endpoint address;
    {
        const std::lock_guard lock(shared.admission.mutex);
        address = shared.admission.target;
    }
    last_reason why;
    outcome_track track;
    track.take("admit");
    request_outcome outcome = notRun(refusal::no_target, unreachableRetry);
    bool progress = false;
    const auto startedAt = clock::now();
    const auto exchange = co_await openTarget(targets, address, idleFor(*request), connectTimeout, why);
    if (exchange) {
        const auto reason = passHandOver(shared, *request, asked);
        if (reason == refusal::none) {
            track.take("hand_over");
            const auto done = std::make_shared<bool>(false);
            asio::co_spawn(co_await asio::this_coro::executor, watchCaller(exchange, sink, done), asio::detached);
            outcome = co_await exchangeWithTarget(shared, request, exchange, sink, asked, progress, note);
            *done = true;
        } else {
            outcome = notRun(reason, milliseconds(100));
        }
        closeTarget(*targets, exchange);
    } else {
        note.detail = describe(why);
    }
    {
        const std::lock_guard lock(shared.admission.mutex);
        const auto now = clock::now();
        finishRequest(shared.admission.admission, asked, progress,
                      std::chrono::duration_cast<milliseconds>(now - startedAt), now);
    }
    advanceGate(shared.admission, clock::now());
    track.take(endEvent(outcome, track));
    co_return outcome;
}

/** Everything from the ledger on. */
asio::awaitable<request_outcome> runNoted(daemon_shared &shared, std::shared_ptr<target_client> targets,
                                          std::shared_ptr<const routed_request> request,
                                          std::shared_ptr<answer_sink> sink, run_note &note)
{
    if (!request->idempotent) {
        auto ended = enterLedger(shared, *request);
        if (ended) {
            co_return *ended;
        }
    }
    const auto box = std::make_shared<verdict_box>(co_await asio::this_coro::executor);
    admission_request asked{
        0, request->slot, request->kind, request->deadline, request->rank, request->goal, request->pool};
    auto verdict = askAdmission(shared, asked, box, note);
    if (verdict.queued) {
        advanceGate(shared.admission, clock::now()); // Whoever lost its place hears of it at once.
        verdict = co_await awaitVerdict(shared, asked, box, sink);
    }
    if (!verdict.admitted) {
        leaveLedger(shared, *request, dedup_stage::refused);
        co_return notRun(verdict.refused, verdict.retryAfter);
    }
    note.admittedAt = clock::now();
    const auto outcome = co_await runAdmitted(shared, targets, request, asked, sink, note);
    observeDuration(*shared.numbers, "queue_seconds",
                    std::chrono::duration_cast<std::chrono::microseconds>(note.admittedAt - note.askedAt));
    if (outcome.result != attempt_result::unknown) {
        leaveLedger(shared, *request,
                    outcome.result == attempt_result::answered ? dedup_stage::answered : dedup_stage::refused);
    }
    co_return outcome;
}

} // namespace

asio::awaitable<request_outcome> runLocally(daemon_shared &shared, std::shared_ptr<target_client> targets,
                                            std::shared_ptr<const routed_request> request,
                                            std::shared_ptr<answer_sink> sink)
{
    run_note note;
    note.askedAt = clock::now();
    const auto outcome = co_await runNoted(shared, targets, request, sink, note);
    const auto now = clock::now();
    std::optional<std::uint64_t> dropped;
    {
        const std::lock_guard lock(shared.admission.mutex);
        dropped = takeRunLine(shared.admission.lines, *request, outcome, now);
    }
    if (dropped) {
        logRun(*request, note, outcome, *dropped, now);
    }
    co_return outcome;
}

bool cancelLocally(daemon_shared &shared, incarnation_id run, const std::string &id, const std::string &attempt)
{
    if (run != shared.incarnation) {
        return false; // The run before may have handed it over.
    }
    const std::lock_guard lock(shared.admission.mutex);
    return cancelAttempt(shared.admission.ledger, id, attempt, clock::now());
}

} // namespace quetzalspool
