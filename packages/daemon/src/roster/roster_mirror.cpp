/** @file roster_mirror.cpp Mirroring keys of the store by reads and watches. */
#include "roster_mirror.h"

#include "elapsed_clock.h"
#include "exchange_func.h"
#include "log_func.h"
#include "mirror_func.h"
#include "roster_func.h"
#include "roster_keys.h"
#include "roster_start.h"
#include "store_watch.h"
#include "upstream_func.h"

#include <algorithm>
#include <limits>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds immediateWait{1}; ///< Wait of a watch that only fetches the changes that exist already.
constexpr std::size_t maxRegions = 12; ///< Assumed number of regions, in each of which one daemon watches the store.
constexpr milliseconds retryInterval{200}; ///< Delay after a failed read or watch.
constexpr milliseconds followerRetryInterval{500}; ///< The same where an upstream daemon may get data sooner: all
                                                   ///< followers together must not overload an unavailable store.
constexpr milliseconds watchTimeout{10000}; ///< Time limit of one watch, and so of the time for which a lost connection
                                            ///< is not noticed.
constexpr milliseconds rereadInterval{1000}; ///< Time limit of a watch after a read failed: the read is due again, and
                                             ///< the watch serves followers meanwhile.
constexpr milliseconds eraReadPause{20}; ///< Before the keys are read in a new era of the store.
constexpr int maxFailedWatches = 2; ///< After so many watches that failed in succession, all keys are read.
constexpr milliseconds watchDeliveryTime{250}; ///< A working watch delivers a change within this time.

/** Whether a watch returned changes. Otherwise it failed, timed out, was cancelled, or its revision was
 * compacted.
 */
bool hasEvents(const std::optional<watch_result> &result)
{
    return result && !result->compacted && !result->events.empty();
}

/** Passes changes that were not known before to the handler of the prefix. */
void dispatchChanges(roster_control &control, mirrored_prefix &mirrored, const std::vector<key_change> &applied)
{
    for (const auto &change : applied) {
        mirrored.onEvent({{change.key, change.value.text, change.value.revision}, change.value.removed});
    }
    control.exchange.state.version += applied.empty() ? 0 : 1;
}

/** Applies the events of a watch, and dispatches the changes that were not known. */
void applyEvents(roster_control &control, mirrored_prefix &mirrored, const watch_result &result)
{
    std::vector<key_change> applied;
    for (const auto &event : result.events) {
        control.observedRevisions.insert(event.value.revision);
        key_change change{event.value.key, {event.value.value, event.value.revision, event.removed}};
        if (applyChange(mirrored.mirror, change)) {
            applied.push_back(std::move(change));
        }
    }
    advanceRevision(mirrored.mirror, result.revision);
    dispatchChanges(control, mirrored, applied);
}

/** Estimated number of daemons that watch the store: one per region, or all nodes if this one has upstream daemons. */
std::size_t countWatchers(const roster_control &control)
{
    return upstreamsOf(control.state).empty() ? maxRegions : control.state.nodes.size();
}

/** Pause after a change before a coalescing prefix is watched again. */
milliseconds coalescingPause(const roster_control &control)
{
    return watchPause(countWatchers(control), control.shared->settings.roster->storeReads);
}

/** Whether all changes up to a revision were received, under this mirrored prefix or another one. */
bool hasObservedUntil(const roster_control &control, const mirrored_prefix &mirrored, revision_number revision)
{
    if (eraOf(mirrored.mirror.revision) != eraOf(revision)) {
        return false;
    }
    for (auto at = mirrored.mirror.revision.value + 1; at <= revision.value; ++at) {
        if (!control.observedRevisions.contains({at})) {
            return false;
        }
    }
    return true;
}

/** Drops observed revisions that all mirrors have passed. */
void pruneObservedRevisions(roster_control &control)
{
    revision_number minimum{std::numeric_limits<std::int64_t>::max()};
    for (const auto &mirrored : control.mirroredPrefixes) {
        minimum = std::min(minimum, mirrored->mirror.revision);
    }
    control.observedRevisions.erase(control.observedRevisions.begin(), control.observedRevisions.upper_bound(minimum));
}

/** Whether upstream daemons deliver all changes to a mirror, also those that a watch missed. */
bool isDeliveredByUpstream(const roster_control &control, const mirrored_keys &mirror)
{
    return mirror.revision != revision_number{} && isUpstreamCurrent(control.exchange.state, clock::now());
}

/** Pause after a failed read or watch. */
milliseconds retryPause(const roster_control &control)
{
    const bool serves = servesFollowers(control.exchange.state, control.state, clock::now());
    return serves ? retryInterval : followerRetryInterval;
}

/** Reads all keys of a prefix. Returns false, after a pause, if the store did not respond. */
asio::awaitable<bool> readMirroredPrefix(roster_control &control, std::shared_ptr<mirrored_prefix> mirrored,
                                         std::function<void()> onChange)
{
    last_reason why;
    recordNotWatched(control, *mirrored);
    const auto sentAt = clock::now();
    const auto all = co_await mirrored->readAll(why);
    recordStoreResult(control, all.has_value(), why);
    if (!all) {
        co_await sleepFor(retryPause(control));
        co_return false;
    }
    applyRangeResult(control, *mirrored, mirrored->mirror.prefix, *all);
    if (mirrored->mirror.prefix == rootPrefix) {
        recordVerification(control.exchange.state, sentAt); // It lists all entries.
    }
    onChange();
    co_await sleepFor(std::exchange(mirrored->initialWatchDelay, milliseconds(0)));
    co_return true;
}

/** Reads the changes that the watch in progress should have delivered. */
asio::awaitable<void> readMissedChanges(roster_control &control, std::shared_ptr<mirrored_prefix> mirrored)
{
    last_reason why;
    auto &mirror = mirrored->mirror;
    const auto result = co_await control.port.store.watch(mirror.prefix, mirror.revision, immediateWait, why);
    if (!result) {
        co_return; // Retried at the next confirmation of the entry.
    }
    if (result->compacted) {
        const auto all = co_await mirrored->readAll(why);
        if (all) {
            applyRangeResult(control, *mirrored, mirror.prefix, *all);
        }
        co_return;
    }
    const auto count = std::count_if(result->events.begin(), result->events.end(),
                                     [&](const auto &event) { return event.value.revision > mirror.revision; });
    if (count == 0 && mirrored->emptyCatchUpRevision <= mirror.revision) {
        // This request may have missed changes too, so an empty result counts only when the next confirmation of the
        // entry has repeated it.
        mirrored->emptyCatchUpRevision = result->revision;
        co_return;
    }
    if (count > 0) {
        logEvent(log_level::warn, "watch-deaf",
                 {{"prefix", mirror.prefix},
                  {"seen", std::to_string(mirror.revision.value)},
                  {"changes", std::to_string(count)}});
    }
    applyEvents(control, *mirrored, *result);
}

} // namespace

void recordStoreResult(roster_control &control, bool answered, const last_reason &why)
{
    control.shared->storeReachable = answered;
    if (answered != control.storeReachable) {
        control.storeReachable = answered;
        if (answered) {
            logEvent(log_level::info, "store-back");
            cancelWatches(control);
        } else {
            logEvent(log_level::warn, "store-lost", {{"reason", describe(why)}});
        }
    }
}

void applyStoreEra(roster_control &control, era_number era)
{
    const auto before = control.state.era;
    if (!beginEra(control.state, era, clock::now())) {
        return;
    }
    logEvent(log_level::warn, "store-era",
             {{"era", std::to_string(era.value)}, {"before", std::to_string(before.value)}});
    control.lease = {}; // The store may give out its number again.
    control.observedRevisions.clear();
    for (const auto &mirrored : control.mirroredPrefixes) {
        recordNotWatched(control, *mirrored); // Nothing of the new era is known before it is read.
    }
    cancelWatches(control);
}

std::shared_ptr<mirrored_prefix> findMirrored(const roster_control &control, std::string_view prefix)
{
    const auto found = std::find_if(control.mirroredPrefixes.begin(), control.mirroredPrefixes.end(),
                                    [&](const auto &mirrored) { return mirrored->mirror.prefix == prefix; });
    return found == control.mirroredPrefixes.end() ? nullptr : *found;
}

bool applyUpstreamUpdate(roster_control &control, mirrored_prefix &mirrored, const mirror_update &update)
{
    const auto eraBefore = eraOf(mirrored.mirror.revision);
    const auto applied = applyUpdate(mirrored.mirror, update);
    dispatchChanges(control, mirrored, applied);
    const bool restored = mirrored.mirror.revision >= update.revision; // Otherwise nothing of the update was applied.
    // All keys that exist in a new era are newer than those of the era before.
    const bool complete = update.snapshot || eraOf(update.revision) > eraBefore;
    if (complete && restored && mirrored.onListed) {
        mirrored.onListed();
    }
    return !applied.empty();
}

void applyRangeResult(roster_control &control, mirrored_prefix &mirrored, std::string_view prefix,
                      const range_result &all)
{
    std::vector<key_change> values;
    values.reserve(all.values.size());
    for (const auto &value : all.values) {
        values.push_back({value.key, {value.value, value.revision, false}});
    }
    dispatchChanges(control, mirrored, applyListing(mirrored.mirror, prefix, values, all.revision));
    if (prefix == mirrored.mirror.prefix && mirrored.onListed) {
        mirrored.onListed();
    }
}

asio::awaitable<void> mirrorPrefix(roster_control &control, std::shared_ptr<mirrored_prefix> mirrored,
                                   std::function<void()> onChange)
{
    control.mirroredPrefixes.push_back(mirrored);
    auto &mirror = mirrored->mirror;
    co_await awaitFirstCopy(control);
    // Whether a change may be unknown that no watch will deliver. A copy from another daemon names its revision, from
    // which the watch continues.
    bool readDue = mirror.revision == revision_number{};
    if (!readDue) {
        co_await sleepFor(std::exchange(mirrored->initialWatchDelay, milliseconds(0)));
    }
    int failedWatches = 0; // Watches in succession.
    for (;;) {
        last_reason why;
        if (readDue && !isDeliveredByUpstream(control, mirror)) {
            readDue = !co_await readMirroredPrefix(control, mirrored, onChange);
            failedWatches = 0;
            if (mirror.revision == revision_number{}) {
                continue;
            }
        }
        readDue = readDue && !isDeliveredByUpstream(control, mirror);
        co_await waitWhileUpstreamCurrent(control, mirrored);
        if (eraOf(mirror.revision) < control.state.era) {
            readDue = true;
            co_await sleepFor(eraReadPause);
            continue;
        }
        const auto wait = readDue ? rereadInterval : watchTimeout;
        auto watchStartedAt = clock::now();
        auto result = co_await watchMirroredPrefix(control, mirrored, wait, why);
        while (hasEvents(result)) {
            failedWatches = 0;
            applyEvents(control, *mirrored, *result);
            onChange();
            if (mirrored->coalesces) {
                co_await sleepFor(coalescingPause(control));
            }
            co_await waitWhileUpstreamCurrent(control, mirrored);
            watchStartedAt = clock::now();
            result = co_await watchMirroredPrefix(control, mirrored, wait, why);
        }
        failedWatches += result ? 0 : 1;
        // A watch that ended without a change may have missed one; the next watch delivers what a failed one did not.
        readDue = readDue || result || failedWatches >= maxFailedWatches;
        if (clock::now() - watchStartedAt < retryInterval) {
            co_await sleepFor(retryPause(control)); // Limits the request rate if the store ends watches immediately.
        }
    }
}

asio::awaitable<void> catchUpLaggingPrefixes(roster_control &control, revision_number revision)
{
    co_await sleepFor(watchDeliveryTime);
    for (const auto &mirrored : control.mirroredPrefixes) {
        if (mirrored->coalesces) {
            co_await sleepFor(coalescingPause(control));
        }
        auto &known = mirrored->mirror.revision;
        if (known == revision_number{} || known >= revision) {
            continue;
        }
        if (hasObservedUntil(control, *mirrored, revision)) {
            known = revision;
        } else if (!isUpstreamCurrent(control.exchange.state, clock::now())) {
            co_await readMissedChanges(control, mirrored);
        }
    }
    pruneObservedRevisions(control);
}

} // namespace quetzalspool
