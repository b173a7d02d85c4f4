/** @file case_lists.cpp A heartbeat without its lists hands on keys on which a draining server is still at work. */
#include "world.h"

#include <algorithm>

namespace review {

namespace {

constexpr milliseconds readyLimit{20000}; ///< Time in which all machines must be ready.
constexpr milliseconds calm{6000}; ///< Time without a disruption; `contact` is 3 s.
constexpr milliseconds clientDeadline{3000}; ///< Time that clients wait.
constexpr milliseconds serverWork{2500}; ///< Time that the long request takes.
constexpr milliseconds beginLimit{1000}; ///< Time in which it must begin.
constexpr milliseconds drainTime{300}; ///< From the drain to the heartbeat without lists: the server has released.
constexpr int oddHeartbeats = 5; ///< Heartbeats without lists.
constexpr milliseconds oddInterval{150}; ///< Time between two of them.
constexpr milliseconds afterwards{4000}; ///< Time in which the keys may be given to another server.

/** The first server of the sharded service that holds keys. */
machine *findHolder(world &in)
{
    const auto found = std::find_if(in.machines.begin(), in.machines.end(),
                                    [](const auto &at) { return at->sharded && !at->server->keys.rows.empty(); });
    return found == in.machines.end() ? nullptr : found->get();
}

asio::awaitable<void> sendLongRequest(world &in, const machine &through, std::uint32_t key)
{
    client_connection client(in.context.get_executor());
    if (!co_await connectClient(client, through.outbound)) {
        co_return;
    }
    auto request = makeRequest(in, http::verb::get, "/desk/card", clientDeadline);
    request.set("X-Shard-Key", std::to_string(key));
    const auto answer = co_await exchange(client, request, clientDeadline);
    note(in, {{"event", "answer"}, {"status", answer.complete ? answer.message.result_int() : 0}});
}

asio::awaitable<verdict> play(world &in)
{
    for (const char *name : {"m1", "m2", "m3"}) {
        addMachine(in, name, "z1", "desk").sharded = true;
    }
    addMachine(in, "m4", "z2", "ledger");
    for (const auto &at : in.machines) {
        if (!startDaemon(in, *at)) {
            co_return verdict::could_not_run;
        }
        startServer(in, *at, "i-" + at->name)->work = serverWork;
    }
    if (!co_await awaitReady(in, readyLimit)) {
        co_return verdict::could_not_run;
    }
    co_await sleepFor(calm);
    auto *holder = findHolder(in);
    if (holder == nullptr) {
        co_return verdict::could_not_run;
    }
    const auto server = holder->server;
    const auto key = server->keys.rows.front().from;
    asio::co_spawn(in.context, sendLongRequest(in, *holder, key), asio::detached);
    const auto until = clock::now() + beginLimit;
    while (!worksOnKey(*server, key) && clock::now() < until) {
        co_await sleepFor(milliseconds(10));
    }
    if (!worksOnKey(*server, key)) {
        co_return verdict::could_not_run;
    }
    server->draining = true;
    note(in, {{"event", "drain"}, {"server", server->id}, {"key", key}});
    co_await sleepFor(drainTime);
    for (int number = 0; in.trouble && number < oddHeartbeats; ++number) {
        auto odd = nextHeartbeat(*server);
        odd.erase("holds");
        odd.erase("freed");
        const bool taken = co_await sendHeartbeat(in, server, odd, false);
        note(in, {{"event", "heartbeat-without-lists"}, {"server", server->id}, {"acknowledged", taken}});
        co_await sleepFor(oddInterval);
    }
    co_await sleepFor(afterwards);
    note(in, {{"event", "sum"}, {"keys_given_while_at_work", in.doubleOwners}});
    co_return in.doubleOwners > 0 ? verdict::broken : verdict::held;
}

json shardedDesk()
{
    auto config = twoServices();
    config["services"][0]["sharded"] = true;
    return config;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, review::shardedDesk(), review::play);
}
