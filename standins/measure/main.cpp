/** @file main.cpp Measures processor time, memory, network traffic and store calls of a fleet on loopback. */
#include "elapsed_clock.h"
#include "fleet.h"
#include "history.h"
#include "load_type.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>
#include <thread>
#include <unistd.h>

namespace quetzalspool {

namespace {

using json = nlohmann::json;
using clock = elapsed_clock;
using std::chrono::seconds;

constexpr std::size_t membersPerCell = 6;
constexpr milliseconds startTimeout{90000};
constexpr int tableChanges = 10;
constexpr int overloadServiceMs = 20; ///< Service time under overload.
constexpr int overloadSlots = 4; ///< Slots of each target under overload.
constexpr milliseconds overloadTimeout{1000}; ///< Time limit of a request under overload.
constexpr double datagramHeaders = 28; ///< Bytes of the IPv4 and UDP headers of one datagram.

/** Cumulative resource usage of one daemon. */
struct usage
{
    double cpuSeconds = 0; ///< User and system time.
    double residentMb = 0; ///< Resident memory.
    double datagrams = 0; ///< Datagrams sent and received.
    double datagramBytes = 0; ///< Payload bytes of these datagrams.
    double streamBytes = 0; ///< Bytes of document exchanges that this daemon started.
};

double readCpuSeconds(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(in, text);
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    for (int at = 3; rest >> field; ++at) {
        ticks += at == 14 || at == 15 ? std::stod(field) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double readResidentMb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

usage readUsage(fleet &running, const std::string &name)
{
    usage used;
    used.cpuSeconds = readCpuSeconds(running.pidOf(name));
    used.residentMb = readResidentMb(running.pidOf(name));
    used.datagrams =
        running.metric(name, "control_datagrams_sent") + running.metric(name, "control_datagrams_received");
    used.datagramBytes = running.metric(name, "control_datagram_bytes");
    used.streamBytes = running.metric(name, "control_stream_bytes");
    return used;
}

using fleet_usage = std::map<std::string, usage>;

fleet_usage readUsage(fleet &running)
{
    fleet_usage all;
    for (const auto &instance : running.plan().instances) {
        if (running.pidOf(instance.name) > 0) {
            all[instance.name] = readUsage(running, instance.name);
        }
    }
    return all;
}

/** Computes the mean and maximum over daemons of the usage per second between two readings. */
json computeRates(const fleet_usage &before, const fleet_usage &after, double duration)
{
    std::vector<double> cpu;
    std::vector<double> bytes;
    std::vector<double> memory;
    std::vector<double> datagrams;
    std::vector<double> streams;
    for (const auto &[name, later] : after) {
        const auto found = before.find(name);
        if (found == before.end()) {
            continue;
        }
        const auto &earlier = found->second;
        const auto count = later.datagrams - earlier.datagrams;
        cpu.push_back((later.cpuSeconds - earlier.cpuSeconds) / duration * 100);
        datagrams.push_back(count / duration);
        streams.push_back((later.streamBytes - earlier.streamBytes) / duration);
        bytes.push_back((later.datagramBytes - earlier.datagramBytes + count * datagramHeaders) / duration
                        + streams.back());
        memory.push_back(later.residentMb);
    }
    const auto summarize = [](const std::vector<double> &values) {
        double sum = 0;
        for (const auto value : values) {
            sum += value;
        }
        return json{{"mean", sum / static_cast<double>(std::max<std::size_t>(values.size(), 1))},
                    {"max", values.empty() ? 0 : *std::max_element(values.begin(), values.end())}};
    };
    return {{"cpu_percent_of_core", summarize(cpu)},
            {"bytes_per_second", summarize(bytes)},
            {"stream_bytes_per_second", summarize(streams)},
            {"datagrams_per_second", summarize(datagrams)},
            {"resident_mb", summarize(memory)}};
}

json computeStoreRates(const json &before, const json &after, double duration)
{
    json rates;
    for (const auto *name : {"reads", "writes", "watches", "bytes"}) {
        rates[std::string(name) + "_per_second"] =
            (after.at(name).get<double>() - before.at(name).get<double>()) / duration;
    }
    rates["waiting_watches"] = after.at("waiting");
    return rates;
}

/** Measures the usage of the fleet and the store calls while an action runs. */
template <typename Action>
json measureWhile(fleet &running, Action action)
{
    const auto storeBefore = running.storeCounters();
    const auto before = readUsage(running);
    const auto startedAt = clock::now();
    action();
    const auto duration = std::chrono::duration<double>(clock::now() - startedAt).count();
    const auto after = readUsage(running);
    auto figures = computeRates(before, after, duration);
    figures["seconds"] = duration;
    figures["store"] = computeStoreRates(storeBefore, running.storeCounters(), duration);
    return figures;
}

/** Makes a fleet in cells of at most membersPerCell members, with half of the instances in each region. */
fleet_plan makeCellPlan(std::size_t count, const std::string &binaries)
{
    auto plan = twoRegionPlan(count, 0);
    const auto perRegion = (count + 1) / 2;
    const auto cells = (perRegion + membersPerCell - 1) / membersPerCell;
    const auto cellSize = (perRegion + cells - 1) / cells;
    std::string homes;
    std::map<std::string, std::size_t> numberOf;
    for (auto &instance : plan.instances) {
        auto &number = numberOf[instance.region];
        instance.cell = instance.region + "-" + std::to_string(number / cellSize);
        instance.domain = instance.region + "-d" + std::to_string(number % 2 + 1);
        ++number;
        if (homes.find(instance.cell + " ") == std::string::npos) {
            homes += (homes.empty() ? "" : ", ") + instance.cell + " = 1";
        }
    }
    const std::string defaultHomes = "homes = { north = 1, south = 1 }";
    plan.tables.replace(plan.tables.find(defaultHomes), defaultHomes.size(), "homes = { " + homes + " }");
    plan.binaries = binaries;
    plan.basePort = 24000;
    return plan;
}

/** Changes one row repeatedly and measures how long each change takes to be in force at every daemon. */
json changeTables(fleet &running)
{
    std::vector<double> durations;
    const auto &first = running.plan().instances.front().name;
    for (int change = 0; change < tableChanges; ++change) {
        const json row{{"name", "any"},          {"keyed", false},        {"slots", 0},
                       {"homes", json::array()}, {"weighs_churn", false}, {"moves_at_once", 4},
                       {"queue", 100 + change},  {"takeover_grace_ms", 0}};
        const auto startedAt = clock::now();
        const auto response =
            running.post(first, "/v1/apply",
                         {{"operator", "measure"}, {"rows", json::array({{{"key", "pools/any"}, {"row", row}}})}});
        const auto revision = response.value("revision", std::int64_t(0));
        const bool inForce = running.waitFor(seconds(20), [&] {
            const auto status = running.get(first, "/v1/status");
            return std::all_of(status.at("daemons").begin(), status.at("daemons").end(), [&](const auto &daemon) {
                return daemon.value("tables_revision", std::int64_t(0)) >= revision;
            });
        });
        durations.push_back(inForce ? std::chrono::duration<double, std::milli>(clock::now() - startedAt).count()
                                    : 1e9);
        std::this_thread::sleep_for(milliseconds(300));
    }
    std::sort(durations.begin(), durations.end());
    return {{"median_ms", durations[durations.size() / 2]}, {"max_ms", durations.back()}, {"changes", tableChanges}};
}

json measureFleet(std::size_t count, const std::string &binaries)
{
    fleet running(makeCellPlan(count, binaries));
    json figures{{"daemons", count}};
    const auto startedAt = clock::now();
    if (!running.start(startTimeout)) {
        figures["not_run"] = "the fleet did not start";
        return figures;
    }
    figures["started_after_s"] = std::chrono::duration<double>(clock::now() - startedAt).count();
    std::this_thread::sleep_for(seconds(12)); // Wait until the voter sets are complete.
    std::cerr << count << " daemons: at rest\n";
    figures["at_rest"] = measureWhile(running, [] { std::this_thread::sleep_for(seconds(10)); });
    std::cerr << count << " daemons: table changes\n";
    json propagation;
    figures["table_changes"] = measureWhile(running, [&] { propagation = changeTables(running); });
    figures["table_changes"]["in_force_everywhere"] = propagation;
    std::cerr << count << " daemons: loss of one instance\n";
    const auto lostInstance = running.plan().instances[1].name;
    json recovery;
    figures["loss_of_one"] = measureWhile(running, [&] {
        const auto lostAt = clock::now();
        running.signalDaemon(lostInstance, SIGKILL);
        running.signalTarget(lostInstance, SIGKILL);
        const bool recovered = running.waitFor(seconds(10), [&] {
            const auto status = running.get(running.plan().instances.front().name, "/v1/status");
            return std::none_of(status.at("instances").begin(), status.at("instances").end(),
                                [&](const auto &instance) { return instance.at("instance") == lostInstance; })
                && running.allOwned();
        });
        recovery = recovered ? std::chrono::duration<double, std::milli>(clock::now() - lostAt).count() : -1.0;
        std::this_thread::sleep_for(seconds(4));
    });
    figures["loss_of_one"]["reassigned_after_ms"] = recovery;
    return figures;
}

/** Runs one load and adds the processor time per request of the given daemons. */
json measureLoad(const load_options &options, fleet &running, const std::vector<std::string> &daemons)
{
    std::vector<double> before;
    for (const auto &name : daemons) {
        before.push_back(readCpuSeconds(running.pidOf(name)));
    }
    const auto result = runLoad(options);
    auto figures = json::parse(formatLoad(result));
    for (std::size_t at = 0; at < daemons.size(); ++at) {
        const auto used = readCpuSeconds(running.pidOf(daemons[at])) - before[at];
        figures["cpu_seconds"][daemons[at]] = used;
        figures["cpu_us_per_request"][daemons[at]] =
            used * 1e6 / std::max<double>(1, static_cast<double>(result.lookups.answered));
    }
    return figures;
}

/** Measures latency and processor time of direct calls to a target, and through one and two daemons. */
json measureHops(const std::string &binaries)
{
    auto plan = twoRegionPlan(2, 0);
    plan.binaries = binaries;
    plan.basePort = 26000;
    plan.serviceMs = 0;
    plan.slots = 64;
    fleet running(std::move(plan));
    if (!running.start(startTimeout)) {
        return {{"not_run", "the fleet did not start"}};
    }
    std::this_thread::sleep_for(seconds(6)); // Wait until the targets are warmed up.
    // Find a key owned by the second daemon: requests take one hop there, and two through the first daemon.
    std::string key;
    for (int number = 0; key.empty() && number < 1000; ++number) {
        const auto owner = running.get("key-1", "/v1/owner?pool=keyed&key=k" + std::to_string(number));
        key = owner.value("owner", "") == "key-2" ? "k" + std::to_string(number) : "";
    }
    load_options options;
    options.path = "/formulas/" + key;
    options.progress = false;
    options.rate = 1000;
    options.duration = seconds(5);
    json figures;
    options.callers = {running.portsOf("key-2").target};
    figures["direct"] = measureLoad(options, running, {});
    options.callers = {running.portsOf("key-2").callers};
    figures["one_hop"] = measureLoad(options, running, {"key-2"});
    options.callers = {running.portsOf("key-1").callers};
    figures["two_hops"] = measureLoad(options, running, {"key-1", "key-2"});
    return figures;
}

/** Measures goodput at several fractions of the capacity, on a fleet of its own, because targets keep a backlog. */
json measureGoodput(const std::string &binaries, bool direct, std::uint16_t basePort)
{
    auto plan = twoRegionPlan(4, 0);
    plan.binaries = binaries;
    plan.basePort = basePort;
    plan.serviceMs = overloadServiceMs;
    plan.slots = overloadSlots;
    fleet running(std::move(plan));
    if (!running.start(startTimeout)) {
        return {{"not_run", "the fleet did not start"}};
    }
    std::this_thread::sleep_for(seconds(6)); // Wait until the targets are warmed up.
    load_options options;
    for (const auto &instance : running.plan().instances) {
        const auto ports = running.portsOf(instance.name);
        options.callers.push_back(direct ? ports.target : ports.callers);
    }
    options.duration = seconds(4);
    options.timeout = overloadTimeout;
    options.orderPath = "/releases/{key}";
    options.orderShare = 0.2;
    options.progress = false;
    auto rows = json::array();
    for (const double share : {0.5, 1.0, 2.0, 4.0, 0.5}) {
        options.rate = 4.0 * overloadSlots * 1000 / overloadServiceMs * share;
        ++options.seed;
        const auto result = runLoad(options);
        auto row = json::parse(formatLoad(result));
        row["share"] = share;
        row["goodput_per_second"] =
            static_cast<double>(result.lookups.answered + result.orders.answered) / result.seconds;
        rows.push_back(std::move(row));
    }
    return rows;
}

/**
 * Measures goodput through the daemons and, as the baseline, round robin to the targets themselves, which queue without
 * admission control. The last row of each is the recovery after the overload.
 */
json measureOverload(const std::string &binaries)
{
    return {{"daemons", measureGoodput(binaries, false, 27000)},
            {"round_robin_no_admission", measureGoodput(binaries, true, 27200)}};
}

} // namespace

} // namespace quetzalspool

/**
 * Runs the measurements and prints them as one JSON object.
 * @param argc Number of arguments.
 * @param argv Arguments.
 * @return 0, or 2 for wrong arguments.
 */
int main(int argc, char **argv)
{
    using namespace quetzalspool;
    TCLAP::CmdLine line("Measures the resource usage of fleets on loopback.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> binaries("b", "binaries", "Folder of the built programs.", true, "", "DIR", line);
    TCLAP::SwitchArg hops("", "hops", "Measure the latency added by each hop.", line);
    TCLAP::SwitchArg overload("", "overload", "Measure goodput at up to four times the capacity.", line);
    TCLAP::UnlabeledMultiArg<int> counts("daemons", "Numbers of daemons.", false, "N", line);
    line.parse(argc, argv);
    json figures = json::array();
    for (const auto count : counts.getValue()) {
        figures.push_back(measureFleet(static_cast<std::size_t>(count), binaries.getValue()));
    }
    json out{{"fleets", figures}};
    if (hops.getValue()) {
        out["hops"] = measureHops(binaries.getValue());
    }
    if (overload.getValue()) {
        out["overload"] = measureOverload(binaries.getValue());
    }
    std::cout << out.dump(2) << "\n";
    return 0;
}
