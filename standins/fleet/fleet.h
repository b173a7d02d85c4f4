/** @file fleet.h Runs a fleet of processes on loopback (store, daemons, targets) and injects failures. */
#ifndef FLEET_H
#define FLEET_H

#include "base_type.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sys/types.h>
#include <vector>

namespace quetzalspool {

/** Description of one instance: a daemon and its target. */
struct fleet_instance
{
    std::string name; ///< Name of the instance.
    std::string region; ///< Region.
    std::string domain; ///< Failure domain.
    std::string pool; ///< Pool that its target belongs to.
    std::string cell; ///< Cell; named after the region if empty.
};

/** Configuration of a fleet. */
struct fleet_plan
{
    std::vector<fleet_instance> instances; ///< Instances to start.
    std::string tables; ///< Tables to apply, in TOML.
    std::uint16_t basePort = 20000; ///< Port of the store; the ports of the instances follow it.
    int serviceMs = 5; ///< Service time of a request at a target, in milliseconds.
    int slots = 12; ///< Requests that a target serves concurrently.
    int drainLimitSeconds = 30; ///< Maximum time that a planned stop of a daemon waits for requests.
    bool checksFences = true; ///< Whether targets refuse requests with older fences.
    std::string binaries; ///< Build folder with the programs.
    std::string workFolder; ///< Folder for settings, logs and histories, removed at the end; temporary if empty.
};

/** Ports of one instance. */
struct fleet_ports
{
    endpoint callers; ///< Caller port of the daemon.
    endpoint admin; ///< Admin port of the daemon.
    endpoint target; ///< Port of the target.
};

/** A running fleet. The destructor kills every process that it started. */
class fleet
{
public:
    explicit fleet(fleet_plan plan);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    /** Starts all processes, applies the tables and waits until every slot has an owner. Returns false on timeout. */
    bool start(milliseconds timeout);
    /** Starts the daemon of an instance. */
    void startDaemon(const std::string &name);
    /** Starts the target of an instance. */
    void startTarget(const std::string &name);
    /** Sends a signal to a daemon, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
    void signalDaemon(const std::string &name, int signal);
    /** Sends a signal to a target. */
    void signalTarget(const std::string &name, int signal);
    /** Waits for a daemon to exit. Returns its exit code (128 + signal if it was killed), or nothing on timeout. */
    std::optional<int> awaitDaemon(const std::string &name, milliseconds timeout);
    /** Sets faults of the stand-in store: down, delay_ms, lose_answers, writes_per_second. Others stay as they are. */
    void injectStoreFaults(const nlohmann::json &faults);
    /** Resets the store to an earlier revision, as if restored from an old backup. Returns whether it did. */
    bool restoreStoreTo(std::int64_t revision);
    /** Sets faults of a stand-in target: frozen, shedding, service_ms. Others stay as they are. */
    void injectTargetFaults(const std::string &name, const nlohmann::json &faults);
    /** Reads the call counters of the store; null if it does not respond. */
    nlohmann::json storeCounters();
    /** Sends a GET request to a daemon's admin port. Returns null if it does not respond. */
    nlohmann::json get(const std::string &name, const std::string &path);
    /** Sends a POST request to a daemon's admin port. Returns null if it does not respond. */
    nlohmann::json post(const std::string &name, const std::string &path, const nlohmann::json &body);
    /** Reads one metric of a daemon; 0 if it is absent. */
    double metric(const std::string &name, const std::string &metric);
    /** Polls until a condition holds. Returns false on timeout. */
    bool waitFor(milliseconds timeout, const std::function<bool()> &condition);
    /** Whether the first running daemon reports an owner for all 240 slots of the keyed pool. */
    bool allOwned();
    /** Returns all request executions that the targets logged. */
    std::vector<nlohmann::json> executions();
    /** Returns the ports of an instance. */
    fleet_ports portsOf(const std::string &name) const;
    /** Returns the process id of a daemon; 0 after it was killed. */
    pid_t pidOf(const std::string &name) const;
    /** Returns the caller ports of all instances. */
    std::vector<endpoint> callers() const;
    /** Returns the configuration of the fleet. */
    const fleet_plan &plan() const
    {
        return configuration;
    }

private:
    bool applyTables();
    pid_t spawn(const std::vector<std::string> &arguments, const std::string &log);
    void sendSignal(pid_t pid, int signal);
    std::size_t indexOf(const std::string &name) const;

    fleet_plan configuration;
    pid_t store = 0;
    std::map<std::string, pid_t> daemons;
    std::map<std::string, pid_t> targets;
};

/**
 * Makes the configuration of a fleet in two regions with two failure domains each.
 * @param keyed Number of instances in the keyed pool.
 * @param others Number of instances in the pool without keys.
 * @return Configuration.
 */
fleet_plan twoRegionPlan(std::size_t keyed, std::size_t others);

} // namespace quetzalspool

#endif // FLEET_H
