/**
 * @file case_departed.cpp A server announces its exit; its daemon is killed twice, or once while the store is down; the
 * server gets requests again.
 */
#include "world.h"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

constexpr milliseconds readyLimit{20000}; ///< Time in which all machines must be ready.
constexpr milliseconds calm{4000}; ///< Time without a disruption; `contact` is 3 s.
constexpr milliseconds drain{2000}; ///< Time after an acknowledged exit from which the server gets no request.
constexpr milliseconds clientDeadline{1000}; ///< Time that clients wait.
constexpr milliseconds serverWork{50}; ///< Time that a request takes.
constexpr milliseconds pause{100}; ///< Between two requests of a client.
constexpr milliseconds killAfter{300}; ///< From the acknowledgement to the first kill.
constexpr milliseconds restartDelay{300}; ///< Time after which the platform starts a killed process again.
constexpr milliseconds runTime{1500}; ///< From the first restart to the second kill.
constexpr milliseconds heartbeatDelay{500}; ///< From the second restart to the arrival of the late heartbeat.
constexpr milliseconds heartbeatDelayInOutage{
    1500}; ///< The same from the end of the outage: the configuration is known.
constexpr milliseconds contact{3300}; ///< From the second restart to the requests: the machine is in touch again.
constexpr milliseconds outage{4500}; ///< Time for which the store is down, in the second sequence.
constexpr milliseconds leaveInOutage{300}; ///< From the begin of the outage to the exit's announcement.
constexpr int requestsAtTheEnd = 10; ///< Requests of the client beside the server.

bool isRunBy(const world &in, const std::string &id, const std::string &server)
{
    return std::any_of(in.runs.begin(), in.runs.end(),
                       [&](const auto &run) { return run.request == id && run.server == server; });
}

/** Sends a request through a machine. Returns its id. */
asio::awaitable<std::string> sendRequest(world &in, const machine &at)
{
    client_connection client(in.context.get_executor());
    const auto request = makeRequest(in, http::verb::get, "/ledger/sheet", clientDeadline);
    std::string id(request["X-Request-Id"]);
    const bool open = co_await connectClient(client, at.outbound);
    client_answer answer;
    if (open) {
        answer = co_await exchange(client, request, clientDeadline);
    }
    note(in,
         {{"event", "answer"},
          {"machine", at.name},
          {"request", id},
          {"status", answer.complete ? answer.message.result_int() : 0}});
    co_return id;
}

asio::awaitable<void> restart(world &in, machine &at)
{
    killDaemon(in, at);
    co_await sleepFor(restartDelay);
    startDaemon(in, at);
}

/** The daemon is killed twice, without any other disruption. */
asio::awaitable<void> killTwice(world &in, machine &at)
{
    co_await sleepFor(killAfter);
    if (in.trouble) {
        co_await restart(in, at);
    }
    co_await sleepFor(runTime);
    if (in.trouble) {
        co_await restart(in, at);
    }
}

/** The daemon is killed once while the store is down. */
asio::awaitable<void> killInOutage(world &in, machine &at)
{
    co_await sleepFor(killAfter);
    if (in.trouble) {
        co_await restart(in, at);
    }
    co_await sleepFor(outage - leaveInOutage - killAfter - restartDelay);
    in.store.busy = false;
    note(in, {{"event", "store-back"}});
}

asio::awaitable<verdict> play(world &in)
{
    const bool withOutage = std::getenv("OUTAGE") != nullptr;
    auto &at = addMachine(in, "m1", "z1", "ledger");
    addMachine(in, "m2", "z2", "ledger");
    addMachine(in, "m3", "z1", "desk");
    addMachine(in, "m4", "z2", "desk");
    for (const auto &machine : in.machines) {
        if (!startDaemon(in, *machine)) {
            co_return verdict::could_not_run;
        }
        startServer(in, *machine, "i-" + machine->name)->work = serverWork;
    }
    if (!co_await awaitReady(in, readyLimit)) {
        co_return verdict::could_not_run;
    }
    co_await sleepFor(calm);
    const auto server = at.server;
    const auto first = co_await sendRequest(in, at);
    if (withOutage && in.trouble) {
        in.store.busy = true;
        note(in, {{"event", "store-busy"}});
        co_await sleepFor(leaveInOutage);
    }
    // The server sends this heartbeat now; it arrives late, as heartbeats may.
    const auto late = nextHeartbeat(*server);
    const bool left = co_await sendLeave(in, server);
    const auto acknowledgedAt = clock::now();
    if (!left || !isRunBy(in, first, server->id)) {
        co_return verdict::could_not_run;
    }
    if (withOutage) {
        co_await killInOutage(in, at);
    } else {
        co_await killTwice(in, at);
    }
    const auto delay = withOutage ? heartbeatDelayInOutage : heartbeatDelay;
    co_await sleepFor(delay);
    const bool taken = co_await sendHeartbeat(in, server, late);
    note(in, {{"event", "late-heartbeat"}, {"server", server->id}, {"acknowledged", taken}});
    co_await sleepFor(contact - delay);
    for (int number = 0; number < requestsAtTheEnd; ++number) {
        co_await sendRequest(in, at);
        co_await sleepFor(pause);
    }
    const auto runsAfterDrain = std::count_if(in.runs.begin(), in.runs.end(), [&](const auto &run) {
        return run.server == server->id && run.at > acknowledgedAt + drain;
    });
    note(in, {{"event", "sum"}, {"server", server->id}, {"runs_later_than_drain", runsAfterDrain}});
    co_return runsAfterDrain > 0 ? verdict::broken : verdict::held;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, review::twoServices(), review::play);
}
