/** @file case_unnamed.cpp Faulty servers send further bytes after complete answers; a caller gets them as its answer.
 */
#include "world.h"

namespace review {

namespace {

constexpr milliseconds readyLimit{20000}; ///< Time in which all machines must be ready.
constexpr milliseconds calm{4000}; ///< Time without a disruption; `contact` is 3 s.
constexpr milliseconds faultTime{20000}; ///< Time in which half of the servers are faulty.
constexpr milliseconds clientDeadline{3000}; ///< Time that clients wait.
constexpr milliseconds serverWork{20}; ///< Time that a request takes.
constexpr milliseconds pause{20}; ///< Between two requests of a client.
constexpr int clientsPerMachine = 2; ///< Kept connections at each machine.
constexpr std::uint64_t spoilEvery = 50; ///< One in so many answers of a faulty server is spoilt: 2%.

struct tally
{
    std::uint64_t answered = 0; ///< Successes with the signature of a server.
    std::uint64_t foreign = 0; ///< Successes without it.
    bool stopped = false; ///< Whether clients send no more.
};

asio::awaitable<void> sendRequests(world &in, const machine &at, tally &seen)
{
    while (!seen.stopped) {
        client_connection client(in.context.get_executor());
        bool open = co_await connectClient(client, at.outbound);
        while (open && !seen.stopped) {
            const auto request = makeRequest(in, http::verb::get, "/" + at.service + "/sheet", clientDeadline);
            const std::string id(request["X-Request-Id"]);
            const auto answer = co_await exchange(client, request, clientDeadline);
            const auto status = answer.complete ? answer.message.result_int() : 0;
            const bool isSigned = answer.complete && answer.message.count("X-Response-Signature") > 0;
            const bool foreign = status >= 200 && status < 300 && !isSigned;
            seen.answered += status == 200 && isSigned ? 1 : 0;
            seen.foreign += foreign ? 1 : 0;
            json line{{"event", "answer"}, {"request", id}, {"status", status}, {"signed", isSigned}};
            if (foreign) {
                line["body"] = answer.message.body();
            }
            note(in, line);
            open = answer.complete;
            co_await sleepFor(pause);
        }
        co_await sleepFor(pause);
    }
}

/** Makes a server spoil its share of answers by a response that names no request. */
void makeFaulty(app_server &server)
{
    const auto count = std::make_shared<std::uint64_t>(0);
    server.lateBytes = [count]() -> std::string {
        return ++*count % spoilEvery == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nleftover\n" : "";
    };
}

asio::awaitable<verdict> play(world &in)
{
    addMachine(in, "m1", "z1", "desk");
    addMachine(in, "m2", "z2", "desk");
    addMachine(in, "m3", "z1", "ledger");
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
    tally seen;
    for (const auto &at : in.machines) {
        for (int number = 0; number < clientsPerMachine; ++number) {
            asio::co_spawn(in.context, sendRequests(in, *at, seen), asio::detached);
        }
    }
    co_await sleepFor(calm);
    if (in.trouble) {
        makeFaulty(*in.machines[0]->server);
        makeFaulty(*in.machines[2]->server);
    }
    co_await sleepFor(faultTime);
    seen.stopped = true;
    co_await sleepFor(clientDeadline);
    note(in, {{"event", "sum"}, {"signed_successes", seen.answered}, {"unsigned_successes", seen.foreign}});
    if (seen.answered == 0) {
        co_return verdict::could_not_run;
    }
    co_return seen.foreign > 0 ? verdict::broken : verdict::held;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, review::twoServices(), review::play);
}
