/** @file case_rows.cpp All servers of a sharded service but one leave; the last one never gets an answer of 4 KiB. */
#include "world.h"

#include <csignal>
#include <random>
#include <sys/wait.h>

namespace review {

namespace {

constexpr milliseconds readyLimit{20000}; ///< Time in which all machines must be ready.
constexpr milliseconds calm{5000}; ///< Time before the servers leave.
constexpr milliseconds drain{3000}; ///< From the drain of a server to its exit; `drain` is 2 s.
constexpr milliseconds betweenExits{6000}; ///< From the drain of a server to that of the next one.
constexpr milliseconds downTime{1000}; ///< From the final kill of all daemons to their start.
constexpr milliseconds recovery{15000}; ///< `recover` of the sheets.
constexpr milliseconds measured{8000}; ///< Time of the requests that are counted.
constexpr milliseconds clientDeadline{2000}; ///< Time that clients wait.
constexpr milliseconds serverWork{20}; ///< Time that a request takes.
constexpr milliseconds pause{100}; ///< Between two requests of a client.
constexpr int servedShare = 4; ///< At least one request in so many has to be served.

struct tally
{
    std::uint64_t sent = 0; ///< Requests in the present period.
    std::uint64_t served = 0; ///< Those answered with success.
    bool stopped = false; ///< Whether clients send no more.
};

asio::awaitable<void> sendRequests(world &in, const machine &at, tally &seen)
{
    std::mt19937 random(at.outbound);
    while (!seen.stopped) {
        client_connection client(in.context.get_executor());
        bool open = co_await connectClient(client, at.outbound);
        while (open && !seen.stopped) {
            auto request = makeRequest(in, http::verb::get, "/desk/card", clientDeadline);
            request.set("X-Shard-Key", std::to_string(std::uniform_int_distribution<int>(0, 65535)(random)));
            const auto answer = co_await exchange(client, request, clientDeadline);
            const auto status = answer.complete ? answer.message.result_int() : 0;
            ++seen.sent;
            seen.served += status == 200 ? 1 : 0;
            note(in, {{"event", "answer"}, {"request", std::string(request["X-Request-Id"])}, {"status", status}});
            open = answer.complete;
            co_await sleepFor(pause);
        }
        co_await sleepFor(pause);
    }
}

/** Empties a server and takes it away; its daemon gets SIGTERM after the server has ended. */
asio::awaitable<void> takeAway(world &in, machine &at)
{
    at.server->draining = true;
    note(in, {{"event", "drain"}, {"server", at.server->id}});
    co_await sleepFor(drain);
    co_await sendLeave(in, at.server);
    at.server->keys = {};
    at.leaves = true;
    kill(at.daemon, SIGTERM);
    note(in, {{"event", "sigterm"}, {"machine", at.name}});
    co_await sleepFor(betweenExits - drain);
}

/** Counts the requests of a period. Returns whether at least one in four was served. */
bool isServed(world &in, tally &seen, const char *period)
{
    const bool served = seen.served * servedShare >= seen.sent;
    note(in, {{"event", "sum"}, {"period", period}, {"sent", seen.sent}, {"served", seen.served}});
    seen.sent = 0;
    seen.served = 0;
    return served;
}

asio::awaitable<verdict> play(world &in)
{
    for (const char *name : {"m1", "m2", "m3", "m4", "m5"}) {
        addMachine(in, name, name[1] % 2 == 0 ? "z1" : "z2", "desk").sharded = true;
    }
    auto &entry = addMachine(in, "m6", "z1", "ledger");
    for (const auto &at : in.machines) {
        if (!startDaemon(in, *at)) {
            co_return verdict::could_not_run;
        }
        startServer(in, *at, "i-" + at->name)->work = serverWork;
    }
    asio::co_spawn(in.context, watchProcesses(in, downTime), asio::detached);
    if (!co_await awaitReady(in, readyLimit)) {
        co_return verdict::could_not_run;
    }
    co_await sleepFor(calm);
    tally seen;
    asio::co_spawn(in.context, sendRequests(in, entry, seen), asio::detached);
    co_await sleepFor(measured);
    if (!isServed(in, seen, "before")) {
        co_return verdict::could_not_run;
    }
    for (std::size_t number = 0; in.trouble && number < 4; ++number) {
        co_await takeAway(in, *in.machines[number]);
    }
    // The final fault: all processes are killed at the same moment.
    for (const auto &at : in.machines) {
        killDaemon(in, *at);
    }
    co_await sleepFor(downTime);
    for (const auto &at : in.machines) {
        if (!at->leaves) {
            startDaemon(in, *at);
        }
    }
    co_await sleepFor(recovery);
    isServed(in, seen, "recovery");
    co_await sleepFor(measured);
    seen.stopped = true;
    const bool served = isServed(in, seen, "after");
    co_return served ? verdict::held : verdict::broken;
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
