/** @file case_trace.cpp A client sends small TRACE requests with a body; afterwards no request of any client is served.
 */
#include "world.h"

namespace review {

namespace {

constexpr milliseconds readyLimit{20000}; ///< Time in which all machines must be ready.
constexpr milliseconds calm{4000}; ///< Time without any event before the disruption; `contact` is 3 s.
constexpr milliseconds hostileDeadline{1000}; ///< Time that the client of the disruption waits.
constexpr milliseconds hostileTime{4000}; ///< Time from the disruption to the ordinary requests.
constexpr milliseconds trafficTime{30000}; ///< Time of the ordinary requests.
constexpr milliseconds clientDeadline{3000}; ///< Time that ordinary clients wait.
constexpr milliseconds serverWork{50}; ///< Time that a request takes.
constexpr milliseconds pause{200}; ///< Between two requests of a client.
constexpr int clientsPerMachine = 4; ///< Ordinary clients at each machine.
constexpr int hostilePerMachine = 32; ///< Requests of the disruption at each machine and service.

struct tally
{
    std::uint64_t sent = 0; ///< Ordinary requests sent.
    std::uint64_t served = 0; ///< Ordinary requests answered with success.
    bool stopped = false; ///< Whether clients send no more.
};

asio::awaitable<void> sendRequests(world &in, const machine &at, std::string service, tally &seen)
{
    while (!seen.stopped) {
        client_connection client(in.context.get_executor());
        bool open = co_await connectClient(client, at.outbound);
        while (open && !seen.stopped) {
            const auto request = makeRequest(in, http::verb::get, "/" + service + "/sheet", clientDeadline);
            const auto answer = co_await exchange(client, request, clientDeadline);
            const auto status = answer.complete ? answer.message.result_int() : 0;
            ++seen.sent;
            seen.served += status == 200 ? 1 : 0;
            note(in,
                 {{"event", "answer"},
                  {"machine", at.name},
                  {"request", std::string(request["X-Request-Id"])},
                  {"status", status}});
            open = answer.complete;
            co_await sleepFor(pause);
        }
        co_await sleepFor(pause);
    }
}

asio::awaitable<void> sendTrace(world &in, const machine &at, std::string service)
{
    client_connection client(in.context.get_executor());
    if (!co_await connectClient(client, at.outbound)) {
        co_return;
    }
    auto request = makeRequest(in, http::verb::post, "/" + service + "/sheet", hostileDeadline);
    request.body() = "body";
    request.prepare_payload();
    request.method_string("TRACE");
    const auto answer = co_await exchange(client, request, hostileDeadline * 2);
    note(in,
         {{"event", "trace"},
          {"machine", at.name},
          {"service", service},
          {"request", std::string(request["X-Request-Id"])},
          {"status", answer.complete ? answer.message.result_int() : 0},
          {"closed_without_answer", answer.closed}});
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
    co_await sleepFor(calm);
    for (const auto &at : in.machines) {
        for (int number = 0; in.trouble && number < hostilePerMachine; ++number) {
            asio::co_spawn(in.context, sendTrace(in, *at, "desk"), asio::detached);
            asio::co_spawn(in.context, sendTrace(in, *at, "ledger"), asio::detached);
        }
    }
    co_await sleepFor(hostileTime);
    tally seen;
    for (const auto &at : in.machines) {
        for (int number = 0; number < clientsPerMachine; ++number) {
            const std::string service = number % 2 == 0 ? "desk" : "ledger";
            asio::co_spawn(in.context, sendRequests(in, *at, service, seen), asio::detached);
        }
    }
    co_await sleepFor(trafficTime);
    seen.stopped = true;
    co_await sleepFor(clientDeadline);
    note(in, {{"event", "sum"}, {"sent", seen.sent}, {"served", seen.served}});
    if (seen.sent == 0) {
        co_return verdict::could_not_run;
    }
    co_return seen.served == 0 ? verdict::broken : verdict::held;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, review::twoServices(), review::play);
}
