/** @file roster_follow.cpp Following keys of the store through reads and watches. */
#include "roster_follow.h"

#include "elapsed_clock.h"
#include "exchange_func.h"
#include "log_func.h"
#include "mirror_func.h"
#include "roster_func.h"
#include "store_watch.h"
#include "upstream_func.h"

#include <algorithm>
#include <limits>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds immediateWait{1}; ///< A watch that only asks what there is by now.
constexpr std::size_t maxRegions = 12; ///< One daemon of each watches the store for all others.
constexpr milliseconds retryInterval{200}; ///< Wait after a failed read or watch.
constexpr milliseconds followerRetryInterval{500}; ///< The same where another daemon may hear of the store sooner: all
                                                   ///< of them together must not press a store that is away.
constexpr milliseconds watchDeliveryTime{250}; ///< A watch that works has told of a change this long after it was made.

/** Whether a watch came back with changes. Otherwise it was cut, fell behind the history, or was deaf. */
bool hasEvents(const std::optional<watch_result> &result)
{
    return result && !result->forgotten && !result->events.empty();
}

/** Tells the decisions of news. */
void dispatchChanges(roster_control &control, mirrored_prefix &mirrored, const std::vector<key_change> &applied)
{
    for (const auto &change : applied) {
        mirrored.onEvent({{change.key, change.value.text, change.value.revision}, change.value.removed});
    }
    control.exchange.state.version += applied.empty() ? 0 : 1;
}

/** Takes the changes that are new. */
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

/** Daemons that watch the store themselves now, as far as this one knows. */
std::size_t countWatchers(const roster_control &control)
{
    return upstreamsOf(control.state).empty() ? maxRegions : control.state.nodes.size();
}

/** Pause before a prefix that pauses is watched again after a change. */
milliseconds coalescingPause(const roster_control &control)
{
    return watchPause(countWatchers(control), control.shared->settings.roster->storeReads);
}

/** Whether all changes up to a revision are known: told by this prefix, or under another one that is followed. */
bool hasObservedUntil(const roster_control &control, const mirrored_prefix &mirrored, revision_number revision)
{
    for (auto at = mirrored.mirror.revision.value + 1; at <= revision.value; ++at) {
        if (!control.observedRevisions.contains({at})) {
            return false;
        }
    }
    return true;
}

/** Forgets explained revisions that all followed prefixes have passed. */
void pruneObservedRevisions(roster_control &control)
{
    revision_number minimum{std::numeric_limits<std::int64_t>::max()};
    for (const auto &mirrored : control.mirroredPrefixes) {
        minimum = std::min(minimum, mirrored->mirror.revision);
    }
    control.observedRevisions.erase(control.observedRevisions.begin(), control.observedRevisions.upper_bound(minimum));
}

/** Asks for the changes that the present watch should have told. */
asio::awaitable<void> readMissedChanges(roster_control &control, std::shared_ptr<mirrored_prefix> mirrored)
{
    last_reason why;
    auto &mirror = mirrored->mirror;
    const auto result = co_await control.port.store.watch(mirror.prefix, mirror.revision, immediateWait, why);
    if (!result) {
        co_return; // The next confirmation asks again.
    }
    if (result->forgotten) {
        const auto all = co_await mirrored->readAll(why);
        if (all) {
            applyRangeResult(control, *mirrored, mirror.prefix, *all);
        }
        co_return;
    }
    const auto count = std::count_if(result->events.begin(), result->events.end(),
                                     [&](const auto &event) { return event.value.revision > mirror.revision; });
    if (count == 0 && mirrored->emptyCatchUpRevision <= mirror.revision) {
        mirrored->emptyCatchUpRevision = result->revision; // May be deaf too: the next confirmation asks once more.
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
    control.shared->storeHeard = answered;
    if (answered != control.storeReachable) {
        control.storeReachable = answered;
        if (answered) {
            logEvent(log_level::info, "store-back");
            dropWatches(control);
        } else {
            logEvent(log_level::warn, "store-lost", {{"reason", describe(why)}});
        }
    }
}

std::shared_ptr<mirrored_prefix> findMirrored(const roster_control &control, std::string_view prefix)
{
    const auto found = std::find_if(control.mirroredPrefixes.begin(), control.mirroredPrefixes.end(),
                                    [&](const auto &mirrored) { return mirrored->mirror.prefix == prefix; });
    return found == control.mirroredPrefixes.end() ? nullptr : *found;
}

bool applyUpstreamUpdate(roster_control &control, mirrored_prefix &mirrored, const mirror_update &update)
{
    const auto applied = applyUpdate(mirrored.mirror, update);
    dispatchChanges(control, mirrored, applied);
    if (update.snapshot && mirrored.onListed) {
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
    bool upstreamCurrent = false; // Whether other daemons have told of all changes since the last read.
    for (;;) {
        last_reason why;
        if (!upstreamCurrent) {
            const auto all = co_await mirrored->readAll(why);
            recordStoreResult(control, all.has_value(), why);
            if (!all) {
                const bool serves = servesFollowers(control.exchange.state, control.state, clock::now());
                co_await sleepFor(serves ? retryInterval : followerRetryInterval);
                continue;
            }
            applyRangeResult(control, *mirrored, mirror.prefix, *all);
            onChange();
            co_await sleepFor(std::exchange(mirrored->initialWatchDelay, milliseconds(0)));
        }
        co_await restWhileTold(control, mirrored);
        auto watchStartedAt = clock::now();
        auto result = co_await watchStore(control, mirrored, why);
        while (hasEvents(result)) {
            applyEvents(control, *mirrored, *result);
            onChange();
            if (mirrored->coalesces) {
                co_await sleepFor(coalescingPause(control));
            }
            co_await restWhileTold(control, mirrored);
            watchStartedAt = clock::now();
            result = co_await watchStore(control, mirrored, why);
        }
        // What a watch missed while others told of it is known.
        upstreamCurrent = isUpstreamCurrent(control.exchange.state, clock::now());
        if (clock::now() - watchStartedAt < retryInterval) {
            co_await sleepFor(retryInterval); // A store that ends watches at once is not asked again at once.
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
