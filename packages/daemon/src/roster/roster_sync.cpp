/** @file roster_sync.cpp Calls to the store for the roster. */
#include "roster_sync.h"

#include "allowed_regions_func.h"
#include "crash_sync.h"
#include "drain_sync.h"
#include "elapsed_clock.h"
#include "exchange_func.h"
#include "log_func.h"
#include "mirror_func.h"
#include "roster_func.h"
#include "roster_keys.h"
#include "roster_mirror.h"
#include "routing_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr std::size_t maxLoggedBytes = 200; ///< Bytes of a key that are logged.

void applyStoredEntry(roster_control &control, const instance_id &id, const stored_value &value, steady_time now)
{
    last_reason why;
    auto node = parseNode(value.value, why);
    if (node && node->member.id != id) {
        node = failed(why, "parse a node entry", "", "the name of another node");
    }
    if (!node) {
        if (applyUnreadableEntry(control.state, id, value.revision, now)) {
            logEvent(log_level::error, "entry-damaged",
                     {{"node", id.value.substr(0, maxLoggedBytes)}, {"reason", describe(why)}});
        }
        return;
    }
    applyEntry(control.state, id, std::move(node), value.revision, now);
}

void applyStoredOwnership(roster_control &control, const stored_value &value)
{
    last_reason why;
    const pool_id pool{value.key.substr(ownersPrefix.size())};
    auto record = parseOwnership(value.value, why);
    if (record && record->pool != pool) {
        record = failed(why, "parse the owners of a pool", "", "the name of another pool");
    }
    if (!record) {
        if (applyUnreadableOwnership(control.state, pool, value.revision)) {
            logEvent(log_level::error, "owners-damaged",
                     {{"key", value.key.substr(0, maxLoggedBytes)}, {"reason", describe(why)}});
        }
        return;
    }
    applyOwnership(control.state, {std::move(*record), value.revision});
}

/** Applies a node's marker; the own one may name a target that announced its exit to the run before. */
void applyStoredMarker(roster_control &control, const instance_id &id, const stored_value &value, steady_time now)
{
    applyMarker(control.state, id, value.revision);
    const auto left = id == control.state.self.member.id ? parseDeparture(value.value) : std::nullopt;
    if (left) {
        applyLeave(control.state, *left, now);
    }
}

/** Applies one value stored under the product's prefix. */
void applyStoredValue(roster_control &control, const stored_value &value, steady_time now)
{
    const std::string_view key = value.key;
    if (key.starts_with(entryPrefix)) {
        applyStoredEntry(control, {std::string(key.substr(entryPrefix.size()))}, value, now);
    } else if (key.starts_with(markerPrefix)) {
        applyStoredMarker(control, {std::string(key.substr(markerPrefix.size()))}, value, now);
    } else if (key.starts_with(ownersPrefix)) {
        applyStoredOwnership(control, value);
    } else if (key.starts_with(crashesPrefix)) {
        applyStoredCrash(control, value, now);
    }
}

void applyRemoval(roster_control &control, const stored_value &value, steady_time now)
{
    const std::string_view key = value.key;
    if (key.starts_with(entryPrefix)) {
        const instance_id id{std::string(key.substr(entryPrefix.size()))};
        const auto known = control.state.nodes.find(id);
        // An event older than the known entry does not concern it.
        if (known == control.state.nodes.end() || value.revision > known->second.marker) {
            logEvent(log_level::info, "node-gone", {{"node", id.value}});
            applyEntry(control.state, id, std::nullopt, value.revision, now);
        }
    }
}

/** Marks known nodes without an entry as missing, after a complete listing was applied. */
void applyMissingEntries(roster_control &control, const mirrored_keys &mirror)
{
    const auto now = clock::now();
    std::vector<instance_id> missing;
    for (const auto &[id, known] : control.state.nodes) {
        if (findExisting(mirror, entryKey(id)) == nullptr && known.marker <= mirror.revision) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        applyEntry(control.state, id, std::nullopt, mirror.revision, now);
    }
    control.state.listed = true;
}

void applyTables(roster_control &control, const stored_value &value)
{
    if (value.revision <= control.tablesRevision) {
        return;
    }
    last_reason why;
    auto rows = control.port.readTables(value.value, why);
    if (!rows) {
        logEvent(log_level::error, "tables-refused",
                 {{"revision", std::to_string(value.revision.value)}, {"reason", describe(why)}});
        countMetric(*control.shared->metricsRegistry, "tables_refused_total");
        return;
    }
    if (control.tables && rows->version <= control.tables->rows.version) {
        // A store that came back from an older copy has an older version until its writer writes the newest again.
        const bool again = rows->version == control.tables->rows.version;
        logEvent(again ? log_level::info : log_level::error, again ? "tables-again" : "tables-older",
                 {{"version", std::to_string(rows->version)}});
        return;
    }
    control.tablesRevision = value.revision;
    control.tables = makeRouteTable(std::move(*rows));
    control.state.keyedPools.clear();
    control.state.coldRates.clear();
    for (const auto &pool : control.tables->rows.pools) {
        if (pool.coldPerSecond > 0) {
            control.state.coldRates[pool.name] = pool.coldPerSecond;
        }
        if (pool.keyed) {
            control.state.keyedPools.insert(pool.name);
        }
    }
    control.state.regions = findPlacementRegions(control.tables->rows);
    control.state.dirty = true;
    for (const auto &route : control.tables->rows.routes) {
        logEvent(log_level::debug, "route-taken",
                 {{"route", route.name},
                  {"prefix", route.prefix},
                  {"pool", route.pool.value},
                  {"pools", std::to_string(route.shares.size())},
                  {"rank", std::to_string(route.rank)},
                  {"idempotent", route.idempotent ? "1" : "0"},
                  {"targets", std::to_string(route.targetsPerRequest)},
                  {"regions", std::to_string(route.regions.size())},
                  {"goal_ms", std::to_string(route.latencyGoal.count())},
                  {"deadline_ms", std::to_string(route.deadline.count())}});
    }
    logEvent(log_level::info, "tables-taken",
             {{"version", std::to_string(control.tables->rows.version)},
              {"routes", std::to_string(control.tables->rows.routes.size())}});
}

asio::awaitable<void> writeEntry(roster_control &control, write_entry_action action)
{
    last_reason why;
    const auto &id = action.entry.member.id;
    if (control.lease.value == 0) {
        const auto opened = co_await control.port.store.openLease(control.state.timing.entryTtl, why);
        recordStoreResult(control, opened.has_value(), why);
        if (!opened) {
            completeEntryWrite(control.state, action.entry, roster_outcome::unclear, {}, {}, clock::now());
            co_return;
        }
        control.lease = *opened;
    }
    const auto sentAt = clock::now();
    const auto era = control.state.era;
    leased_txn txn{
        {{markerKey(id), action.marker}},
        {{entryKey(id), formatNode(action.entry), control.lease}, {markerKey(id), formatMarker(control.state), {}}}};
    if (action.present) {
        txn.compares.push_back({entryKey(id), action.marker});
    }
    const auto result = co_await control.port.store.commit(std::move(txn), why);
    const auto now = clock::now();
    recordStoreResult(control, result.has_value(), why);
    if (!result || control.state.era != era) {
        completeEntryWrite(control.state, action.entry, roster_outcome::unclear, {}, sentAt, now);
        co_return;
    }
    if (result->status == commit_status::lease_ended) {
        control.lease = {};
    }
    for (const auto &value : result->current) {
        applyStoredValue(control, value, now);
    }
    const bool stored = result->status == commit_status::stored;
    completeEntryWrite(control.state, action.entry, stored ? roster_outcome::stored : roster_outcome::conflicted,
                       result->revision, sentAt, now);
    if (stored) {
        logEvent(log_level::info, "entered",
                 {{"revision", std::to_string(result->revision.value)},
                  {"target", action.entry.targetIncarnation.id},
                  {"leaving", action.entry.member.leaving ? "1" : "0"}});
    }
}

asio::awaitable<void> readOwners(roster_control &control)
{
    last_reason why;
    const auto sentAt = clock::now();
    const auto all = co_await control.port.store.list(std::string(ownersPrefix), why);
    const auto now = clock::now();
    recordStoreResult(control, all.has_value(), why);
    if (all) {
        for (const auto &value : all->values) {
            applyStoredValue(control, value, now);
        }
    }
    completeOwnersRead(control.state, all.has_value(), sentAt, now);
}

asio::awaitable<void> renewStoreLease(roster_control &control)
{
    last_reason why;
    const auto era = control.state.era;
    const auto status = co_await control.port.store.renewLease(control.lease, why);
    recordStoreResult(control, status != renewal_status::unanswered, why);
    if (status == renewal_status::ended && control.state.era == era) {
        logEvent(log_level::warn, "store-lease-ended", {{"lease", std::to_string(control.lease.value)}});
        control.lease = {};
        expireEntry(control.state, clock::now());
    }
}

asio::awaitable<void> writeOwners(roster_control &control, write_owners_action action)
{
    last_reason why;
    const auto &self = control.state.self.member.id;
    const auto era = control.state.era;
    leased_txn txn{{{ownersKey(action.record.pool), action.expected}, {markerKey(self), action.marker}},
                   {{ownersKey(action.record.pool), formatOwnership(action.record), {}}}};
    for (const auto &absent : action.absent) {
        txn.compares.push_back({entryKey(absent.node), {}});
        txn.compares.push_back({markerKey(absent.node), absent.marker});
    }
    const auto result = co_await control.port.store.commit(std::move(txn), why);
    const auto now = clock::now();
    recordStoreResult(control, result.has_value(), why);
    if (!result || control.state.era != era) {
        completeOwnersWrite(control.state, action.record, roster_outcome::unclear, {}, now);
        co_return;
    }
    for (const auto &value : result->current) {
        applyStoredValue(control, value, now);
    }
    const bool stored = result->status == commit_status::stored;
    completeOwnersWrite(control.state, action.record, stored ? roster_outcome::stored : roster_outcome::conflicted,
                        result->revision, now);
    logEvent(log_level::info, stored ? "owners-written" : "owners-conflict",
             {{"pool", action.record.pool.value},
              {"expected", std::to_string(action.expected.value)},
              {"revision", std::to_string(result->revision.value)},
              {"runs", std::to_string(action.record.ranges.size())},
              {"absent", std::to_string(action.absent.size())}});
}

asio::awaitable<void> readOwnEntry(roster_control &control)
{
    last_reason why;
    const auto sentAt = clock::now();
    const auto era = control.state.era;
    const auto result = co_await control.port.store.read(entryKey(control.state.self.member.id), why);
    const auto now = clock::now();
    recordStoreResult(control, result.has_value(), why);
    if (!result || control.state.era != era) {
        failEntryRead(control.state, now);
        co_return;
    }
    std::optional<roster_node> found;
    if (result->value) {
        found = parseNode(result->value->value, why);
    }
    if (!found) {
        logEvent(log_level::warn, "own-entry-missing");
    }
    completeEntryRead(control.state, found, result->value ? result->value->revision : revision_number{}, sentAt, now);
    co_await catchUpLaggingPrefixes(control, result->revision);
}

/** Reads all entries, which confirms the own one and those of all followers. */
asio::awaitable<void> readAllEntries(roster_control &control, std::shared_ptr<mirrored_prefix> roster)
{
    last_reason why;
    const auto sentAt = clock::now();
    const auto era = control.state.era;
    const auto all = co_await control.port.store.list(std::string(entryPrefix), why);
    const auto now = clock::now();
    recordStoreResult(control, all.has_value(), why);
    if (!all || control.state.era != era) {
        failEntryRead(control.state, now);
        co_return;
    }
    const auto key = entryKey(control.state.self.member.id);
    const auto own =
        std::find_if(all->values.begin(), all->values.end(), [&](const auto &value) { return value.key == key; });
    std::optional<roster_node> found;
    if (own != all->values.end()) {
        found = parseNode(own->value, why);
    }
    completeEntryRead(control.state, found, found ? own->revision : revision_number{}, sentAt, now);
    applyRangeResult(control, *roster, entryPrefix, *all);
    recordVerification(control.exchange.state, sentAt);
    co_await catchUpLaggingPrefixes(control, all->revision);
}

asio::awaitable<void> confirmEntry(roster_control &control)
{
    const auto roster = findMirrored(control, rootPrefix);
    if (roster && servesFollowers(control.exchange.state, control.state, clock::now())) {
        co_await readAllEntries(control, roster);
    } else {
        co_await readOwnEntry(control);
    }
}

} // namespace

asio::awaitable<void> mirrorRoster(roster_control &control, std::function<void()> onChange)
{
    auto mirrored = std::make_shared<mirrored_prefix>();
    mirrored->mirror.prefix = rootPrefix;
    mirrored->coalesces = true;
    mirrored->initialWatchDelay = control.exchange.initialWatchDelay;
    mirrored->readAll = [&control](last_reason &why) { return control.port.store.list(std::string(rootPrefix), why); };
    mirrored->onEvent = [&control](const watch_event &event) {
        const auto now = clock::now();
        event.removed ? applyRemoval(control, event.value, now) : applyStoredValue(control, event.value, now);
    };
    mirrored->onListed = [&control, &mirror = mirrored->mirror] { applyMissingEntries(control, mirror); };
    co_await mirrorPrefix(control, mirrored, onChange);
}

asio::awaitable<void> mirrorTables(roster_control &control, std::function<void()> onChange)
{
    const auto key = control.port.tablesKey;
    auto mirrored = std::make_shared<mirrored_prefix>();
    const auto prefix = control.port.tablesPrefix.empty() ? key : control.port.tablesPrefix;
    mirrored->mirror.prefix = prefix;
    // The roster is watched first, since it names the upstream daemons for both.
    mirrored->initialWatchDelay = control.exchange.initialWatchDelay * 2;
    mirrored->readAll = [&control, key, prefix](last_reason &why) -> asio::awaitable<std::optional<range_result>> {
        if (prefix != key) {
            co_return co_await control.port.store.list(prefix, why);
        }
        auto read = co_await control.port.store.read(key, why);
        if (!read) {
            co_return std::nullopt;
        }
        range_result all{read->revision, {}};
        if (read->value) {
            all.values.push_back(std::move(*read->value));
        }
        co_return all;
    };
    mirrored->onEvent = [&control, key](const watch_event &event) {
        if (!event.removed && event.value.key == key) {
            applyTables(control, event.value);
        }
        applyDrainChange(control, event);
    };
    mirrored->onListed = [&control] { control.drainsKnownAt = clock::now(); };
    co_await mirrorPrefix(control, mirrored, onChange);
}

asio::awaitable<void> performAction(roster_control &control, roster_action action, std::function<void()> onChange)
{
    if (auto *entryWrite = std::get_if<write_entry_action>(&action)) {
        co_await writeEntry(control, std::move(*entryWrite));
    } else if (auto *ownersWrite = std::get_if<write_owners_action>(&action)) {
        co_await writeOwners(control, std::move(*ownersWrite));
    } else if (std::holds_alternative<read_owners_action>(action)) {
        co_await readOwners(control);
    } else if (std::holds_alternative<confirm_entry_action>(action)) {
        co_await confirmEntry(control);
    } else {
        co_await renewStoreLease(control);
    }
    onChange();
}

} // namespace quetzalspool
