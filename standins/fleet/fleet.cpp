/** @file fleet.cpp Starts, controls and ends the processes of a fleet. */
#include "fleet.h"

#include "client_type.h"
#include "elapsed_clock.h"
#include "row_func.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr std::uint16_t portsPerInstance = 4;
constexpr milliseconds pollInterval{50};

} // namespace

fleet::fleet(fleet_plan plan)
    : configuration(std::move(plan))
{
    if (configuration.workFolder.empty()) {
        configuration.workFolder =
            (std::filesystem::temp_directory_path()
             / ("fleet-" + std::to_string(getpid()) + "-" + std::to_string(configuration.basePort)))
                .string();
    }
    std::filesystem::remove_all(configuration.workFolder);
    std::filesystem::create_directories(configuration.workFolder);
}

fleet::~fleet()
{
    for (const auto *group : {&daemons, &targets}) {
        for (const auto &[name, pid] : *group) {
            sendSignal(pid, SIGKILL);
        }
    }
    sendSignal(store, SIGKILL);
    for (const auto *group : {&daemons, &targets}) {
        for (const auto &[name, pid] : *group) {
            waitpid(pid, nullptr, 0);
        }
    }
    if (store > 0) {
        waitpid(store, nullptr, 0);
    }
    std::filesystem::remove_all(configuration.workFolder);
}

pid_t fleet::spawn(const std::vector<std::string> &arguments, const std::string &log)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const auto file = configuration.workFolder + "/" + log;
    posix_spawn_file_actions_addopen(&actions, 1, file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::vector<char *> argv;
    for (const auto &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    pid_t pid = 0;
    if (posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ) != 0) {
        pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

void fleet::sendSignal(pid_t pid, int signal)
{
    if (pid > 0) {
        kill(pid, signal);
    }
}

std::size_t fleet::indexOf(const std::string &name) const
{
    std::size_t index = 0;
    while (configuration.instances.at(index).name != name) {
        ++index;
    }
    return index;
}

fleet_ports fleet::portsOf(const std::string &name) const
{
    const auto first = static_cast<std::uint16_t>(configuration.basePort + 1 + indexOf(name) * portsPerInstance);
    return {{"127.0.0.1", first},
            {"127.0.0.1", static_cast<std::uint16_t>(first + 2)},
            {"127.0.0.1", static_cast<std::uint16_t>(first + 3)}};
}

pid_t fleet::pidOf(const std::string &name) const
{
    return daemons.at(name);
}

std::vector<endpoint> fleet::callers() const
{
    std::vector<endpoint> ports;
    for (const auto &instance : configuration.instances) {
        ports.push_back(portsOf(instance.name).callers);
    }
    return ports;
}

void fleet::startDaemon(const std::string &name)
{
    const auto &instance = configuration.instances[indexOf(name)];
    const auto ports = portsOf(name);
    const auto file = configuration.workFolder + "/" + name + ".toml";
    const auto seed = configuration.basePort + 2;
    std::ofstream(file) << "instance = \"" << name << "\"\nregion = \"" << instance.region << "\"\nfailure_domain = \""
                        << instance.domain << "\"\ncell = \""
                        << (instance.cell.empty() ? instance.region : instance.cell)
                        << "\"\nhost = \"127.0.0.1\"\ncallers_port = " << ports.callers.port
                        << "\npeers_port = " << ports.callers.port + 1 << "\nadmin_port = " << ports.admin.port
                        << "\nstore = \"127.0.0.1:" << configuration.basePort << "\"\nseeds = [\"127.0.0.1:" << seed
                        << "\", \"127.0.0.1:" << seed + portsPerInstance
                        << "\"]\ndrain_limit_s = " << configuration.drainLimitSeconds << "\n";
    daemons[name] = spawn({configuration.binaries + "/apps/quetzalspoold", "--settings", file}, name + ".log");
}

void fleet::startTarget(const std::string &name)
{
    const auto &instance = configuration.instances[indexOf(name)];
    const auto ports = portsOf(name);
    std::vector<std::string> arguments{configuration.binaries + "/standins/standin-target",
                                       "--port",
                                       std::to_string(ports.target.port),
                                       "--admin",
                                       std::to_string(ports.admin.port),
                                       "--pool",
                                       instance.pool,
                                       "--name",
                                       name,
                                       "--slots",
                                       std::to_string(configuration.slots),
                                       "--service-ms",
                                       std::to_string(configuration.serviceMs),
                                       "--log",
                                       configuration.workFolder + "/" + name + ".runs"};
    if (!configuration.checksFences) {
        arguments.emplace_back("--checks-no-grants");
    }
    targets[name] = spawn(arguments, name + ".target.log");
}

bool fleet::start(milliseconds timeout)
{
    store = spawn({configuration.binaries + "/standins/standin-store", std::to_string(configuration.basePort)},
                  "store.log");
    for (const auto &instance : configuration.instances) {
        startDaemon(instance.name);
        startTarget(instance.name);
    }
    const auto &first = configuration.instances.front().name;
    const auto count = configuration.instances.size();
    const bool joined = waitFor(timeout, [&] {
        const auto status = get(first, "/v1/status");
        return status.is_object() && status.at("instances").size() == count;
    });
    if (!joined) {
        return false;
    }
    return applyTables() && waitFor(timeout, [&] { return allOwned(); });
}

bool fleet::applyTables()
{
    last_reason why;
    const auto rows = parseTables(configuration.tables, "tables", why);
    json body{{"operator", "fleet"}, {"reason", "first tables"}, {"rows", json::array()}};
    for (const auto &row : rows ? *rows : std::vector<keyed_row>()) {
        body["rows"].push_back({{"key", row.key}, {"row", json::parse(formatRow(row.row))}});
    }
    const auto response = post(configuration.instances.front().name, "/v1/apply", body);
    return response.is_object() && response.value("outcome", "") == "accepted";
}

void fleet::signalDaemon(const std::string &name, int signal)
{
    sendSignal(daemons.at(name), signal);
    if (signal == SIGKILL) {
        waitpid(daemons.at(name), nullptr, 0);
        daemons[name] = 0;
    }
}

void fleet::signalTarget(const std::string &name, int signal)
{
    sendSignal(targets.at(name), signal);
    if (signal == SIGKILL) {
        waitpid(targets.at(name), nullptr, 0);
        targets[name] = 0;
    }
}

std::optional<int> fleet::awaitDaemon(const std::string &name, milliseconds timeout)
{
    int status = 0;
    const bool ended = waitFor(timeout, [&] { return waitpid(daemons.at(name), &status, WNOHANG) > 0; });
    if (!ended) {
        return std::nullopt;
    }
    daemons[name] = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void fleet::injectStoreFaults(const json &faults)
{
    last_reason why;
    requestDaemon({"127.0.0.1", configuration.basePort}, "POST", "/standin/behave", faults, why);
}

bool fleet::restoreStoreTo(std::int64_t revision)
{
    last_reason why;
    const auto response =
        requestDaemon({"127.0.0.1", configuration.basePort}, "POST", "/standin/restore", {{"revision", revision}}, why);
    return response && response->status == 200;
}

void fleet::injectTargetFaults(const std::string &name, const json &faults)
{
    last_reason why;
    requestDaemon(portsOf(name).target, "POST", "/standin/behave", faults, why);
}

json fleet::storeCounters()
{
    last_reason why;
    const auto response = requestDaemon({"127.0.0.1", configuration.basePort}, "GET", "/standin/counts", {}, why);
    return response ? response->body : json();
}

json fleet::get(const std::string &name, const std::string &path)
{
    last_reason why;
    const auto response = requestDaemon(portsOf(name).admin, "GET", path, {}, why);
    return response ? response->body : json();
}

json fleet::post(const std::string &name, const std::string &path, const json &body)
{
    last_reason why;
    const auto response = requestDaemon(portsOf(name).admin, "POST", path, body, why);
    return response ? response->body : json();
}

double fleet::metric(const std::string &name, const std::string &metric)
{
    const auto body = get(name, "/metrics");
    std::istringstream lines(body.is_string() ? body.get<std::string>() : "");
    const auto prefix = "quetzalspool_" + metric + " ";
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(prefix)) {
            return std::stod(line.substr(prefix.size()));
        }
    }
    return 0;
}

bool fleet::waitFor(milliseconds timeout, const std::function<bool()> &condition)
{
    const auto deadline = elapsed_clock::now() + timeout;
    while (elapsed_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return condition();
}

bool fleet::allOwned()
{
    for (const auto &instance : configuration.instances) {
        if (daemons[instance.name] == 0) {
            continue;
        }
        const auto measures = get(instance.name, "/v1/measures");
        std::size_t slots = 0;
        for (const auto &row : measures.is_array() ? measures : json::array()) {
            slots += row.at("unowned") == 0 ? row.at("slots").get<std::size_t>() : 0;
        }
        return slots >= 240;
    }
    return false;
}

std::vector<json> fleet::executions()
{
    std::vector<json> all;
    for (const auto &instance : configuration.instances) {
        std::ifstream in(configuration.workFolder + "/" + instance.name + ".runs");
        for (std::string line; std::getline(in, line);) {
            auto execution = json::parse(line, nullptr, false);
            if (execution.is_object()) {
                all.push_back(std::move(execution));
            }
        }
    }
    return all;
}

fleet_plan twoRegionPlan(std::size_t keyed, std::size_t others)
{
    static const char *const regions[] = {"north", "south"};
    fleet_plan plan;
    std::size_t perRegion[2] = {0, 0};
    for (std::size_t index = 0; index < keyed + others; ++index) {
        const auto region = index < keyed ? index * 2 / keyed : (index - keyed) * 2 / std::max<std::size_t>(others, 1);
        const auto number = perRegion[region]++;
        const bool isKeyed = index < keyed;
        plan.instances.push_back({(isKeyed ? "key-" : "any-") + std::to_string(index + 1), regions[region],
                                  std::string(regions[region]) + "-" + std::to_string(number % 2 + 1),
                                  isKeyed ? "keyed" : "any", ""});
    }
    plan.tables = R"(
[[pool]]
name = "keyed"
keyed = true
slots = 240
homes = { north = 1, south = 1 }
moves_at_once = 8
queue = 24

[[pool]]
name = "any"
queue = 24

[[route]]
name = "lookups"
prefix = "/formulas"
pool = "keyed"
key_from = "path"
key_segment = 1

[[route]]
name = "orders"
prefix = "/releases"
pool = "keyed"
key_from = "path"
key_segment = 1
class = "order"
deadline_ms = 8000

[[route]]
name = "batches"
prefix = "/batches"
pool = "any"
class = "order"
)";
    return plan;
}

} // namespace quetzalspool
