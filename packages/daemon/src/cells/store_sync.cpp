/** @file store_sync.cpp Reads and watches documents in the store, and writes cell records to it. */
#include "store_sync.h"

#include "cell_func.h"
#include "control.h"
#include "document_gossip.h"
#include "elapsed_clock.h"
#include "log_func.h"
#include "record_func.h"
#include "routing_func.h"
#include "row_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds loadRetryInterval{500}; ///< Wait after a failed attempt to read all documents.
constexpr milliseconds watchCheckInterval{300}; ///< Interval of the checks whether to watch.
constexpr std::string_view cellPrefix = "cells/";

/** Returns whether daemons replicate a key to each other; guards, proposals and the audit trail stay in the store. */
bool isReplicated(const std::string &key)
{
    return key.starts_with(cellPrefix) || key.starts_with("routes/") || key.starts_with("pools/")
        || key.starts_with("rules/") || key.starts_with(domainPrefix);
}

/** Returns whether this daemon is one of the few that watch the store. */
bool shouldWatch(control_state &control)
{
    const auto &cell = ownCell(control);
    return isCoordinator(cell, clock::now())
        && coordinatorWatchesStore(*control.shared->routing.load(), cell.id, control.shared->settings.region);
}

} // namespace

void applyStoredValue(control_state &control, const stored_value &value)
{
    const auto key = value.key.substr(std::string_view(storePrefix).size());
    if (key.starts_with("refs/")) {
        control.guards[key] = std::max(control.guards[key], value.revision);
    }
    if (isReplicated(key)) {
        installDocument(control,
                        {key, value.revision, std::make_shared<const std::string>(value.value), control.storeKnownAt},
                        document_source::store);
    }
}

asio::awaitable<void> loadDocuments(control_state &control)
{
    for (;;) {
        last_reason why;
        const auto startedAt = clock::now();
        const auto all = co_await readRange(control.store, storePrefix, false, why);
        if (all) {
            for (const auto &value : all->values) {
                applyStoredValue(control, value);
            }
            control.storeKnownAt = startedAt;
            co_return;
        }
        logEvent(log_level::warn, "store-unanswered", {{"reason", describe(why)}});
        for (const auto &seed : control.shared->settings.seeds) {
            co_await compareCatalogs(control, seed);
        }
        co_await sleepFor(loadRetryInterval);
    }
}

asio::awaitable<void> watchStore(control_state &control)
{
    for (;;) {
        co_await sleepFor(watchCheckInterval);
        if (!shouldWatch(control)) {
            continue;
        }
        last_reason why;
        const auto startedAt = clock::now();
        const auto all = co_await readRange(control.store, storePrefix, false, why);
        if (!all) {
            if (control.store.restored) {
                logEvent(log_level::error, "store-went-back", {{"reason", describe(why)}});
            }
            continue;
        }
        for (const auto &value : all->values) {
            applyStoredValue(control, value);
        }
        control.storeKnownAt = startedAt;
        control.watching = true;
        std::function<bool(std::vector<watch_event>)> onEvents = [&control](const std::vector<watch_event> &events) {
            control.storeKnownAt = clock::now();
            for (const auto &event : events) {
                if (event.removed) {
                    logEvent(log_level::error, "store-key-deleted", {{"key", event.value.key}});
                } else {
                    applyStoredValue(control, event.value);
                }
            }
            return shouldWatch(control);
        };
        const revision_number next{all->revision.value + 1};
        co_await watchPrefix(control.store, storePrefix, next, onEvents, why);
        control.watching = false;
    }
}

asio::awaitable<void> readRecord(control_state &control, cell_id cell)
{
    last_reason why;
    const auto key = std::string(storePrefix) + std::string(cellPrefix) + cell.value;
    const auto result = co_await readRange(control.store, key, true, why);
    auto &state = control.cells.at(cell);
    const auto now = clock::now();
    if (!result) {
        logEvent(log_level::debug, "record-unread", {{"reason", describe(why)}});
        failRead(state, now);
        co_return;
    }
    stored_record stored;
    stored.record.id = cell;
    if (!result->values.empty()) {
        const auto record = parseRecord(result->values.front().value, why);
        if (!record) {
            logEvent(log_level::error, "record-damaged", {{"reason", describe(why)}});
            failRead(state, now);
            co_return;
        }
        stored = {*record, result->values.front().revision};
        applyStoredValue(control, result->values.front());
    }
    completeRead(state, stored, now);
}

asio::awaitable<void> writeRecord(control_state &control, cell_id cell, write_action write)
{
    last_reason why;
    const auto key = std::string(storePrefix) + std::string(cellPrefix) + cell.value;
    const auto value = formatRecord(write.record);
    txn_request request{{{key, write.expected}}, {{key, value}}};
    const auto result = co_await commit(control.store, std::move(request), why);
    auto &state = control.cells.at(cell);
    const auto now = clock::now();
    if (!result) {
        logEvent(log_level::warn, "write-unclear", {{"cell", cell.value}, {"reason", describe(why)}});
        performActions(control, cell, completeWrite(state, write.record, write_outcome::unclear, {}, now));
        co_return;
    }
    if (!result->succeeded) {
        performActions(control, cell, completeWrite(state, write.record, write_outcome::conflicted, {}, now));
        co_return;
    }
    const document stored{"cells/" + cell.value, result->revision, std::make_shared<const std::string>(value)};
    performActions(control, cell, completeWrite(state, write.record, write_outcome::stored, result->revision, now));
    announceToCell(control, stored, write.record);
    installDocument(control, stored, document_source::store);
    publishOwnership(control);
    logEvent(log_level::info, "record-written",
             {{"cell", cell.value}, {"revision", std::to_string(result->revision.value)}});
}

} // namespace quetzalspool
