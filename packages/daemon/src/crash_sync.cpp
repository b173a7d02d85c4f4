/** @file crash_sync.cpp Crashes of targets in the store. */
#include "crash_sync.h"

#include "crash_suspect_func.h"
#include "log_func.h"
#include "roster_keys.h"
#include "roster_mirror.h"

namespace quetzalspool {

namespace {

constexpr std::chrono::minutes crashTtl{10}; ///< The longest time to live that the store grants. A daemon that starts
                                             ///< later does not learn of the crash.
constexpr milliseconds retryInterval{300}; ///< Delay after a failed call to the store.

/** Oldest crash that is not published. */
std::optional<target_crash> firstUnpublished(crash_registry &registry)
{
    const std::lock_guard lock(registry.mutex);
    return registry.unpublished.empty() ? std::nullopt : std::optional(registry.unpublished.front());
}

void removeUnpublished(crash_registry &registry, const target_crash &crash)
{
    const std::lock_guard lock(registry.mutex);
    if (!registry.unpublished.empty() && registry.unpublished.front().suspects == crash.suspects) {
        registry.unpublished.erase(registry.unpublished.begin());
    }
}

/** Key of a crash. Each run of a daemon numbers its crashes. */
std::string crashKey(const daemon_shared &shared, std::uint64_t number)
{
    return std::string(crashesPrefix) + shared.settings.instance.value + "/" + std::to_string(shared.incarnation.value)
        + "-" + std::to_string(number);
}

/** Writes a crash. It may be written twice, if an answer of the store is lost. Returns whether it is stored. */
asio::awaitable<bool> writeCrash(roster_control &control, std::string key, target_crash crash)
{
    last_reason why;
    const auto lease = co_await control.port.store.openLease(crashTtl, why);
    recordStoreResult(control, lease.has_value(), why);
    if (!lease) {
        co_return false;
    }
    leased_txn txn{{}, {{std::move(key), formatSuspects(crash.suspects), *lease}}};
    const auto result = co_await control.port.store.commit(std::move(txn), why);
    recordStoreResult(control, result.has_value(), why);
    co_return result && result->status == commit_status::stored;
}

/** Writes the crashes that are not published, until the store has all of them. */
asio::awaitable<void> writeCrashes(roster_control &control)
{
    auto &registry = control.shared->crashRegistry;
    for (auto crash = firstUnpublished(registry); crash; crash = firstUnpublished(registry)) {
        auto key = crashKey(*control.shared, control.crashesPublished);
        const bool stored = co_await writeCrash(control, std::move(key), *crash);
        if (stored) {
            removeUnpublished(registry, *crash);
            ++control.crashesPublished;
        } else {
            co_await sleepFor(retryInterval);
        }
    }
    control.publishingCrashes = false;
}

} // namespace

void applyStoredCrash(roster_control &control, const stored_value &value, steady_time now)
{
    last_reason why;
    const auto suspects = parseSuspects(value.value, why);
    if (!suspects) {
        logEvent(log_level::error, "crash-damaged", {{"key", value.key}, {"reason", describe(why)}});
        return;
    }
    recordSuspects(control.shared->crashRegistry, *suspects, now);
}

void publishCrashes(roster_control &control)
{
    if (!control.publishingCrashes && firstUnpublished(control.shared->crashRegistry)) {
        control.publishingCrashes = true;
        asio::co_spawn(control.context, writeCrashes(control), asio::detached);
    }
}

} // namespace quetzalspool
