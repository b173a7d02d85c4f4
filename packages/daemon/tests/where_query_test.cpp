/** @file where_query_test.cpp Queries where a request would go, at a daemon's traffic thread and control thread. */
#include "where_query.h"

#include "cold_limit_func.h"
#include "planned_stop.h"
#include "query_parameter.h"

#include <nlohmann/json.hpp>

namespace quetzalspool::test {

namespace {

using json = nlohmann::json;

/** A daemon whose pool "desk" has its own target and two more that can't be reached. */
struct asked_daemon : manual_stop
{
    asked_daemon()
    {
        change([](routing_view &view, cell_view &cell) {
            for (const std::string name : {"n2", "n3"}) {
                auto other = cell.members[0];
                other.id.value = name;
                other.region.value = "far";
                other.domain.value = "far-" + name;
                other.endpoints.peers = 1;
                cell.members.push_back(other);
            }
            pool_view keyed;
            keyed.row.name.value = "keyed";
            keyed.row.keyed = true;
            keyed.row.slots = 1;
            keyed.row.homes = {{{"c"}, 1}};
            keyed.homeEnds = {1};
            view.pools[keyed.row.name] = keyed;
            cell.pools[keyed.row.name] = {0, {{0, {9}}}};
            route_row route;
            route.name = "keys";
            route.prefix = "/k/";
            route.pool.value = "keyed";
            route.keyFrom = key_source::path;
            route.keySegment = 1;
            view.routes.insert(view.routes.begin(), route);
        });
    }

    template <typename Change>
    void change(Change apply)
    {
        auto view = *daemon.shared.routing.load();
        auto cell = std::make_shared<cell_view>(*view.cells.at({"c"}));
        apply(view, *cell);
        view.cells[{"c"}] = cell;
        daemon.shared.routing.store(std::make_shared<const routing_view>(view));
    }

    traffic_thread &thread()
    {
        return *daemon.traffic.states[0];
    }

    /** Queries as the admin port does. */
    http_response ask(const std::string &parameters)
    {
        std::optional<http_response> response;
        const auto work = [&]() -> asio::awaitable<void> {
            response = co_await daemon.shared.answerWhere("/v1/where?" + parameters);
        };
        asio::co_spawn(control, work, asio::detached);
        EXPECT_TRUE(runUntil(true, [&] { return response.has_value(); }));
        return response.value_or(http_response{});
    }

    json explain(const std::string &parameters)
    {
        const auto response = ask(parameters);
        EXPECT_EQ(response.status, 200U) << response.body;
        return json::parse(response.body);
    }
};

/** What must stay as it is when a request is only explained. */
std::string describeState(asked_daemon &fixture)
{
    std::ostringstream text;
    const auto &thread = fixture.thread();
    const auto &admission = fixture.daemon.shared.admissionControl.admission;
    text << thread.random << " budget " << thread.budget.tokens << " stats " << thread.balance.targets.size()
         << " in flight " << admission.inFlight << " demand " << admission.demand.size() << " refusals "
         << admission.refusals.size() << " ids " << fixture.daemon.shared.admissionControl.nextId << " tokens "
         << admission.cold.admitted.tokens << " suspects " << fixture.daemon.shared.requestsInFlight << "\n"
         << formatMetrics(*fixture.daemon.shared.metricsRegistry);
    return text.str();
}

} // namespace

// A parameter that is missing or cut differently than it was sent explains another request than the operator asked for.
TEST(where, parametersAreDecoded)
{
    EXPECT_EQ(queryParameter("/v1/where?path=%2Fa%3Fx%3D1%26y&key=a%2Fb", "path"), "/a?x=1&y");
    EXPECT_EQ(queryParameter("/v1/where?path=%2Fa&key=a%2Fb", "key"), "a/b");
    EXPECT_EQ(queryParameter("/v1/where?path=%2Fa&key=", "key"), "");
    EXPECT_FALSE(queryParameter("/v1/where?path=%2Fa", "key"));
    EXPECT_FALSE(queryParameter("/v1/where?key=%2", "key"));
    asked_daemon fixture;
    EXPECT_EQ(fixture.ask("host=a").status, 400U);
}

TEST(where, aRequestWithoutKeyShowsItsCandidates)
{
    asked_daemon fixture;
    const auto answer = fixture.explain("path=/x&host=a.example&method=POST");
    EXPECT_EQ(answer.at("result"), "chosen");
    EXPECT_EQ(answer.at("route").at("name"), "all");
    EXPECT_EQ(answer.at("route").at("prefix"), "/");
    EXPECT_EQ(answer.at("pool"), "desk");
    EXPECT_EQ(answer.at("idempotent"), false);
    EXPECT_EQ(answer.at("keyed"), false);
    EXPECT_EQ(answer.at("chosen"), "n1");
    ASSERT_EQ(answer.at("candidates").size(), 3U);
    const auto &first = answer.at("candidates")[0];
    EXPECT_EQ(first.at("instance"), "n1");
    EXPECT_EQ(first.at("distance"), "local");
    EXPECT_EQ(first.at("cold"), false);
    EXPECT_TRUE(answer.at("candidates")[1].at("cold").is_null()) << "only the daemon beside a target knows this";
    EXPECT_EQ(answer.at("candidates")[1].at("distance"), "remote");
    EXPECT_EQ(answer.at("local").at("admission"), "admitted");
    EXPECT_FALSE(answer.contains("reason"));
    EXPECT_EQ(fixture.target.executed.size(), 0U);
}

TEST(where, aKeyShowsItsOwnerAndWhyItsDaemonWouldRefuse)
{
    asked_daemon fixture;
    auto answer = fixture.explain("path=/k/rose");
    EXPECT_EQ(answer.at("key"), "rose");
    EXPECT_EQ(answer.at("slot"), 0);
    EXPECT_EQ(answer.at("owner"), "n1");
    EXPECT_EQ(answer.at("fence"), 9);
    EXPECT_EQ(answer.at("result"), "refused") << "the slot is not open at the owner's daemon";
    EXPECT_EQ(answer.at("reason"), "not-owner");
    EXPECT_EQ(answer.at("status"), 503);
    EXPECT_TRUE(answer.contains("retry_after"));
    auto &admission = fixture.daemon.shared.admissionControl.admission;
    const fenced_slot slot{{"keyed"}, {0}, {9}};
    setServed(admission, {{slot}, {}}, clock::now() + seconds(60), milliseconds(0), clock::now());
    answer = fixture.explain("path=/k/rose&key=a%2Fb");
    EXPECT_EQ(answer.at("result"), "chosen");
    EXPECT_EQ(answer.at("key"), "a/b") << "a key that is given replaces that of the path";
    answer = fixture.explain("path=/k/");
    EXPECT_EQ(answer.at("result"), "refused");
    EXPECT_EQ(answer.at("reason"), "missing-or-bad-key");
    EXPECT_EQ(answer.at("status"), 400);
}

// Operators and scripts tell a request without a route from a daemon that has no tables yet by the status.
TEST(where, missingRoutesAndTablesHaveTheirOwnStatus)
{
    asked_daemon fixture;
    fixture.change([](routing_view &view, cell_view & /*cell*/) { view.routes.pop_back(); });
    auto response = fixture.ask("path=/x");
    EXPECT_EQ(response.status, 404U);
    EXPECT_EQ(json::parse(response.body).at("result"), "no-route");
    fixture.change([](routing_view &view, cell_view & /*cell*/) { view.routes.clear(); });
    response = fixture.ask("path=/x");
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(json::parse(response.body).at("result"), "no-tables-yet");
    EXPECT_EQ(json::parse(response.body).at("retry_after"), "1");
}

// What the limit of a cold target would do is known only beside it.
TEST(where, aColdLocalTargetIsShown)
{
    asked_daemon fixture;
    auto &cold = fixture.daemon.shared.admissionControl.admission.cold;
    const auto now = clock::now();
    setColdRate(cold, 10, {1, 0}, now - seconds(10), now);
    applyColdReport(cold, seconds(20), true, now);
    const auto answer = fixture.explain("path=/x");
    EXPECT_EQ(answer.at("local").at("cold"), true);
    EXPECT_EQ(answer.at("local").at("cold_per_s"), 10);
    EXPECT_GT(answer.at("local").at("cold_ms"), 15000);
    EXPECT_EQ(answer.at("candidates")[0].at("cold"), true);
}

// A keyless request that the local target would refuse is tried at another one; with none left, it is refused.
TEST(where, aLocalRefusalLeadsToTheNextTarget)
{
    asked_daemon fixture;
    fixture.daemon.shared.admissionControl.admission.hasTarget = false;
    auto answer = fixture.explain("path=/x");
    EXPECT_EQ(answer.at("chosen"), "n1");
    EXPECT_EQ(answer.at("local").at("admission"), "refused");
    EXPECT_EQ(answer.at("local").at("reason"), "no-target");
    EXPECT_TRUE(answer.at("next") == "n2" || answer.at("next") == "n3");
    fixture.change([](routing_view & /*view*/, cell_view &cell) { cell.members.resize(1); });
    answer = fixture.explain("path=/x");
    EXPECT_EQ(answer.at("result"), "refused");
    EXPECT_EQ(answer.at("reason"), "no-target");
    EXPECT_EQ(answer.at("status"), 503);
}

// An explanation that takes a token, a random number or a place in the queue changes what it explains.
TEST(where, aQueryChangesNoState)
{
    asked_daemon fixture;
    fixture.daemon.shared.settings.learnSpeeds = true;
    fixture.daemon.shared.settings.overload.followCalls = true;
    fixture.daemon.shared.admissionControl.admission.limits.concurrency = 1;
    const auto before = describeState(fixture);
    for (const std::string path : {"/x", "/k/rose", "/k/"}) {
        for (int round = 0; round < 20; ++round) {
            fixture.ask("method=POST&path=" + path);
        }
    }
    EXPECT_EQ(describeState(fixture), before);
    EXPECT_EQ(fixture.target.executed.size(), 0U);
}

// The explanation must name the target that the next request is really sent to, with the same random numbers.
TEST(where, theNextRequestGoesWhereTheQuerySays)
{
    for (const bool bySpeed : {false, true}) {
        asked_daemon fixture;
        fixture.daemon.shared.settings.learnSpeeds = bySpeed;
        fixture.change([](routing_view & /*view*/, cell_view &cell) {
            for (auto &member : cell.members) {
                member.region = cell.members[0].region;
                member.domain = cell.members[0].domain;
            }
        });
        auto &thread = fixture.thread();
        thread.retryLimits.maxAttempts = 0;
        std::map<std::string, int> chosenCount;
        for (int round = 0; round < 40; ++round) {
            const auto now = clock::now();
            recordLoad(thread.balance, {"n1"}, round % 2 == 0 ? 0 : 0.9, now);
            recordLoad(thread.balance, {"n2"}, 0, now);
            recordLoad(thread.balance, {"n3"}, 0, now);
            const auto chosen = fixture.explain("path=/x").at("chosen").get<std::string>();
            ++chosenCount[chosen];
            manual_caller caller(fixture.daemon.callers());
            caller.send(requestText("/x"));
            EXPECT_TRUE(fixture.runUntil(true, [&] {
                caller.receive();
                return caller.ended || caller.received.find("\r\n\r\n") != std::string::npos;
            }));
            std::string sentTo;
            for (const auto &[id, stats] : thread.balance.targets) {
                sentTo += stats.failures > 0 || stats.latencyMs > 0 || stats.pace.sentSinceReport > 0 ? id.value : "";
            }
            // With learned speeds, the report of the local target resets its count of requests.
            EXPECT_EQ(sentTo.empty() ? "n1" : sentTo, chosen);
            thread.balance.targets.clear();
        }
        EXPECT_EQ(chosenCount["n1"], 20);
        EXPECT_GT(chosenCount["n2"], 0);
        EXPECT_GT(chosenCount["n3"], 0);
    }
}

} // namespace quetzalspool::test
