/** @file settings_type.h Settings of a daemon, read from TOML and checked before anything starts. */
#ifndef SETTINGS_TYPE_H
#define SETTINGS_TYPE_H

#include "base_type.h"

#include <string_view>
#include <vector>

namespace quetzalspool {

/** How a daemon writes its log. */
enum class log_format
{
    text, ///< One line per event, for people.
    json, ///< One JSON object per event.
};

/** Settings of a daemon whose keys are owned by leases of the store, and which finds others there. */
struct roster_settings
{
    endpoint reports; ///< Where the target beside it reports.
    endpoint readiness; ///< Where it says whether it takes callers.
    pool_id pool; ///< Pool that it belongs to.
    milliseconds leasePeriod{7000}; ///< Right to grant keys that one confirmation by the store gives.
    milliseconds holdPeriod{5500}; ///< How long a target may serve its keys after one report.
    std::string limits; ///< Limits of the deployment in its own words, read by its adapter; may be empty.
    std::uint32_t storeReads = 2000; ///< Reading calls a second that the store allows to all daemons together.
    milliseconds stopNotice{2600}; ///< Between the news that it stops and its last new caller.
};

/** Settings of one daemon. */
struct daemon_settings
{
    instance_id instance; ///< Name of the instance.
    region_id region; ///< Region it stands in.
    domain_id domain; ///< Failure domain it stands in.
    cell_id cell; ///< Cell it belongs to.
    std::string host; ///< IP address for all ports.
    std::uint16_t callersPort = 0; ///< HTTP/1.1 for callers.
    std::uint16_t peersPort = 0; ///< HTTP/2 and control datagrams for other daemons.
    std::uint16_t adminPort = 0; ///< HTTP for operators, metrics and the target.
    std::uint32_t trafficThreads = 1; ///< Threads that carry requests.
    endpoint store; ///< The store's gateway.
    std::vector<endpoint> seeds; ///< Peer ports of other daemons, asked at the start when the store is out.
    std::string logLevel = "info"; ///< Least severe events that are logged.
    log_format logFormat = log_format::text; ///< Form of the log.
    std::optional<roster_settings> roster; ///< Present if keys are owned by leases of the store.
    milliseconds drainLimit{30000}; ///< A planned stop waits at most this long for requests in flight.
};

/**
 * Reads and checks settings.
 * @param text TOML text.
 * @param file Name of the file, for reasons.
 * @param why Receives the reason with file and line.
 * @return The settings, or nothing.
 */
std::optional<daemon_settings> parseSettings(std::string_view text, const std::string &file, last_reason &why);

/**
 * Reads and checks a settings file.
 * @param file Name of the file.
 * @param why Receives the reason with file and line.
 * @return The settings, or nothing.
 */
std::optional<daemon_settings> loadSettings(const std::string &file, last_reason &why);

/**
 * Reads "host:port".
 * @param text Text.
 * @return The endpoint, or nothing.
 */
std::optional<endpoint> parseEndpoint(const std::string &text);

/**
 * Reads a whole file.
 * @param file Name of the file.
 * @param why Receives the reason.
 * @return Its text, or nothing.
 */
std::optional<std::string> readFile(const std::string &file, last_reason &why);

} // namespace quetzalspool

#endif // SETTINGS_TYPE_H
