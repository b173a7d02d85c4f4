/** @file where_test.cpp The command `where` against real daemons with cells. */
#include "client_type.h"
#include "fleet.h"

#include <gtest/gtest.h>

namespace quetzalspool {

namespace {

using std::chrono::seconds;

fleet_plan makePlan(const std::string &tables)
{
    auto plan = twoRegionPlan(3, 2);
    plan.basePort = 19200;
    plan.binaries = BINARIES;
    plan.tables = tables.empty() ? plan.tables : tables;
    return plan;
}

/** Runs the command; the output goes to standard output. */
int where(const endpoint &daemon, const std::string &path, bool asJson = false)
{
    client_options options;
    options.daemon = daemon;
    options.json = asJson;
    options.arguments = {"where", path};
    return runCommand(options);
}

} // namespace

// Scripts rely on the exit codes, and operators on the owner being the one that the daemons agree on.
TEST(whereCommand, namesTheOwnerAndTellsMissingRoutesTablesAndDaemonsApart)
{
    fleet running(makePlan(""));
    const auto &instances = running.plan().instances;
    running.startDaemon(instances[0].name);
    const auto first = running.portsOf(instances[0].name).admin;
    EXPECT_TRUE(running.waitFor(seconds(5), [&] { return !running.get(instances[0].name, "/v1/self").is_null(); }));
    EXPECT_EQ(where(first, "/formulas/rose"), exit_failed) << "no tables yet";
    EXPECT_EQ(where({"127.0.0.1", 19199}, "/formulas/rose"), exit_failed) << "no daemon";
    running.signalDaemon(instances[0].name, 9);
    ASSERT_TRUE(running.start(seconds(30)));
    const auto owner = running.get(instances[0].name, "/v1/owner?pool=keyed&key=a%2Fb");
    for (const auto &instance : instances) {
        nlohmann::json answer;
        // A daemon may learn of the routes and of the owner a little later than the one that was asked first.
        EXPECT_TRUE(running.waitFor(seconds(5), [&] {
            answer = running.get(instance.name, "/v1/where?path=%2Fformulas%2Fa%252Fb");
            return answer.is_object() && answer.value("result", "") == "chosen";
        })) << answer.dump();
        EXPECT_EQ(answer.value("owner", ""), owner.value("owner", "none")) << owner.dump();
        EXPECT_EQ(answer.value("slot", -1), owner.value("slot", -2));
        EXPECT_EQ(answer.value("key", ""), "a/b");
        EXPECT_EQ(where(running.portsOf(instance.name).admin, "/formulas/rose"), exit_success);
        EXPECT_EQ(where(running.portsOf(instance.name).admin, "/formulas/rose", true), exit_success);
        EXPECT_EQ(where(running.portsOf(instance.name).admin, "/nowhere"), exit_refused);
    }
    EXPECT_TRUE(running.executions().empty()) << "nothing is sent";
}

} // namespace quetzalspool
