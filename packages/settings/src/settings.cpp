/** @file settings.cpp Parsing and validation of settings. */
#include "settings_type.h"

#include "toml_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fstream>
#include <sstream>

namespace quetzalspool {

namespace {

constexpr std::int64_t maxPort = 65535;
constexpr std::int64_t maxThreads = 64;
constexpr std::int64_t maxDurationSeconds = 3600; ///< Upper limit of every duration in the settings.
constexpr std::int64_t maxMemoryMb = 16777216; ///< 16 TiB.
constexpr std::int64_t bytesPerMb = 1048576;
constexpr std::int64_t maxStoreReads = 10000000; ///< Reads per second; more than any store can serve.

bool isAddress(const std::string &host)
{
    in_addr ipv4{};
    in6_addr ipv6{};
    return inet_pton(AF_INET, host.c_str(), &ipv4) == 1 || inet_pton(AF_INET6, host.c_str(), &ipv6) == 1;
}

std::uint16_t readPort(toml_reader &reader, const std::string &name)
{
    return static_cast<std::uint16_t>(readNumber(reader, name, 1, maxPort));
}

endpoint readEndpoint(toml_reader &reader, const std::string &name)
{
    const auto at = parseEndpoint(readString(reader, name));
    if (!at) {
        const auto *node = reader.table.get(name);
        refuse(reader, node == nullptr ? reader.table.source() : node->source(),
               "\"" + name + "\" must be an IP address and a port, such as \"10.0.0.1:2379\"");
    }
    return at.value_or(endpoint{});
}

void readSeeds(toml_reader &reader, daemon_settings &settings)
{
    for (const auto &text : readStrings(reader, "seeds")) {
        const auto seed = parseEndpoint(text);
        const auto &at = reader.table.get("seeds")->source();
        if (!seed) {
            refuse(reader, at, "a seed must be an IP address and a port: \"" + text + "\"");
        } else if (std::find(settings.seeds.begin(), settings.seeds.end(), *seed) != settings.seeds.end()) {
            refuse(reader, at, "duplicate address " + text + " in \"seeds\"");
        } else {
            settings.seeds.push_back(*seed);
        }
    }
}

void checkPorts(toml_reader &reader, const daemon_settings &settings)
{
    if (settings.callersPort == settings.peersPort || settings.callersPort == settings.adminPort
        || settings.peersPort == settings.adminPort) {
        refuse(reader,
               reader.table.get("admin_port") == nullptr ? reader.table.source()
                                                         : reader.table.get("admin_port")->source(),
               "duplicate address: callers_port, peers_port and admin_port must differ");
    }
    if (settings.store.host == settings.host
        && (settings.store.port == settings.callersPort || settings.store.port == settings.adminPort
            || settings.store.port == settings.peersPort)) {
        refuse(reader, reader.table.get("store")->source(),
               "duplicate address: \"store\" must differ from the daemon's own ports");
    }
}

void readLog(toml_reader &reader, daemon_settings &settings)
{
    static const std::vector<std::string> levels{"trace", "debug", "info", "warn", "error"};
    settings.logLevel = readString(reader, "log_level", settings.logLevel);
    if (std::find(levels.begin(), levels.end(), settings.logLevel) == levels.end()) {
        refuse(reader, reader.table.get("log_level")->source(),
               "\"log_level\" must be trace, debug, info, warn or error");
    }
    const auto format = readString(reader, "log_format", "text");
    if (format != "text" && format != "json") {
        refuse(reader, reader.table.get("log_format")->source(), R"("log_format" must be "text" or "json")");
    }
    settings.logFormat = format == "json" ? log_format::json : log_format::text;
}

milliseconds readMilliseconds(toml_reader &reader, const std::string &name, milliseconds fallback)
{
    return milliseconds(readNumber(reader, name, 1, maxDurationSeconds * 1000, fallback.count()));
}

/** Reads the table for ownership by store leases; it also sets the callers' port and the store's address. */
void readRoster(toml_reader &outer, daemon_settings &settings)
{
    outer.known.insert("roster");
    const auto *node = outer.table.get("roster");
    if (node == nullptr) {
        return;
    }
    if (!node->is_table()) {
        refuse(outer, node->source(), "\"roster\" must be a table");
        return;
    }
    toml_reader reader{*node->as_table(), outer.file, outer.why};
    roster_settings roster;
    const auto callers = readEndpoint(reader, "callers");
    settings.store = readEndpoint(reader, "store");
    settings.callersPort = callers.port;
    roster.reports = readEndpoint(reader, "reports");
    roster.readiness = readEndpoint(reader, "readiness");
    roster.pool.value = readString(reader, "pool");
    roster.leasePeriod = readMilliseconds(reader, "lease_ms", roster.leasePeriod);
    roster.holdPeriod = readMilliseconds(reader, "hold_ms", roster.holdPeriod);
    roster.limits = readString(reader, "limits", "");
    roster.storeReads =
        static_cast<std::uint32_t>(readNumber(reader, "store_reads_per_second", 1, maxStoreReads, roster.storeReads));
    roster.stopNotice = readMilliseconds(reader, "stop_notice_ms", roster.stopNotice);
    refuseUnknown(reader);
    outer.good = outer.good && reader.good;
    settings.roster = roster;
}

/** Reads the table about the choice of targets. */
void readBalance(toml_reader &outer, daemon_settings &settings)
{
    outer.known.insert("balance");
    const auto *node = outer.table.get("balance");
    if (node == nullptr) {
        return;
    }
    if (!node->is_table()) {
        refuse(outer, node->source(), "\"balance\" must be a table");
        return;
    }
    toml_reader reader{*node->as_table(), outer.file, outer.why};
    settings.learnSpeeds = readBool(reader, "learn_speeds", settings.learnSpeeds);
    refuseUnknown(reader);
    outer.good = outer.good && reader.good;
}

/** Reads the table about overload. */
void readOverload(toml_reader &outer, daemon_settings &settings)
{
    outer.known.insert("overload");
    const auto *node = outer.table.get("overload");
    if (node == nullptr) {
        return;
    }
    if (!node->is_table()) {
        refuse(outer, node->source(), "\"overload\" must be a table");
        return;
    }
    toml_reader reader{*node->as_table(), outer.file, outer.why};
    settings.overload.followCalls = readBool(reader, "follow_calls", false);
    refuseUnknown(reader);
    outer.good = outer.good && reader.good;
}

} // namespace

std::optional<endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    if (digits.empty() || digits.size() > 5 || !std::all_of(digits.begin(), digits.end(), ::isdigit)) {
        return std::nullopt;
    }
    const auto port = std::stol(digits);
    const auto host = text.substr(0, colon);
    if (port < 1 || port > maxPort || !isAddress(host)) {
        return std::nullopt;
    }
    return endpoint{host, static_cast<std::uint16_t>(port)};
}

std::optional<std::string> readFile(const std::string &file, last_reason &why)
{
    std::ifstream in(file);
    if (!in) {
        return failed(why, "open", file, "cannot open the file for reading");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::optional<daemon_settings> parseSettings(std::string_view text, const std::string &file, last_reason &why)
{
    const auto parsed = parseToml(text, file, why);
    if (!parsed) {
        return std::nullopt;
    }
    const auto &table = *parsed;
    toml_reader reader{table, file, why};
    daemon_settings settings;
    settings.instance.value = readString(reader, "instance");
    settings.region.value = readString(reader, "region");
    settings.domain.value = readString(reader, "failure_domain");
    settings.cell.value = readString(reader, "cell");
    settings.host = readString(reader, "host");
    readRoster(reader, settings);
    readBalance(reader, settings);
    if (!settings.roster) {
        settings.callersPort = readPort(reader, "callers_port");
        settings.store = readEndpoint(reader, "store");
    }
    settings.peersPort = readPort(reader, "peers_port");
    settings.adminPort = readPort(reader, "admin_port");
    settings.trafficThreads = static_cast<std::uint32_t>(readNumber(reader, "traffic_threads", 1, maxThreads, 1));
    settings.drainLimit = std::chrono::seconds(readNumber(reader, "drain_limit_s", 1, maxDurationSeconds, 30));
    readOverload(reader, settings);
    settings.memoryBytes = static_cast<std::uint64_t>(readNumber(reader, "memory_mb", 0, maxMemoryMb, 0) * bytesPerMb);
    readSeeds(reader, settings);
    readLog(reader, settings);
    refuseUnknown(reader);
    if (reader.good && (settings.instance.value.empty() || settings.cell.value.empty())) {
        refuse(reader, table.source(), "\"instance\" and \"cell\" must not be empty");
    }
    if (reader.good && !isAddress(settings.host)) {
        refuse(reader, table.get("host")->source(), "\"host\" must be an IP address");
    }
    if (reader.good) {
        checkPorts(reader, settings);
    }
    return reader.good ? std::optional(std::move(settings)) : std::nullopt;
}

std::optional<daemon_settings> loadSettings(const std::string &file, last_reason &why)
{
    const auto text = readFile(file, why);
    return text ? parseSettings(*text, file, why) : std::nullopt;
}

} // namespace quetzalspool
