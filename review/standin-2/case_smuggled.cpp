/** @file case_smuggled.cpp A request whose body length can't be determined; a server runs what its body contains. */
#include "world.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace review {

namespace {

constexpr milliseconds readyLimit{20000}; ///< Time in which all machines must be ready.
constexpr milliseconds calm{4000}; ///< Time without any event before the disruption; `contact` is 3 s.
constexpr milliseconds answerTime{1000}; ///< Time in which the client reads answers.
constexpr milliseconds serverWork{20}; ///< Time that a request takes.
constexpr int requests = 10; ///< Requests that the client sends.

bool hasRun(const world &in, const std::string &id)
{
    return std::any_of(in.runs.begin(), in.runs.end(), [&](const auto &run) { return run.request == id; });
}

std::string headOf(const std::string &method, const std::string &path, const std::string &id)
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\n";
}

/** Sends one request with a body that looks like a request; returns whether a server has run that. */
asio::awaitable<bool> sendOne(world &in, const machine &at)
{
    const auto number = std::to_string(++in.requests);
    const auto outer = "outer-" + number;
    const auto hidden = "hidden-" + number;
    const auto body = headOf("GET", "/ledger/hidden", hidden) + "\r\n";
    // With a final coding other than "chunked", the end of the body can't be found (RFC 9112, 6.3): 400, and close.
    const std::string framing =
        in.trouble ? "Transfer-Encoding: chunked, gzip\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const auto bytes = headOf("POST", "/ledger/outer", outer) + framing + "\r\n" + body;
    client_connection client(in.context.get_executor());
    if (!co_await connectClient(client, at.outbound)) {
        co_return false;
    }
    error_code code;
    client.stream.expires_after(answerTime);
    co_await asio::async_write(client.stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, code));
    std::string received;
    while (!code) {
        std::string part(4096, '\0');
        const auto length =
            co_await client.stream.async_read_some(asio::buffer(part), asio::redirect_error(asio::use_awaitable, code));
        received += part.substr(0, length);
    }
    const bool ran = hasRun(in, hidden);
    note(in, {{"event", "exchange"}, {"sent", bytes}, {"received", received}, {"hidden_request_run", ran}});
    co_return ran;
}

asio::awaitable<verdict> play(world &in)
{
    auto &entry = addMachine(in, "m1", "z1", "desk");
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
    int smuggled = 0;
    for (int number = 0; number < requests; ++number) {
        const bool ran = co_await sendOne(in, entry);
        smuggled += ran ? 1 : 0;
    }
    note(in, {{"event", "sum"}, {"hidden_requests_run", smuggled}});
    co_return smuggled > 0 ? verdict::broken : verdict::held;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, review::twoServices(), review::play);
}
