/** @file request_router.cpp Routes a request to its target, with retries. */
#include "request_router.h"

#include "balance_func.h"
#include "byte_distance_func.h"
#include "completion_choice_func.h"
#include "dedup_base.h"
#include "elapsed_clock.h"
#include "eligible_targets_func.h"
#include "final_status.h"
#include "leaving_target_func.h"
#include "local_attempt.h"
#include "peer_wire.h"
#include "routing_func.h"
#include "speed_exchange.h"

#include <set>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds connectTimeout{400}; ///< Time limit for connecting to another daemon.
constexpr milliseconds cancelTimeout{300}; ///< Time limit for cancelling an attempt at another daemon.
constexpr milliseconds ownerCheckInterval{150}; ///< Interval of the checks whether the slot still has the same owner.
constexpr milliseconds viewCheckInterval{5}; ///< Interval of the checks whether a waiting request has a new owner.
constexpr milliseconds unreachableRetryAfter{1000}; ///< Suggested retry time if the owner is not reachable.

constexpr const char *quarantinedReason = "quarantined"; ///< Reason of requests that this daemon does not route.

/** State of one request across its attempts. */
struct route_state
{
    std::shared_ptr<routed_request> request; ///< Request.
    std::shared_ptr<response_sink> sink; ///< Where the response is written.
    std::set<instance_id> tried; ///< Targets already tried, for pools without keys.
    std::uint32_t attempts = 0; ///< Attempts made.
    std::uint32_t handOvers = 0; ///< Number of targets that it was handed to.
    request_outcome last; ///< How the last attempt ended.
    std::optional<std::string> unknownReason; ///< Reason of the last attempt with an unknown outcome, if any.
    milliseconds waited{0}; ///< Total wait between attempts.
    std::uint32_t waits = 0; ///< Number of those waits.
};

/** Destination of the next attempt. */
struct route_choice
{
    std::shared_ptr<const routing_view> view; ///< Owns the member.
    const cell_member *member = nullptr; ///< Daemon beside the target; null if there is none.
    std::optional<fenced_slot> slot; ///< Slot and fence, for keyed pools.
    revision_number ownersRevision; ///< Revision of the ownership record that named the daemon, for keyed pools.
    std::optional<double> expected; ///< Expected completion time by which it was chosen, if speeds are learned.
    bool hasAlternative = false; ///< Whether another target remains to be tried after this one.
    eligible_targets targets; ///< Targets that may serve the request; refers to the view.
};

route_choice chooseMember(traffic_thread &thread, const route_state &state)
{
    route_choice choice;
    choice.view = thread.shared->routing.load();
    const auto &request = *state.request;
    const auto now = clock::now();
    auto &targets = choice.targets;
    targets =
        findEligible(*choice.view, {request.host, request.http.path, request.pool, request.key, request.regions}, now);
    const auto rules = choiceRules(thread.shared->settings);
    choice.member = chooseEligible(targets, thread.balance, rules, state.tried, thread.random, now);
    if (targets.owner) {
        choice.slot = fenced_slot{request.pool, *targets.slot, targets.owner->fence};
        choice.ownersRevision = targets.owner->revision;
    }
    if (choice.member != nullptr && !targets.keyed && rules.bySpeed) {
        choice.expected = expectedCompletion(thread.balance, *choice.member, now);
    }
    choice.hasAlternative = countUntried(targets.members, state.tried) > 1;
    return choice;
}

/** Outcome of an attempt for which no target was chosen. */
request_outcome noTargetOutcome(const route_choice &choice)
{
    const auto refused = refusalWithoutTarget(choice.targets);
    request_outcome outcome{attempt_result::not_run, refusal::none, refused.reason, refused.retryAfter};
    outcome.reachedOwner = false;
    return outcome;
}

byte_distance distanceTo(const traffic_thread &thread, const cell_member &member)
{
    const auto &settings = thread.shared->settings;
    return distanceBetween({settings.region, settings.domain}, placeOf(member));
}

/** Whether the slot of an attempt has been assigned to another owner since. */
bool ownerChanged(const traffic_thread &thread, const routed_request &request)
{
    if (!request.slot) {
        return false;
    }
    return namesOtherOwner(*thread.shared->routing.load(), request.pool, request.slot->slot, request.slot->fence);
}

/** Slot and fence of an attempt; fence 0 if no owner was known. Nothing for requests without a slot. */
std::optional<fenced_slot> triedSlot(const route_choice &choice, const routed_request &request)
{
    const auto pool = choice.view->pools.find(request.pool);
    if (choice.slot || pool == choice.view->pools.end() || !pool->second.row.keyed) {
        return choice.slot;
    }
    const auto slot = findSlot(request.key, pool->second.row);
    return slot ? std::optional(fenced_slot{request.pool, *slot, {}}) : std::nullopt;
}

/**
 * Waits before a retry, until the routing view names another owner of the slot or the wait is over. The view is checked
 * at short intervals, which costs no message.
 */
asio::awaitable<void> awaitNewOwner(traffic_thread &thread, std::optional<fenced_slot> tried, milliseconds wait)
{
    const auto until = clock::now() + wait;
    std::shared_ptr<const routing_view> checked;
    for (auto now = clock::now(); now < until; now = clock::now()) {
        auto view = thread.shared->routing.load();
        if (tried && view != checked && namesOtherOwner(*view, tried->pool, tried->slot, tried->fence)) {
            co_return;
        }
        checked = std::move(view);
        const auto left = std::chrono::ceil<milliseconds>(until - now);
        co_await sleepFor(tried ? std::min(viewCheckInterval, left) : left);
    }
}

/**
 * Asks the daemon that received an attempt to cancel it. Returns whether that proves that it did not run: only the same
 * incarnation of the daemon can know.
 */
asio::awaitable<bool> confirmCancelled(traffic_thread &thread, std::shared_ptr<const cell_member> member,
                                       std::shared_ptr<const routed_request> request)
{
    peer_request cancelRequest{cancelPath,
                               {{"qs-id", request->id},
                                {"qs-attempt", request->attempt},
                                {"qs-run", std::to_string(member->incarnation.value)}},
                               ""};
    const auto opened = co_await openCall(thread.peerClient, peerEndpoint(*member), std::move(cancelRequest),
                                          cancelTimeout, distanceTo(thread, *member));
    if (!opened.call) {
        co_return false;
    }
    const auto response = co_await readResponse(opened.call, clock::now() + cancelTimeout);
    co_return response && response->status == 200 && findHeader(response->headers, "qs-cancelled") == "1";
}

/** Waits for the head of a response until the deadline, or until no response can be expected any more. */
asio::awaitable<std::optional<peer_response_head>> awaitResponseHead(traffic_thread &thread,
                                                                     std::shared_ptr<peer_call> call,
                                                                     std::shared_ptr<const routed_request> request,
                                                                     std::shared_ptr<response_sink> sink)
{
    for (;;) {
        const auto now = clock::now();
        const auto until = request->deadline;
        auto head = co_await readResponseHead(call, std::min(now + ownerCheckInterval, until));
        if (head) {
            co_return head;
        }
        const bool ended = classifyFailure(*call) == peer_failure::not_processed || clock::now() >= until;
        // A lookup can be retried at another daemon; an order has to wait, since it may be running there.
        const bool unresponsive = request->idempotent && isPeerUnresponsive(*call);
        if (ended || unresponsive || ownerChanged(thread, *request) || sink->isCancelled() || isClosed(*call)) {
            co_return std::nullopt;
        }
    }
}

/** Forwards a response from another daemon to the sink. */
asio::awaitable<request_outcome> forwardResponse(std::shared_ptr<peer_call> call, peer_response_head head,
                                                 std::shared_ptr<const routed_request> request,
                                                 std::shared_ptr<response_sink> sink)
{
    auto outcome = decodeOutcome(head.headers);
    outcome.reasonText = "target";
    std::optional<std::uint64_t> length;
    std::vector<http_header> headers;
    for (auto &header : head.headers) {
        if (header.first == "qs-length") {
            length = static_cast<std::uint64_t>(std::atoll(header.second.c_str()));
        } else if (!header.first.starts_with("qs-")) {
            headers.push_back(std::move(header));
        }
    }
    bool accepted = co_await sink->writeHead(head.status, std::move(headers), length);
    while (accepted) {
        auto chunk = co_await readBodyChunk(call, request->deadline);
        if (!chunk) {
            break;
        }
        if (chunk->empty()) {
            outcome.complete = true;
            break;
        }
        outcome.responseBytes += chunk->size();
        accepted = co_await sink->writeChunk(std::move(*chunk));
    }
    if (!outcome.complete) {
        cancelCall(*call);
    }
    sink->finish(outcome.complete);
    co_return outcome;
}

/** Tells the other daemon if its target is known to be leaving: a daemon that was started again may not know it. */
void addLeavingHeader(daemon_shared &shared, const cell_member &member, std::vector<http_header> &headers)
{
    const std::lock_guard lock(shared.leavingTargetsMutex);
    if (const auto leaving = findLeavingTarget(shared.leavingTargets, member.id)) {
        headers.emplace_back(leavingHeader, encodeLeavingTarget(*leaving, clock::now()));
    }
}

/** Records that the response of another daemon says that its target is leaving. */
void recordLeaving(daemon_shared &shared, const cell_member &member, const std::vector<http_header> &headers)
{
    const auto now = clock::now();
    if (const auto leaving = decodeLeavingTarget(findHeader(headers, leavingHeader), now)) {
        const std::lock_guard lock(shared.leavingTargetsMutex);
        recordLeavingTarget(shared.leavingTargets, member.id, *leaving, now);
    }
}

/** Makes one attempt through another daemon. */
asio::awaitable<request_outcome> attemptRemote(traffic_thread &thread, std::shared_ptr<const cell_member> member,
                                               std::shared_ptr<const routed_request> request,
                                               std::shared_ptr<response_sink> sink)
{
    auto message = encodeRequest(*request, thread.shared->names, clock::now());
    const auto &settings = thread.shared->settings;
    message.headers.emplace_back(senderHeader, toString({settings.host, settings.peersPort}));
    addLeavingHeader(*thread.shared, *member, message.headers);
    if (settings.overload.followCalls || settings.learnSpeeds) {
        message.headers.emplace_back(routeHeader, request->route);
    }
    const auto opened = co_await openCall(thread.peerClient, peerEndpoint(*member), std::move(message), connectTimeout,
                                          distanceTo(thread, *member));
    if (!opened.call) {
        request_outcome outcome{attempt_result::not_run, refusal::none, "daemon-unreachable", unreachableRetryAfter};
        outcome.reachedOwner = false;
        co_return outcome;
    }
    auto head = co_await awaitResponseHead(thread, opened.call, request, sink);
    if (head) {
        recordLeaving(*thread.shared, *member, head->headers);
        auto outcome = decodeOutcome(head->headers);
        if (outcome.result == attempt_result::answered && !isFinalStatus(head->status)) {
            // A daemon of an earlier version passes on what its target sent; the target may have run the request.
            cancelCall(*opened.call);
            request_outcome lostOutcome{attempt_result::unknown, refusal::none, "target-lost"};
            lostOutcome.handedOver = true;
            lostOutcome.logDetail = "status " + std::to_string(head->status);
            co_return lostOutcome;
        }
        if (outcome.result == attempt_result::answered) {
            co_return co_await forwardResponse(opened.call, std::move(*head), request, sink);
        }
        co_return outcome;
    }
    const loss_context context{clock::now() >= request->deadline, sink->isCancelled(), ownerChanged(thread, *request)};
    request_outcome outcome{attempt_result::unknown, refusal::none, lossReason(context, "daemon-lost")};
    if (classifyFailure(*opened.call) == peer_failure::not_processed) {
        outcome = {attempt_result::not_run, refusal::leaving, "daemon-leaving", milliseconds(100)};
        outcome.logDetail = describeRefusal(*opened.call);
        co_return outcome;
    }
    cancelCall(*opened.call);
    if (!request->idempotent) {
        const bool cancelled = co_await confirmCancelled(thread, member, request);
        // The other daemon forgets an order when its retention after the deadline is over.
        if (cancelled && clock::now() < request->deadline + dedupRetention) {
            outcome = {attempt_result::not_run, refusal::leaving, "cancelled-before-hand-over", milliseconds(100)};
        }
    }
    co_return outcome;
}

/** Makes one attempt at the chosen member, and records its result for load balancing. */
asio::awaitable<request_outcome> attemptMember(traffic_thread &thread, cell_member member,
                                               std::shared_ptr<const routed_request> request,
                                               std::shared_ptr<response_sink> sink)
{
    const auto startedAt = clock::now();
    recordStart(thread.balance, member.id);
    request_outcome outcome;
    if (member.id == thread.shared->settings.instance) {
        outcome = co_await attemptLocally(*thread.shared, thread.targetClient, request, sink);
    } else {
        const auto other = std::make_shared<const cell_member>(member);
        outcome = co_await attemptRemote(thread, other, request, sink);
        if (member.region != thread.shared->settings.region) {
            thread.shared->crossRegionBytes += request->http.body.size() + outcome.responseBytes;
        }
    }
    const auto now = clock::now();
    recordReport(thread, member, *request, outcome, now);
    recordResult(thread.balance, member.id, outcome.result == attempt_result::answered,
                 std::chrono::duration_cast<milliseconds>(now - startedAt), now);
    co_return outcome;
}

retry_context makeRetryContext(const route_state &state, const request_outcome &outcome)
{
    retry_context context;
    context.result = outcome.result;
    context.reason = outcome.reason;
    context.reachedOwner = outcome.reachedOwner;
    context.idempotent = state.request->idempotent;
    context.keyed = state.request->slot.has_value() || !state.request->key.empty();
    context.attempts = state.attempts;
    context.handOvers = state.handOvers;
    context.maxHandOvers = state.request->maxTargets;
    context.waited = state.waited;
    context.waits = state.waits;
    context.deadline = state.request->deadline;
    return context;
}

/** Records what an attempt showed about the request: targets crashed under it, or one has responded. */
void recordCrashes(daemon_shared &shared, const routed_request &request, const request_outcome &outcome)
{
    if (outcome.result == attempt_result::answered && outcome.complete) {
        clearSuspect(shared.crashRegistry, request.fingerprint, clock::now());
    } else {
        recordNews(shared.crashRegistry, {request.fingerprint, outcome.crashes}, clock::now());
    }
}

/** Log record of an attempt that has just ended. */
attempt_trace makeAttemptTrace(const route_choice &choice, const routed_request &request,
                               const request_outcome &outcome, steady_time startedAt, steady_time arrivedAt)
{
    attempt_trace trace;
    trace.slot = choice.slot;
    trace.tables = tablesVersion(*choice.view);
    trace.owners = choice.ownersRevision;
    if (choice.member != nullptr) {
        trace.owner = choice.member->id;
        trace.attempt = request.attempt;
    }
    trace.startOffset = std::chrono::duration_cast<milliseconds>(startedAt - arrivedAt);
    trace.duration = std::chrono::duration_cast<milliseconds>(clock::now() - startedAt);
    trace.expected = choice.expected;
    trace.outcome = outcome;
    return trace;
}

/**
 * Outcome of the request: that of its last attempt, except that "not run" must hold for all attempts. Otherwise the
 * outcome is unknown, with the reason of the attempt that may have run.
 */
request_outcome finalOutcome(const route_state &state)
{
    auto outcome = state.last;
    if (state.unknownReason && outcome.result == attempt_result::not_run) {
        outcome.result = attempt_result::unknown;
        outcome.reasonText = *state.unknownReason;
    }
    return outcome;
}

} // namespace

asio::awaitable<request_outcome> routeRequest(traffic_thread &thread, routed_request request,
                                              std::shared_ptr<response_sink> sink, request_trace &trace)
{
    route_state state;
    state.request = std::make_shared<routed_request>(std::move(request));
    state.sink = std::move(sink);
    state.request->fingerprint = fingerprintOf(*state.request, thread.shared->names);
    depositBudget(thread.budget, thread.retryLimits);
    for (;;) {
        if (state.sink->isCancelled()) {
            // An overloaded daemon may read a request after its caller has disconnected; it must not forward it.
            state.last.reasonText = "cancelled";
            co_return finalOutcome(state);
        }
        const auto suspicion = suspicionOf(thread.shared->crashRegistry, state.request->fingerprint, clock::now());
        if (suspicion.quarantineLeft) {
            state.last = {attempt_result::not_run, refusal::quarantined, quarantinedReason, *suspicion.quarantineLeft};
            co_return finalOutcome(state);
        }
        ++state.attempts;
        const auto startedAt = clock::now();
        const auto choice = chooseMember(thread, state);
        if (choice.member == nullptr && !state.tried.empty() && state.request->key.empty()) {
            co_return finalOutcome(state); // All targets were tried: the last refusal is the reason.
        }
        auto outcome = noTargetOutcome(choice);
        if (choice.member != nullptr) {
            // Each attempt has its own copy: the coroutine watching an abandoned attempt may still read it.
            state.request = std::make_shared<routed_request>(*state.request);
            state.request->attempt = makeToken(thread.random());
            state.request->slot = choice.slot;
            state.request->crashes = suspicion.crashes;
            const bool lastTarget = state.handOvers + 1 >= state.request->maxTargets;
            const bool mayFailOver = choice.hasAlternative && state.request->idempotent && !lastTarget;
            state.request->responseTimeout = mayFailOver && thread.retryLimits.failoverWhenUnresponsive
                ? responseTimeout(thread.balance, choice.member->id)
                : milliseconds(0);
            state.tried.insert(choice.member->id);
            const auto member = *choice.member;
            outcome = co_await attemptMember(thread, member, state.request, state.sink);
        }
        trace.attempts.push_back(makeAttemptTrace(choice, *state.request, outcome, startedAt, trace.arrivedAt));
        recordCrashes(*thread.shared, *state.request, outcome);
        outcome.attempts = state.attempts;
        if (outcome.result == attempt_result::unknown) {
            state.unknownReason = outcome.reasonText;
        }
        state.last = outcome;
        if (outcome.result == attempt_result::answered || choice.targets.scope != target_scope::open
            || state.sink->isCancelled()) {
            co_return finalOutcome(state);
        }
        state.handOvers += outcome.handedOver || outcome.result == attempt_result::unknown ? 1 : 0;
        const auto decision =
            decideRetry(makeRetryContext(state, outcome), thread.budget, thread.retryLimits, clock::now());
        if (!decision.retry) {
            co_return finalOutcome(state);
        }
        countMetric(*thread.shared->metricsRegistry, "retries_total");
        if (decision.wait.count() > 0) {
            const auto waitsSince = clock::now();
            co_await awaitNewOwner(thread, triedSlot(choice, *state.request), decision.wait);
            state.waited += std::chrono::ceil<milliseconds>(clock::now() - waitsSince);
            ++state.waits;
        }
    }
}

} // namespace quetzalspool
