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
constexpr std::uint64_t keysPerRun = 4; ///< A target that crashes again and again overwrites its older crashes: daemons
                                        ///< that are up have read them.
constexpr std::size_t maxLoggedBytes = 200; ///< Bytes of a key that are logged.
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

/** Key of a crash by its number in this run of the daemon. */
std::string crashKey(const daemon_shared &shared, std::uint64_t number)
{
    return std::string(crashesPrefix) + shared.settings.instance.value + "/" + std::to_string(shared.incarnation.value)
        + "-" + std::to_string(number % keysPerRun);
}

/**
 * Writes a crash under a lease, which is reset if it has ended. It may be written twice, if an answer of the store is
 * lost. Returns whether it is stored.
 */
asio::awaitable<bool> writeCrash(roster_control &control, store_lease_id &lease, std::string key, target_crash crash)
{
    last_reason why;
    leased_txn txn{{}, {{std::move(key), formatSuspects(crash.suspects), lease}}};
    const auto result = co_await control.port.store.commit(std::move(txn), why);
    recordStoreResult(control, result.has_value(), why);
    if (result && result->status == commit_status::lease_ended) {
        lease = {};
    }
    co_return result && result->status == commit_status::stored;
}

/** Opens a lease for crashes. Returns 0 if the store did not respond. */
asio::awaitable<store_lease_id> openCrashLease(roster_control &control)
{
    last_reason why;
    const auto lease = co_await control.port.store.openLease(crashTtl, why);
    recordStoreResult(control, lease.has_value(), why);
    co_return lease.value_or(store_lease_id{});
}

/** Writes the crashes that are not published, until the store has all of them. */
asio::awaitable<void> writeCrashes(roster_control &control)
{
    auto &registry = control.shared->crashRegistry;
    store_lease_id lease; // Kept for the next try if the write fails.
    for (auto crash = firstUnpublished(registry); crash; crash = firstUnpublished(registry)) {
        if (lease.value == 0) {
            lease = co_await openCrashLease(control);
        }
        auto key = crashKey(*control.shared, control.crashesPublished);
        bool stored = false;
        if (lease.value != 0) {
            stored = co_await writeCrash(control, lease, std::move(key), *crash);
        }
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
        logEvent(log_level::error, "crash-damaged",
                 {{"key", value.key.substr(0, maxLoggedBytes)}, {"reason", describe(why)}});
        return;
    }
    recordNews(control.shared->crashRegistry, *suspects, now);
}

void publishCrashes(roster_control &control)
{
    if (!control.publishingCrashes && firstUnpublished(control.shared->crashRegistry)) {
        control.publishingCrashes = true;
        asio::co_spawn(control.context, writeCrashes(control), asio::detached);
    }
}

} // namespace quetzalspool
