/** @file traffic_start.cpp Starting and stopping the threads that carry requests. */
#include "traffic_start.h"

#include "entry.h"
#include "http_server.h"
#include "peer_answer.h"

namespace quetzalspool {

namespace {

constexpr double rosterBudgetCap = 4; ///< Retries saved up by one daemon; all daemons share one allowance.

/** An instance that is gone stays so for longer than callers should wait; a new owner shows up sooner only by chance.
 */
constexpr milliseconds unreachableWait{50};

} // namespace

bool prepareTraffic(daemon_shared &shared, traffic_threads &traffic, last_reason &why)
{
    const auto &settings = shared.settings;
    const auto &names = shared.names;
    for (std::uint32_t index = 0; index < settings.trafficThreads; ++index) {
        auto thread = std::make_unique<traffic_thread>();
        thread->shared = &shared;
        if (settings.roster) {
            thread->retryLimits.budgetCap = rosterBudgetCap;
            thread->retryLimits.unreachableWaitLimit = unreachableWait;
            thread->budget.tokens = rosterBudgetCap;
        }
        auto callers = listenOn(thread->context, {settings.host, settings.callersPort}, why);
        if (!callers) {
            return false;
        }
        auto peers = listenOn(thread->context, {settings.host, settings.peersPort}, why);
        if (!peers) {
            return false;
        }
        auto &at = *thread;
        thread->callers = std::make_shared<tcp::acceptor>(std::move(*callers));
        thread->targets = makeTargetClient({names.notRun, names.ownIds ? "" : names.requestId, names.unframedAnswers});
        thread->client = makePeerClient(thread->context.get_executor());
        thread->peers =
            startPeerServer(std::move(*peers), [&at](peer_request request, std::shared_ptr<peer_responder> responder) {
                return answerPeer(at, std::move(request), std::move(responder));
            });
        asio::co_spawn(thread->context, acceptCallers(*thread), asio::detached);
        traffic.states.push_back(std::move(thread));
    }
    return true;
}

void runTraffic(traffic_threads &traffic)
{
    traffic.threads.reserve(traffic.states.size());
    for (auto &state : traffic.states) {
        traffic.threads.emplace_back([&at = *state] { at.context.run(); });
    }
}

void closeListeners(traffic_threads &traffic)
{
    for (auto &state : traffic.states) {
        asio::post(state->context, [&at = *state] {
            error_code ignored;
            at.callers->close(ignored);
            drainPeerServer(*at.peers);
        });
    }
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
