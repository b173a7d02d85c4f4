/** @file caller_refusal_test.cpp Which requests a daemon refuses for good, and what it says while it can't know. */
#include "planned_stop.h"
#include "routing_func.h"

namespace quetzalspool::test {

namespace {

constexpr std::uint32_t headLimit = 1000; ///< Limit of the headers in the first tables, in bytes.
constexpr std::uint32_t raisedLimit = 3000; ///< Limit in the next tables, in bytes.

/** The traffic part of a daemon that gets complete tables of one host, when the test says so. */
struct table_daemon : manual_stop
{
    table_daemon()
    {
        daemon.shared.settings.roster.emplace();
        auto view = *daemon.shared.routing.load();
        view.routes.clear();
        view.pools[{"vault"}].row = {{"vault"}, true, 16};
        daemon.shared.routing.store(std::make_shared<const routing_view>(view));
    }

    /** Tables with one route, to the pool without keys. */
    static tables_snapshot makeTables(std::uint64_t version, std::uint32_t headerBytes)
    {
        tables_snapshot tables;
        tables.version = version;
        tables.limits.headerBytes = headerBytes;
        route_row route;
        route.name = "read";
        route.host = "a.example";
        route.prefix = "/r/";
        route.pool.value = "desk";
        tables.routes.push_back(route);
        return tables;
    }

    void publish(tables_snapshot tables)
    {
        auto view = *daemon.shared.routing.load();
        view.table = makeRouteTable(std::move(tables));
        daemon.shared.routing.store(std::make_shared<const routing_view>(view));
    }

    /** Sends a request and returns the status line of its response; empty if the connection was closed without one. */
    std::string exchange(manual_caller &caller, const std::string &request)
    {
        caller.received.clear();
        caller.send(request);
        runUntil(true, [&] {
            caller.receive();
            return caller.ended || caller.received.find("\r\n\r\n") != std::string::npos;
        });
        // The rest of the response belongs to no later one.
        runUntil(true, [&] { return daemon.shared.requestsInFlight == 0; });
        caller.receive();
        return caller.received.substr(0, caller.received.find('\r'));
    }

    std::string exchangeOnce(const std::string &request)
    {
        manual_caller caller(daemon.callers());
        return exchange(caller, request);
    }
};

/** A request with so many bytes of headers beside the host. */
std::string requestWithHeaders(std::size_t bytes)
{
    const std::string name = "X-Note: ";
    return "GET /r/x HTTP/1.1\r\nHost: a.example\r\n" + name + std::string(bytes - name.size() - 2, 'n') + "\r\n\r\n";
}

const std::string served = "HTTP/1.1 200 OK";
const std::string comeBack = "HTTP/1.1 503 Service Unavailable";

} // namespace

TEST(callerRefusal, withoutTablesNoRouteIsCalledMissing)
{
    table_daemon node;
    EXPECT_EQ(node.exchangeOnce(requestText("/r/x")), comeBack);
    node.publish(table_daemon::makeTables(1, headLimit));
    EXPECT_EQ(node.exchangeOnce(requestText("/r/x")), served);
    EXPECT_EQ(node.exchangeOnce(requestText("/nowhere/x")), "HTTP/1.1 404 Not Found");
}

TEST(callerRefusal, withoutDocumentsNoRouteIsCalledMissing)
{
    manual_stop node;
    node.daemon.shared.routing.store(std::make_shared<const routing_view>());
    manual_caller caller(node.daemon.callers());
    caller.send(requestText("/r/x"));
    node.runUntil(true, [&] {
        caller.receive();
        return caller.received.find("\r\n\r\n") != std::string::npos;
    });
    EXPECT_EQ(caller.received.substr(0, caller.received.find('\r')), comeBack);
}

TEST(callerRefusal, withoutTablesNoHeadIsCalledTooLarge)
{
    table_daemon node;
    const auto large = requestWithHeaders(caller_limits().headerBytes + 1000);
    EXPECT_EQ(node.exchangeOnce(large), comeBack) << "the tables may allow it";
    node.publish(table_daemon::makeTables(1, headLimit));
    EXPECT_EQ(node.exchangeOnce(large).substr(0, 12), "HTTP/1.1 431");
}

TEST(callerRefusal, aConnectionThatWaitedIsReadUnderTheLimitsInForce)
{
    table_daemon node;
    manual_caller caller(node.daemon.callers());
    node.publish(table_daemon::makeTables(1, headLimit));
    EXPECT_EQ(node.exchange(caller, requestText("/r/x")), served);
    node.publish(table_daemon::makeTables(2, raisedLimit));
    EXPECT_EQ(node.exchange(caller, requestWithHeaders(2 * headLimit)), served);
    EXPECT_EQ(node.exchange(caller, requestWithHeaders(2 * raisedLimit)).substr(0, 12), "HTTP/1.1 431");
}

TEST(callerRefusal, theLimitOfTheHeadersLeavesRoomForTheRequestLine)
{
    table_daemon node;
    node.publish(table_daemon::makeTables(1, headLimit));
    const std::string host = "Host: a.example\r\n";
    const auto longPath = "GET /r/" + std::string(headLimit, 'p') + " HTTP/1.1\r\n" + host + "\r\n";
    EXPECT_EQ(node.exchangeOnce(longPath), served);
    EXPECT_EQ(node.exchangeOnce(requestWithHeaders(headLimit - host.size())), served);
    EXPECT_EQ(node.exchangeOnce(requestWithHeaders(headLimit - host.size() + 1)).substr(0, 12), "HTTP/1.1 431");
}

TEST(callerRefusal, aRequestWithoutAKeyIsServedByThePartThatNeedsNone)
{
    constexpr int requests = 20;
    table_daemon node;
    auto tables = table_daemon::makeTables(1, headLimit);
    auto &route = tables.routes.front();
    route.shares = {{{"vault"}, 9}, {{"desk"}, 1}};
    route.keyFrom = key_source::header;
    route.keyHeader = "X-Key";
    node.publish(tables);
    for (int request = 0; request < requests; ++request) {
        EXPECT_EQ(node.exchangeOnce(requestText("/r/x")), served);
    }
    route.shares.clear();
    route.pool.value = "vault";
    node.publish(tables);
    EXPECT_EQ(node.exchangeOnce(requestText("/r/x")), "HTTP/1.1 400 Bad Request") << "no part takes it";
}

TEST(callerRefusal, aHeadThatDoesNotArriveInTimeGetsNoFinalStatus)
{
    table_daemon node;
    auto tables = table_daemon::makeTables(1, headLimit);
    tables.limits.headerTime = milliseconds(100);
    node.publish(tables);
    EXPECT_EQ(node.exchangeOnce("GET /r/x HTTP/1.1\r\nHost: a.exa"), "") << "closed without a response";
    EXPECT_EQ(node.target.executedCount("/r/x"), 0U);
}

TEST(callerRefusal, aHeadThatIsRefusedIsCounted)
{
    table_daemon node;
    node.publish(table_daemon::makeTables(1, headLimit));
    EXPECT_EQ(node.exchangeOnce(requestWithHeaders(2 * headLimit)).substr(0, 12), "HTTP/1.1 431");
    EXPECT_EQ(readCounter(*node.daemon.shared.metricsRegistry,
                          R"(requests_total{route="",outcome="not-run",reason="headers-too-large"})"),
              1U);
}

TEST(callerRefusal, absoluteTargetsAreRoutedByTheirPath)
{
    table_daemon node;
    node.publish(table_daemon::makeTables(1, headLimit));
    EXPECT_EQ(node.exchangeOnce("GET http://a.example/r/x?q=1 HTTP/1.1\r\nHost: a.example\r\n\r\n"), served);
    EXPECT_EQ(node.target.executedCount("/r/x?q=1"), 1U);
    EXPECT_EQ(node.exchangeOnce("GET http://b.example/r/x HTTP/1.1\r\nHost: a.example\r\n\r\n"),
              "HTTP/1.1 404 Not Found")
        << "the host of the target goes before the header";
}

} // namespace quetzalspool::test
