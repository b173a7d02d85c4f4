/** @file settings_type.h Settings of a daemon, read from TOML and validated before the daemon starts. */
#ifndef SETTINGS_TYPE_H
#define SETTINGS_TYPE_H

#include "base_type.h"

#include <string_view>
#include <vector>

namespace quetzalspool {

/** Format of a daemon's log. */
enum class log_format
{
    text, ///< One human-readable line per event.
    json, ///< One JSON object per event.
};

/** Settings of a daemon in a deployment where leases in the store assign keys and list the other daemons. */
struct roster_settings
{
    endpoint reports; ///< Address that receives the reports of the local target.
    endpoint readiness; ///< Address of the readiness check: whether the daemon accepts callers.
    pool_id pool; ///< Pool of the local target.
    milliseconds leasePeriod{7000}; ///< How long the daemon may grant keys after the store confirmed its lease.
    milliseconds holdPeriod{5500}; ///< How long a target may serve its keys after a report.
    std::string limits; ///< Limits in the format of the deployment, parsed by its adapter; may be empty.
    std::uint32_t storeReads = 2000; ///< Reads per second that the store allows for all daemons together.
    milliseconds stopNotice{2600}; ///< Time between announcing the stop and closing the port for callers.
};

/** Settings for overload. */
struct overload_settings
{
    bool followCalls = false; ///< Whether requests from the address of the local target are treated as calls, and fresh
                              ///< requests whose calls fail are throttled.
};

/** Settings of a daemon. */
struct daemon_settings
{
    instance_id instance; ///< Name of the instance.
    region_id region; ///< Region of the instance.
    domain_id domain; ///< Failure domain of the instance.
    cell_id cell; ///< Cell that the daemon is a member of.
    std::string host; ///< IP address that all ports are bound to.
    std::uint16_t callersPort = 0; ///< Port for callers (HTTP/1.1).
    std::uint16_t peersPort = 0; ///< Port for other daemons (HTTP/2 and control datagrams).
    std::uint16_t adminPort = 0; ///< Port for operators, metrics and the target (HTTP).
    std::uint32_t trafficThreads = 1; ///< Number of threads that route requests.
    endpoint store; ///< Address of the store's HTTP gateway.
    std::vector<endpoint> seeds; ///< Peer addresses of other daemons, contacted at startup if the store is unavailable.
    std::string logLevel = "info"; ///< Minimum severity of logged events.
    log_format logFormat = log_format::text; ///< Format of the log.
    std::optional<roster_settings> roster; ///< Present if keys are assigned by leases in the store.
    bool learnSpeeds = false; ///< Whether the speeds of targets are learned, for the choice of a target, admission and
                              ///< the placement of keys.
    overload_settings overload; ///< Overload.
    std::uint64_t memoryBytes = 0; ///< Memory of the machine; 0 for what the machine itself states.
    milliseconds drainLimit{30000}; ///< Maximum time that a planned stop waits for requests in flight.
};

/**
 * Parses and validates settings.
 * @param text TOML text.
 * @param file Name of the file, for error messages.
 * @param why Receives the reason with file and line.
 * @return The settings, or nothing.
 */
std::optional<daemon_settings> parseSettings(std::string_view text, const std::string &file, last_reason &why);

/**
 * Reads, parses and validates a settings file.
 * @param file Name of the file.
 * @param why Receives the reason with file and line.
 * @return The settings, or nothing.
 */
std::optional<daemon_settings> loadSettings(const std::string &file, last_reason &why);

/**
 * Parses "host:port".
 * @param text IP address and port; host names are not accepted.
 * @return The endpoint, or nothing if the text is invalid.
 */
std::optional<endpoint> parseEndpoint(const std::string &text);

/**
 * Reads a whole file.
 * @param file Name of the file.
 * @param why Receives the reason.
 * @return Content of the file, or nothing.
 */
std::optional<std::string> readFile(const std::string &file, last_reason &why);

} // namespace quetzalspool

#endif // SETTINGS_TYPE_H
