/** @file traffic_start.cpp Start and stop of the traffic threads. */
#include "traffic_start.h"

#include "caller_server.h"
#include "elapsed_clock.h"
#include "http_server.h"
#include "log_func.h"
#include "memory_budget_func.h"
#include "peer_handler.h"
#include "peer_wire.h"
#include "where_query.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds stopPollInterval{20}; ///< Interval of the checks whether a planned stop is complete.
constexpr milliseconds idleTime{300}; ///< Callers may send requests until there were none for this time.
constexpr milliseconds responseWriteTime{400}; ///< Time after the last deadline in which responses are still written.
constexpr double rosterRetryBudget = 4; ///< Initial and maximum tokens in the retry budget of a traffic
                                        ///< thread; few, since all daemons share one allowance.

/** Maximum total wait of a request while its owner can't be reached. A failed instance stays unreachable for longer
 * than callers should wait; a new owner appears sooner only by chance.
 */
constexpr milliseconds unreachableWait{50};

/** Maximum total wait of a request while its slot is moving: enough for daemons to learn of an owner that was written,
 * some 50 ms. A whole reassignment takes more than a second, which is too long to wait for.
 */
constexpr milliseconds newOwnerWait{120};

/** Sets the retry limits of deployments with a roster, which have many daemons with few requests each. */
void applyRosterRetryLimits(traffic_thread &thread)
{
    thread.retryLimits.budgetCap = rosterRetryBudget;
    thread.retryLimits.unreachableWaitLimit = unreachableWait;
    thread.retryLimits.waitLimit = newOwnerWait;
    thread.retryLimits.failoverWhenUnresponsive =
        false; // A request that an unresponsive target has received is not retried elsewhere.
    thread.budget.tokens = rosterRetryBudget;
}

/** Derives the limits of memory and connections from the settings and the machine. */
void setLimits(daemon_shared &shared)
{
    struct sysinfo machine
    { };
    if (shared.settings.memoryBytes == 0 && sysinfo(&machine) == 0) {
        shared.settings.memoryBytes = std::uint64_t{machine.totalram} * machine.mem_unit;
    }
    if (shared.settings.memoryBytes > 0) {
        const auto budget = makeMemoryBudget(shared.settings.memoryBytes);
        shared.memory->limit = budget.limit;
        shared.memory->reserved = budget.reserved;
    }
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
        shared.maxCallers = maxCallerConnections(descriptors.rlim_cur, shared.settings.trafficThreads);
    }
}

/** Closes the listening sockets, each on its own thread. Requests in progress continue. */
void closeListeners(traffic_threads &traffic)
{
    for (auto &state : traffic.states) {
        asio::post(state->context, [&at = *state] {
            error_code ignored;
            at.callerAcceptor->close(ignored);
            const auto drained = drainPeerServer(*at.peerServer);
            logEvent(log_level::info, "listeners-closed",
                     {{"sessions", std::to_string(drained.sessions)},
                      {"open_streams", std::to_string(drained.openStreams)}});
        });
    }
}

/** Waits until no request has been in progress for a short time, at most until the limit. */
asio::awaitable<void> awaitIdle(daemon_shared &shared, steady_time limit)
{
    auto idleSince = clock::now();
    while (clock::now() - idleSince < idleTime && clock::now() < limit) {
        if (shared.requestsInFlight > 0) {
            idleSince = clock::now();
        }
        co_await sleepFor(stopPollInterval);
    }
}

/** Closes the idle connections of callers, each thread its own. Requests in progress continue. */
void closeIdleCallers(traffic_threads &traffic)
{
    for (auto &state : traffic.states) {
        asio::post(state->context, [&at = *state] { closeIdleCallers(at); });
    }
}

/** Whether a thread has answered every request that it has read. To be called on the thread. */
asio::awaitable<bool> hasAnswered(traffic_thread &thread)
{
    co_return thread.callers.empty() && !hasOpenRequests(*thread.peerServer, attemptPath);
}

/** Waits until all that was taken is answered, at most until the limit. Nothing may be taken any more. */
asio::awaitable<void> awaitAnswered(daemon_shared &shared, traffic_threads &traffic, steady_time limit)
{
    bool answered = false;
    while (!answered && clock::now() < limit) {
        answered = shared.requestsInFlight == 0;
        for (auto &state : traffic.states) {
            const bool threadAnswered =
                co_await asio::co_spawn(state->context, hasAnswered(*state), asio::use_awaitable);
            answered = answered && threadAnswered;
        }
        if (!answered) {
            co_await sleepFor(stopPollInterval);
        }
    }
}

} // namespace

bool prepareTraffic(daemon_shared &shared, traffic_threads &traffic, last_reason &why)
{
    const auto &settings = shared.settings;
    const auto &names = shared.names;
    shared.admissionControl.admission.speed.enabled = settings.learnSpeeds;
    setLimits(shared);
    shared.answerWhere = [&traffic](std::string path) { return answerWhere(*traffic.states.front(), std::move(path)); };
    for (std::uint32_t index = 0; index < settings.trafficThreads; ++index) {
        auto thread = std::make_unique<traffic_thread>();
        thread->shared = &shared;
        if (settings.roster) {
            applyRosterRetryLimits(*thread);
        }
        auto callerAcceptor = listenOn(thread->context, {settings.host, settings.callersPort}, why);
        if (!callerAcceptor) {
            return false;
        }
        auto peerAcceptor = listenOn(thread->context, {settings.host, settings.peersPort}, why);
        if (!peerAcceptor) {
            return false;
        }
        auto &at = *thread;
        thread->callerAcceptor = std::make_shared<tcp::acceptor>(std::move(*callerAcceptor));
        thread->targetClient = makeTargetClient({names.notRun, names.composeRequestIds ? "" : names.requestId,
                                                 names.acceptUnframedResponses, names.targetLimit, names.targetLeaving,
                                                 names.targetCold, settings.learnSpeeds ? names.targetLoad : ""});
        thread->peerClient = makePeerClient(thread->context.get_executor(), shared.memory, {shared.sentBytes});
        thread->storePool =
            makeHttpConnectionPool(counterOf(shared.sentBytes, byte_kind::store, byte_distance::region));
        thread->peerServer = startPeerServer(std::move(*peerAcceptor),
                                             [&at](peer_request request, std::shared_ptr<peer_responder> responder) {
                                                 return handlePeerRequest(at, std::move(request), std::move(responder));
                                             },
                                             {shared.memory->limit, shared.memory, shared.sentBytes, isControlPath});
        asio::co_spawn(thread->context, acceptCallers(*thread), asio::detached);
        traffic.states.push_back(std::move(thread));
    }
    for (auto &state : traffic.states) {
        for (auto &other : traffic.states) {
            if (other != state) {
                state->others.push_back(other.get());
            }
        }
    }
    return true;
}

void runTraffic(traffic_threads &traffic)
{
    traffic.threads.reserve(traffic.states.size());
    for (auto &state : traffic.states) {
        traffic.threads.emplace_back([&at = *state] {
            const auto untilStopped = asio::make_work_guard(at.context);
            at.context.run();
        });
    }
}

void initSharedState(daemon_shared &shared)
{
    std::random_device device;
    shared.incarnation.value = (static_cast<std::uint64_t>(device()) << 31U) ^ device();
    shared.routing.store(std::make_shared<const routing_view>());
    shared.catalog.store(std::make_shared<const catalog_state>());
}

cell_member describeSelf(const daemon_shared &shared)
{
    const auto &settings = shared.settings;
    cell_member self;
    self.id = settings.instance;
    self.incarnation = shared.incarnation;
    self.region = settings.region;
    self.domain = settings.domain;
    self.endpoints = {settings.host, settings.callersPort, settings.peersPort, settings.adminPort};
    return self;
}

asio::awaitable<void> drainTraffic(daemon_shared &shared, traffic_threads &traffic)
{
    shared.stopping = true;
    closeListeners(traffic);
    const auto deadline = shared.stopDeadline.load();
    co_await awaitIdle(shared, deadline);
    closeIdleCallers(traffic);
    co_await awaitAnswered(shared, traffic, deadline + responseWriteTime);
    logEvent(log_level::info, "stopped", {{"open_requests", std::to_string(shared.requestsInFlight.load())}});
}

void stopTraffic(traffic_threads &traffic)
{
    for (auto &state : traffic.states) {
        state->context.stop();
    }
    for (auto &thread : traffic.threads) {
        thread.join();
    }
}

} // namespace quetzalspool
