/** @file suspect_run.cpp Requests that may crash the local target, before and after they run. */
#include "suspect_run.h"

#include "admission_func.h"
#include "elapsed_clock.h"
#include "target_func.h"

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds connectTimeout{500}; ///< Time limit for finding out whether the target takes connections.
constexpr const char *targetCrashedReason = "target-crashed"; ///< The target ended while it ran the request.

} // namespace

std::optional<request_outcome> checkSuspicion(daemon_shared &shared, const routed_request &request,
                                              admission_request &admissionRequest, steady_time now)
{
    const auto suspicion = suspicionOf(shared.crashRegistry, request.fingerprint, now);
    if (suspicion.crashes > 0) {
        admissionRequest.suspect = request.fingerprint;
    }
    if (!suspicion.quarantineLeft) {
        return std::nullopt;
    }
    request_outcome outcome{attempt_result::not_run, refusal::quarantined, nameOf(refusal::quarantined),
                            *suspicion.quarantineLeft};
    outcome.crashes = suspicion.crashes;
    return outcome;
}

asio::awaitable<void> concludeRun(daemon_shared &shared, std::shared_ptr<const routed_request> request,
                                  std::uint64_t id, endpoint target, request_outcome &outcome)
{
    auto &registry = shared.crashRegistry;
    if (outcome.complete) {
        finishRun(registry, id, request->fingerprint, clock::now());
        const std::lock_guard lock(shared.admissionControl.mutex);
        clearQueuedSuspects(shared.admissionControl.admission, request->fingerprint);
        co_return;
    }
    if (outcome.result == attempt_result::not_run) {
        abandonRun(registry, id);
        co_return;
    }
    loseRun(registry, id, clock::now());
    if (!outcome.connectionLost) {
        co_return; // Given up by the caller or at the deadline; the target may still run it.
    }
    const bool ended = co_await refusesConnections(target, connectTimeout);
    if (!ended) {
        co_return;
    }
    recordTargetCrash(registry, clock::now());
    outcome.crashes = suspicionOf(registry, request->fingerprint, clock::now()).crashes;
    if (outcome.result == attempt_result::unknown) {
        outcome.reasonText = targetCrashedReason;
    }
}

asio::awaitable<void> checkTargetEnded(daemon_shared &shared, endpoint target)
{
    const bool ended = co_await refusesConnections(target, connectTimeout);
    if (ended) {
        recordTargetCrash(shared.crashRegistry, clock::now());
    }
}

} // namespace quetzalspool
