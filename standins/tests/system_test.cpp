/** @file system_test.cpp Tests process failures in a fleet on loopback by checking the request histories. */
#include "client_type.h"
#include "elapsed_clock.h"
#include "fleet.h"
#include "history.h"
#include "http_client.h"
#include "load_type.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <gtest/gtest.h>
#include <thread>

namespace quetzalspool {

namespace {

using json = nlohmann::json;
using std::chrono::seconds;

constexpr milliseconds startTimeout{30000};
constexpr milliseconds maxRecoveryTime{2000}; ///< Every key is served again within this time after a loss.
constexpr milliseconds domainDrainBound{5000}; ///< No request reaches a drained domain from then on.
constexpr milliseconds maxReplicationTime{10000}; ///< A change is in force at every daemon within this time.

/** Returns a new port range for each fleet, so that fleets never share ports. */
std::uint16_t nextBasePort()
{
    static std::uint16_t next = 20000;
    next += 200;
    return next;
}

class system_failures : public testing::Test
{
protected:
    void startFleet(std::size_t keyed, std::size_t others, int drainLimitSeconds = 30)
    {
        auto plan = twoRegionPlan(keyed, others);
        plan.drainLimitSeconds = drainLimitSeconds;
        plan.basePort = nextBasePort();
        plan.binaries = BINARIES;
        running = std::make_unique<fleet>(std::move(plan));
        ASSERT_TRUE(running->start(startTimeout));
        // The voter sets must be complete before a failure is injected.
        ASSERT_TRUE(running->waitFor(seconds(15), [this] {
            const auto status = running->get(running->plan().instances.front().name, "/v1/status");
            bool settled = status.is_object();
            for (const auto &cell : settled ? status.at("cells") : json::array()) {
                settled = settled && !cell.at("voters_changing").get<bool>() && cell.at("voters").size() >= 3;
            }
            return settled;
        }));
    }

    /** Starts a load through all daemons except the excluded ones. */
    void startLoad(const std::set<std::string> &excluded, double rate, seconds duration, double orders,
                   std::uint64_t seed = 1)
    {
        load_options options;
        for (const auto &instance : running->plan().instances) {
            if (!excluded.contains(instance.name)) {
                options.callers.push_back(running->portsOf(instance.name).callers);
            }
        }
        options.rate = rate;
        options.duration = duration;
        options.orderPath = "/releases/{key}";
        options.orderShare = orders;
        options.seed = seed;
        options.progress = false;
        options.history = running->plan().workFolder + "/history";
        load = std::thread([options] { runLoad(options); });
    }

    history_result finishLoad(const char *what)
    {
        load.join();
        const auto requests = readLines(running->plan().workFolder + "/history");
        const auto result = checkHistory(requests, running->executions());
        std::printf("figure %s: answered %zu, not run %zu, unknown %zu, broken %zu, longest gap %.0f ms\n", what,
                    result.answered, result.notRun, result.unknown, result.broken, result.longestGapMs);
        std::map<std::string, int> reasons;
        for (const auto &request : requests) {
            if (request.value("outcome", "") != "answered") {
                ++reasons[request.value("method", "") + " " + request.value("outcome", "") + " "
                          + request.value("reason", "")];
            }
        }
        for (const auto &[reason, count] : reasons) {
            std::printf("figure %s: %d %s\n", what, count, reason.c_str());
        }
        EXPECT_TRUE(result.violations.empty()) << result.violations.front();
        return result;
    }

    /** Starts a load of requests without keys and orders with keys, half of each, through all daemons. */
    void startMixedLoad(double rate, seconds duration)
    {
        load_options options;
        options.callers = running->callers();
        options.rate = rate;
        options.duration = duration;
        options.path = "/batches";
        options.orderPath = "/releases/{key}";
        options.orderShare = 0.5;
        options.progress = false;
        options.history = running->plan().workFolder + "/history";
        load = std::thread([options] { runLoad(options); });
    }

    /** Takes a failure domain out of service or back. Returns the time at which the change was accepted. */
    steady_time setDomain(const std::string &domain, bool drained)
    {
        const json row{{"name", domain}, {"drained", drained}};
        const auto response =
            running->post(running->plan().instances.back().name, "/v1/apply",
                          {{"operator", "o"}, {"rows", json::array({{{"key", "domains/" + domain}, {"row", row}}})}});
        EXPECT_EQ(response.value("outcome", ""), "accepted") << response.dump();
        return elapsed_clock::now();
    }

    /** Runs a command of the client with JSON output. Returns its exit code and output. */
    std::pair<int, std::string> runClient(std::vector<std::string> arguments, bool dryRun = false)
    {
        client_options options;
        options.daemon = running->portsOf(running->plan().instances.front().name).admin;
        options.json = true;
        options.wait = true;
        options.dryRun = dryRun;
        options.arguments = std::move(arguments);
        testing::internal::CaptureStdout();
        const auto code = runCommand(options);
        return {code, testing::internal::GetCapturedStdout()};
    }

    /** Returns the state of a failure domain as the client lists it. */
    std::string listedState(const std::string &domain)
    {
        const auto [code, output] = runClient({"domain"});
        EXPECT_EQ(code, exit_success);
        for (const auto &row : json::parse(output)) {
            if (row.at("domain") == domain) {
                return row.at("state");
            }
        }
        return "";
    }

    /** Counts the requests that targets of a failure domain received within a span of time. */
    std::size_t executionsIn(const std::string &domain, steady_time from, steady_time until)
    {
        const auto microsecondsOf = [](steady_time at) {
            return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
        };
        std::set<std::string> names;
        for (const auto &instance : running->plan().instances) {
            if (instance.domain == domain) {
                names.insert(instance.name);
            }
        }
        std::size_t count = 0;
        for (const auto &execution : running->executions()) {
            const auto at = execution.value("at_us", std::int64_t(0));
            const bool inside = names.contains(execution.value("target", ""));
            count += inside && at >= microsecondsOf(from) && at < microsecondsOf(until) ? 1 : 0;
        }
        return count;
    }

    /** Returns the time from the start of the first failed request to the end of the last one, in milliseconds. */
    static double failureSpanMs(const std::vector<json> &requests)
    {
        std::int64_t first = 0;
        std::int64_t last = 0;
        for (const auto &request : requests) {
            const auto outcome = request.value("outcome", "");
            if (outcome != "answered") {
                first = first == 0 ? request.at("start_us").get<std::int64_t>() : first;
                last = std::max(last, request.at("end_us").get<std::int64_t>());
            }
        }
        return static_cast<double>(last - first) / 1000.0;
    }

    void TearDown() override
    {
        if (load.joinable()) {
            load.join();
        }
    }

    std::unique_ptr<fleet> running;
    std::thread load;
};

} // namespace

TEST_F(system_failures, aLostOwnerIsReplacedInTime)
{
    startFleet(5, 4);
    startLoad({"key-1"}, 300, seconds(8), 0.3);
    std::this_thread::sleep_for(seconds(3));
    running->signalDaemon("key-1", SIGKILL);
    running->signalTarget("key-1", SIGKILL);
    const auto result = finishLoad("loss of an owner and its target");
    EXPECT_GT(result.answered, 1500U);
    const auto failureSpan = failureSpanMs(readLines(running->plan().workFolder + "/history"));
    std::printf("figure first to last refusal after the loss: %.0f ms\n", failureSpan);
    EXPECT_LE(failureSpan, static_cast<double>(maxRecoveryTime.count()));
}

TEST_F(system_failures, aResumedOwnerExecutesNothingUnderAnOldFence)
{
    startFleet(5, 4);
    startLoad({"key-2"}, 300, seconds(10), 0.5);
    std::this_thread::sleep_for(seconds(2));
    running->signalDaemon("key-2", SIGSTOP);
    std::this_thread::sleep_for(seconds(4));
    running->signalDaemon("key-2", SIGCONT);
    const auto result = finishLoad("an owner frozen for 4 s");
    EXPECT_GT(result.answered, 2000U);
    EXPECT_TRUE(running->waitFor(seconds(5), [this] { return running->allOwned(); }));
}

TEST_F(system_failures, aStoreOutageFailsNoRequests)
{
    startFleet(5, 4);
    running->injectStoreFaults({{"down", true}});
    startLoad({}, 200, seconds(15), 0.3);
    const auto result = finishLoad("the store out for 15 s");
    EXPECT_EQ(result.notRun + result.unknown + result.broken, 0U);
    running->injectStoreFaults({{"down", false}});
}

TEST_F(system_failures, aLeaderLostDuringAStoreOutageAffectsOnlyItsOwnSlots)
{
    startFleet(5, 4);
    running->injectStoreFaults({{"down", true}});
    std::this_thread::sleep_for(seconds(1));
    const auto cells = running->get("key-5", "/v1/status").at("cells");
    const auto leader = cells.at(0).at("voters").at(0).get<std::string>();
    running->signalDaemon(leader, SIGKILL);
    std::this_thread::sleep_for(seconds(3));
    std::size_t served = 0;
    for (const auto &instance : running->plan().instances) {
        if (instance.name != leader) {
            const auto self = running->get(instance.name, "/v1/self");
            EXPECT_GT(self.at("lease_ms").get<int>(), 0) << instance.name;
            served += self.at("slots_owned").get<std::size_t>();
        }
    }
    EXPECT_GE(served, 240U - 120U);
    running->injectStoreFaults({{"down", false}});
    EXPECT_TRUE(running->waitFor(seconds(10), [this] { return running->allOwned(); }));
}

TEST_F(system_failures, aPlannedStopFailsNoRequests)
{
    startFleet(5, 4);
    startLoad({"key-1"}, 300, seconds(8), 0.5);
    std::this_thread::sleep_for(seconds(2));
    const auto startedAt = elapsed_clock::now();
    running->signalDaemon("key-1", SIGTERM);
    const auto code = running->awaitDaemon("key-1", seconds(15));
    const auto elapsed = elapsed_clock::now() - startedAt;
    ASSERT_TRUE(code.has_value());
    EXPECT_EQ(*code, 0);
    std::printf("figure planned stop took %.0f ms\n", std::chrono::duration<double, std::milli>(elapsed).count());
    const auto result = finishLoad("a planned stop");
    EXPECT_EQ(result.unknown + result.broken, 0U);
    EXPECT_EQ(result.notRun, 0U);
}

TEST_F(system_failures, lateInAPlannedStopRequestsThatCouldNotFinishAreRefused)
{
    constexpr int drainLimitSeconds = 4;
    constexpr int serviceMs = 3200;
    startFleet(3, 2, drainLimitSeconds);
    const auto stopping = running->portsOf("key-1").callers;
    asio::io_context context{1};
    std::map<std::string, std::optional<http_response>> responses;
    const auto send = [&](std::shared_ptr<http_connection_pool> kept, std::string id) -> asio::awaitable<void> {
        last_reason why;
        const http_request request{"POST", "/batches", {{"Quetzalspool-Request-Id", id}}, "batch"};
        auto response = co_await sendRequest(kept, stopping, request, seconds(8), why);
        responses[id] = std::move(response);
    };
    const std::vector<std::shared_ptr<http_connection_pool>> kept{makeHttpConnectionPool(), makeHttpConnectionPool()};
    const auto work = [&]() -> asio::awaitable<void> {
        co_await send(kept[0], "warm-0");
        co_await send(kept[1], "warm-1");
        running->injectTargetFaults("any-4", {{"service_ms", serviceMs}});
        running->injectTargetFaults("any-5", {{"service_ms", serviceMs}});
        running->signalDaemon("key-1", SIGTERM);
        asio::co_spawn(context, send(kept[0], "early"), asio::detached);
        // Once the daemon takes no new connections, less than 3.2 s are left.
        for (bool listens = true; listens;) {
            co_await sleepFor(milliseconds(20));
            tcp::socket probe(context);
            error_code code;
            co_await probe.async_connect(toAsioEndpoint<tcp>(stopping), redirectError(code));
            listens = !code;
        }
        co_await send(kept[1], "late");
    };
    asio::co_spawn(context, work, asio::detached);
    context.run();
    ASSERT_TRUE(responses["warm-0"] && responses["warm-1"]);
    ASSERT_TRUE(responses["early"].has_value());
    EXPECT_EQ(responses["early"]->status, 200U);
    ASSERT_TRUE(responses["late"].has_value()) << "the connection was closed without a response";
    EXPECT_EQ(responses["late"]->status, 503U) << responses["late"]->body;
    EXPECT_TRUE(running->awaitDaemon("key-1", seconds(5)).has_value());
    for (const auto &execution : running->executions()) {
        EXPECT_EQ(execution.dump().find("late"), std::string::npos) << execution.dump();
    }
}

TEST_F(system_failures, aRestartedFleetRecovers)
{
    startFleet(5, 4);
    for (const auto &instance : running->plan().instances) {
        running->signalDaemon(instance.name, SIGKILL);
    }
    for (const auto &instance : running->plan().instances) {
        running->startDaemon(instance.name);
    }
    const auto startedAt = elapsed_clock::now();
    EXPECT_TRUE(running->waitFor(seconds(20), [this] {
        std::size_t served = 0;
        for (const auto &instance : running->plan().instances) {
            const auto self = running->get(instance.name, "/v1/self");
            served += self.is_object() && self.value("lease_ms", 0) > 0 ? self.at("slots_owned").get<std::size_t>() : 0;
        }
        return served == 240;
    }));
    const auto elapsed = elapsed_clock::now() - startedAt;
    std::printf("figure whole fleet served again after %.0f ms\n",
                std::chrono::duration<double, std::milli>(elapsed).count());
    startLoad({}, 200, seconds(2), 0.3);
    const auto result = finishLoad("after the restart");
    EXPECT_EQ(result.notRun + result.unknown + result.broken, 0U);
}

TEST_F(system_failures, aLostFailureDomainIsReplacedInTime)
{
    startFleet(6, 4);
    std::set<std::string> lost;
    for (const auto &instance : running->plan().instances) {
        if (instance.domain == "north-1") {
            lost.insert(instance.name);
        }
    }
    startLoad(lost, 300, seconds(9), 0.3);
    std::this_thread::sleep_for(seconds(3));
    for (const auto &name : lost) {
        running->signalDaemon(name, SIGKILL);
        running->signalTarget(name, SIGKILL);
    }
    finishLoad("loss of a failure domain");
    const auto failureSpan = failureSpanMs(readLines(running->plan().workFolder + "/history"));
    std::printf("figure first to last refusal after the loss of a domain: %.0f ms\n", failureSpan);
    EXPECT_LE(failureSpan, static_cast<double>(maxRecoveryTime.count()));
}

// A command that reports success without effect would let the operator switch off a domain that is in service.
TEST_F(system_failures, theDomainCommandsWriteAndListTheRows)
{
    startFleet(3, 2);
    EXPECT_EQ(listedState("north-1"), "in service");
    EXPECT_EQ(runClient({"domain", "drain", "north-1"}, true).first, exit_success);
    EXPECT_EQ(listedState("north-1"), "in service") << "a dry run";
    EXPECT_EQ(runClient({"domain", "drain", "north-1"}).first, exit_success);
    EXPECT_EQ(listedState("north-1"), "drained");
    EXPECT_EQ(listedState("north-2"), "in service");
    for (const auto &instance : running->plan().instances) {
        EXPECT_TRUE(running->waitFor(seconds(1), [&] {
            return running->metric(instance.name, "drained_domains") == 1;
        })) << instance.name;
    }
    EXPECT_EQ(runClient({"domain", "restore", "north-1"}).first, exit_success);
    EXPECT_EQ(listedState("north-1"), "in service");
    EXPECT_EQ(runClient({"domain", "drain", "west-9"}).first, exit_success) << "its instances may be down";
    EXPECT_EQ(listedState("west-9"), "drained");
    EXPECT_EQ(runClient({"remove", "domains/west-9"}).first, exit_success);
    EXPECT_EQ(listedState("west-9"), "");
    EXPECT_EQ(runClient({"domain", "drain", ""}).first, exit_usage);
    EXPECT_EQ(runClient({"domain", "close", "north-1"}).first, exit_usage);
}

// Requests that still arrive after the bound would be lost when the operator switches the domain off.
TEST_F(system_failures, aDrainedDomainGetsNoRequestsUntilItReturns)
{
    startFleet(6, 4);
    const auto startedAt = elapsed_clock::now();
    startMixedLoad(200, seconds(16));
    std::this_thread::sleep_for(seconds(2));
    const auto drainedAt = setDomain("north-1", true);
    std::this_thread::sleep_for(seconds(8));
    const auto restoredAt = setDomain("north-1", false);
    const auto result = finishLoad("a failure domain taken out and back");
    const auto endedAt = elapsed_clock::now();
    EXPECT_GT(executionsIn("north-1", startedAt, drainedAt), 0U);
    EXPECT_EQ(executionsIn("north-1", drainedAt + domainDrainBound, restoredAt), 0U);
    EXPECT_GT(executionsIn("north-1", restoredAt, endedAt), 0U);
    EXPECT_EQ(result.notRun + result.unknown + result.broken, 0U);
}

// With both failure domains of a cell drained, its slots have nowhere to go: their owners must stay, so that they serve
// at once after the return. A daemon that starts meanwhile must not open its target.
TEST_F(system_failures, theLastDomainsOfACellRefuseUntilTheyReturn)
{
    startFleet(6, 4);
    startMixedLoad(150, seconds(15));
    std::this_thread::sleep_for(seconds(1));
    setDomain("north-1", true);
    const auto drainedAt = setDomain("north-2", true);
    std::this_thread::sleep_for(seconds(5));
    running->signalDaemon("any-7", SIGKILL);
    running->startDaemon("any-7");
    std::this_thread::sleep_for(seconds(4));
    EXPECT_EQ(running->metric("any-7", "drained_domains"), 2);
    EXPECT_TRUE(running->allOwned());
    const auto restoredAt = setDomain("north-1", false);
    finishLoad("both failure domains of a cell taken out, one back");
    const auto endedAt = elapsed_clock::now();
    EXPECT_EQ(executionsIn("north-1", drainedAt + domainDrainBound, restoredAt), 0U);
    EXPECT_EQ(executionsIn("north-2", drainedAt + domainDrainBound, endedAt), 0U);
    EXPECT_GT(executionsIn("north-1", restoredAt, endedAt), 0U);
    std::set<std::string> reasons;
    std::size_t refusedAfterReturn = 0;
    const auto returned = std::chrono::duration_cast<std::chrono::microseconds>(restoredAt.time_since_epoch()).count();
    for (const auto &request : readLines(running->plan().workFolder + "/history")) {
        if (request.value("outcome", "") == "not-run") {
            reasons.insert(request.value("reason", ""));
            refusedAfterReturn += request.value("start_us", std::int64_t(0)) > returned + 2000000 ? 1 : 0;
        }
    }
    EXPECT_TRUE(reasons.contains("domain-drained"));
    EXPECT_EQ(refusedAfterReturn, 0U);
}

// A daemon that misses the announcement and can't read the store must learn of the drain from the others.
TEST_F(system_failures, aDaemonThatWasCutOffLearnsOfADrain)
{
    startFleet(3, 2);
    running->signalDaemon("any-4", SIGSTOP);
    setDomain("north-1", true);
    std::this_thread::sleep_for(seconds(5));
    running->injectStoreFaults({{"down", true}});
    running->signalDaemon("any-4", SIGCONT);
    EXPECT_TRUE(running->waitFor(seconds(5), [this] { return running->metric("any-4", "drained_domains") == 1; }));
    const auto learnedAt = elapsed_clock::now();
    load_options options;
    options.callers = {running->portsOf("any-4").callers};
    options.path = "/batches";
    options.duration = seconds(2);
    options.progress = false;
    const auto result = runLoad(options);
    EXPECT_EQ(result.lookups.answered, 200U) << "by the target outside";
    EXPECT_EQ(executionsIn("north-1", learnedAt, elapsed_clock::now()), 0U);
}

TEST_F(system_failures, concurrentEditsOfOneRowAcceptOnlyOne)
{
    startFleet(5, 4);
    constexpr int rounds = 10;
    std::atomic<int> accepted = 0;
    std::atomic<int> rejected = 0;
    const auto edit = [&](const std::string &name, const std::string &row, int queue, std::int64_t base) {
        json body{{"operator", name},
                  {"rows",
                   json::array({{{"key", "pools/" + row},
                                 {"row",
                                  {{"name", row},
                                   {"keyed", false},
                                   {"slots", 0},
                                   {"homes", json::array()},
                                   {"weighs_churn", false},
                                   {"moves_at_once", 4},
                                   {"queue", queue},
                                   {"takeover_grace_ms", 0}}}}})},
                  {"bases", {{"pools/" + row, base}}}};
        const auto response = running->post(name, "/v1/apply", body);
        (response.is_object() && response.value("outcome", "") == "accepted" ? accepted : rejected)++;
    };
    std::int64_t base = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const auto &row : running->get("key-1", "/v1/show")) {
            base = row.at("key") == "pools/any" ? row.at("revision").get<std::int64_t>() : base;
        }
        running->injectStoreFaults({{"lose_answers", round % 2}});
        accepted = 0;
        std::thread first([&] { edit("key-1", "any", 100 + round, base); });
        std::thread second([&] { edit("key-5", "any", 200 + round, base); });
        std::thread third([&] { edit("any-6", "other-" + std::to_string(round), 1, 0); });
        first.join();
        second.join();
        third.join();
        EXPECT_EQ(accepted, 2) << "one of the two concurrent edits, and the edit of another row";
        EXPECT_TRUE(running->waitFor(maxReplicationTime, [&] {
            const auto status = running->get("key-1", "/v1/status");
            return status.at("lagging").empty();
        }));
    }
    std::size_t audited = 0;
    for (const auto &entry : running->get("key-1", "/v1/audit")) {
        audited += entry.at("outcome") == "accepted" ? 1 : 0;
    }
    EXPECT_EQ(audited, 1U + 2U * rounds);
}

TEST_F(system_failures, aStoreRestoredFromAnOlderCopyIsRefused)
{
    startFleet(3, 2);
    const auto before = running->get("key-1", "/v1/show");
    last_reason why;
    running->injectStoreFaults({{"delay_ms", 1}});
    const auto changed = running->post(
        "key-1", "/v1/apply",
        {{"operator", "o"}, {"rows", json::array({{{"key", "routes/batches"}, {"row", {{"removed", true}}}}})}});
    // The restored copy is older than the revision known to every daemon.
    ASSERT_EQ(changed.value("outcome", ""), "accepted") << changed.dump();
    ASSERT_TRUE(running->restoreStoreTo(1));
    std::this_thread::sleep_for(seconds(3));
    const auto refused = running->post(
        "key-1", "/v1/apply",
        {{"operator", "o"}, {"rows", json::array({{{"key", "routes/orders"}, {"row", {{"removed", true}}}}})}});
    EXPECT_NE(refused.value("outcome", ""), "accepted") << refused.dump();
    EXPECT_EQ(running->get("key-1", "/v1/show").size(), before.size() - 1);
    EXPECT_TRUE(running->waitFor(seconds(2), [this] { return running->metric("key-1", "store_went_back") == 1; }));
}

TEST_F(system_failures, aFrozenTargetOfAPoolWithoutKeysIsAvoided)
{
    startFleet(3, 4);
    running->signalTarget("any-4", SIGSTOP);
    load_options options;
    options.callers = {running->portsOf("any-4").callers, running->portsOf("any-6").callers};
    options.path = "/batches";
    options.rate = 100;
    options.duration = seconds(8);
    options.progress = false;
    const auto result = runLoad(options);
    running->signalTarget("any-4", SIGCONT);
    std::printf("figure lookups with one of four targets frozen: %s\n", formatLoad(result).c_str());
    EXPECT_GE(result.lookups.answered, 720U); // 90 %: requests fail until the frozen target is detected.
}

} // namespace quetzalspool
