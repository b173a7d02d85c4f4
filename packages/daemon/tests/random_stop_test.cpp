/** @file random_stop_test.cpp Planned stops at random moments beside requests of callers. */
#include "planned_stop.h"

#include <gtest/gtest.h>
#include <random>

namespace quetzalspool::test {

namespace {

/** What the callers of the random stops have seen. */
struct stop_results
{
    std::size_t answered = 0; ///< Number of requests with a complete response.
    std::vector<std::string> unanswered; ///< Paths of the requests whose connection ended without one.
};

asio::awaitable<void> stopDaemon(std::shared_ptr<traffic_daemon> daemon)
{
    co_await daemon->drain(seconds(3));
    stopTraffic(daemon->traffic);
    daemon->traffic.states.clear(); // Closes all connections, as the end of the process does.
}

/** Sends one request on a connection that has been in use, and one more at a moment of the stop. */
asio::awaitable<void> callDuringStop(endpoint daemon, std::string path, steady_time sendAt, stop_results &results)
{
    const auto pool = makeHttpConnectionPool();
    last_reason why;
    const http_request warm{"GET", "/warm", {{"Host", "a.example"}}, ""};
    const auto first = co_await sendRequest(pool, daemon, warm, seconds(10), why);
    EXPECT_TRUE(first.has_value()) << describe(why);
    asio::steady_timer timer(co_await asio::this_coro::executor, clock::forTimers(sendAt));
    error_code code;
    co_await timer.async_wait(redirectError(code));
    const http_request request{"GET", path, {{"Host", "a.example"}}, ""};
    const auto response = co_await sendRequest(pool, daemon, request, seconds(10), why);
    if (response) {
        ++results.answered;
    } else {
        results.unanswered.push_back(path);
    }
}

} // namespace

TEST(plannedStop, noRequestIsExecutedAndLeftWithoutAResponseInRandomStops)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr std::size_t daemonCount = 24;
    constexpr std::size_t callersPerDaemon = 4;
    constexpr milliseconds warmUp{1000};
    std::mt19937_64 random(seed);
    recording_target target;
    target.workTime = milliseconds(10);
    std::thread targetThread([&] { target.context.run(); });
    stop_results results;
    {
        asio::io_context control{1};
        std::vector<std::shared_ptr<traffic_daemon>> daemons;
        const auto stopAt = clock::now() + warmUp;
        for (std::size_t number = 0; number < daemonCount; ++number) {
            const auto daemon = daemons.emplace_back(std::make_shared<traffic_daemon>(target.at));
            runTraffic(daemon->traffic);
            for (std::size_t caller = 0; caller < callersPerDaemon; ++caller) {
                const auto path = "/" + std::to_string(number) + "/" + std::to_string(caller);
                const auto sendAt = stopAt + idleTime - milliseconds(30) + milliseconds(random() % 60);
                asio::co_spawn(control, callDuringStop(daemon->callers(), path, sendAt, results), asio::detached);
            }
        }
        asio::steady_timer timer(control, clock::forTimers(stopAt));
        timer.async_wait([&](error_code) {
            for (const auto &daemon : daemons) {
                asio::co_spawn(control, stopDaemon(daemon), asio::detached);
            }
        });
        control.run();
    }
    target.context.stop();
    targetThread.join();
    const auto cut = std::count_if(results.unanswered.begin(), results.unanswered.end(),
                                   [&](const auto &path) { return target.executedCount(path) > 0; });
    std::cout << "figure: seed " << seed << ": " << results.answered << " answered, " << results.unanswered.size()
              << " not, of these " << cut << " executed\n";
    EXPECT_EQ(cut, 0);
    EXPECT_EQ(results.answered + results.unanswered.size(), daemonCount * callersPerDaemon);
}

} // namespace quetzalspool::test
