/** @file fleet.h Starts, freezes and ends a fleet of processes on loopback: store, daemons, targets. */
#ifndef FLEET_H
#define FLEET_H

#include "base_type.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sys/types.h>
#include <vector>

namespace quetzalspool {

/** One instance of a fleet. */
struct fleet_instance
{
    std::string name; ///< Name.
    std::string region; ///< Region; also the cell, unless one is given.
    std::string domain; ///< Failure domain.
    std::string pool; ///< Pool of its target.
    std::string cell; ///< Cell; the region's name if empty.
};

/** What a fleet is made of. */
struct fleet_plan
{
    std::vector<fleet_instance> instances; ///< Instances.
    std::string tables; ///< Tables in TOML.
    std::uint16_t basePort = 20000; ///< Port of the store; the others follow.
    int serviceMs = 5; ///< Time that a target takes for one request.
    int slots = 12; ///< Slots of a target.
    bool checksFences = true; ///< Whether targets check grants.
    std::string binaries; ///< Folder of the built programs.
    std::string workFolder; ///< Folder for settings, logs and histories.
};

/** Ports of one instance. */
struct fleet_ports
{
    endpoint callers; ///< Callers.
    endpoint admin; ///< Operators.
    endpoint target; ///< Target.
};

/** A running fleet. Its destructor ends every process that it started. */
class fleet
{
public:
    explicit fleet(fleet_plan plan);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    /** Starts everything, applies the tables, and waits until every slot is owned. Returns whether that came about. */
    bool start(milliseconds timeout);
    /** Starts the daemon of an instance. */
    void startDaemon(const std::string &name);
    /** Starts the target of an instance. */
    void startTarget(const std::string &name);
    /** Sends a signal to a daemon, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
    void signalDaemon(const std::string &name, int signal);
    /** Sends a signal to a target. */
    void signalTarget(const std::string &name, int signal);
    /** Waits for a daemon to end. Returns its exit code, or nothing if it did not end in time. */
    std::optional<int> awaitDaemon(const std::string &name, milliseconds timeout);
    /** Makes the store misbehave; members as the stand-in's page says. */
    void injectStoreFaults(const nlohmann::json &faults);
    /** Puts the store back to an empty copy with a lower revision, as from an old backup. */
    bool restoreStoreTo(std::int64_t revision);
    /** Makes a target misbehave. */
    void injectTargetFaults(const std::string &name, const nlohmann::json &faults);
    /** Reads the store's counts. */
    nlohmann::json storeCounters();
    /** Asks a daemon's admin port; null if it does not answer. */
    nlohmann::json get(const std::string &name, const std::string &path);
    /** Posts to a daemon's admin port. */
    nlohmann::json post(const std::string &name, const std::string &path, const nlohmann::json &body);
    /** Reads one figure of a daemon's metrics; 0 if absent. */
    double metric(const std::string &name, const std::string &metric);
    /** Waits until a condition holds. */
    bool waitFor(milliseconds timeout, const std::function<bool()> &condition);
    /** Whether every slot of every keyed pool has a member as owner. */
    bool allOwned();
    /** All runs that the targets logged. */
    std::vector<nlohmann::json> executions();
    /** Ports of an instance. */
    fleet_ports portsOf(const std::string &name) const;
    /** Process id of a daemon. */
    pid_t pidOf(const std::string &name) const;
    /** Caller ports of all instances. */
    std::vector<endpoint> callers() const;
    /** Plan. */
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
 * Makes the plan of the Formula House, or of any number of instances spread over two regions with two domains each.
 * @param keyed Instances of the keyed pool.
 * @param others Instances of the pool without keys.
 * @return Plan.
 */
fleet_plan twoRegionPlan(std::size_t keyed, std::size_t others);

} // namespace quetzalspool

#endif // FLEET_H
