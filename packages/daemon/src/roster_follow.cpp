/** @file roster_follow.cpp Following keys of the store through reads and watches. */
#include "roster_follow.h"

#include "elapsed_clock.h"
#include "log_func.h"
#include "roster_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds watchWait{10000}; ///< One wait for changes; a longer one would hide a dead connection longer.
constexpr milliseconds noWait{1}; ///< A watch that only asks what there is by now.
constexpr milliseconds followRetry{200}; ///< Wait after a failed read or watch.

/** Whether a watch came back with changes. Otherwise it was cut, fell behind the history, or was deaf. */
bool isTelling(const std::optional<watch_result> &seen)
{
    return seen && !seen->forgotten && !seen->events.empty();
}

/** Takes the changes that are new. */
void takeEvents(roster_control &control, followed_prefix &followed, const watch_result &result)
{
    for (const auto &event : result.events) {
        control.explained.insert(event.value.revision);
        if (event.value.revision > followed.seen) {
            followed.takeEvent(event);
        }
    }
    followed.seen = std::max(followed.seen, result.revision);
}

/** Whether all changes up to a revision are known: told by this prefix, or under another one that is followed. */
bool knowsAll(const roster_control &control, const followed_prefix &followed, revision_number until)
{
    for (auto at = followed.seen.value + 1; at <= until.value; ++at) {
        if (!control.explained.contains({at})) {
            return false;
        }
    }
    return true;
}

/** Forgets explained revisions that all followed prefixes have passed. */
void forgetExplained(roster_control &control)
{
    auto least = control.storeRevision;
    for (const auto &followed : control.followed) {
        least = std::min(least, followed->seen);
    }
    control.explained.erase(control.explained.begin(), control.explained.upper_bound(least));
}

/** Asks for the changes that the present watch should have told. */
asio::awaitable<void> catchUp(roster_control &control, std::shared_ptr<followed_prefix> followed)
{
    last_reason why;
    const auto result = co_await control.port.store.watch(followed->prefix, followed->seen, noWait, why);
    if (!result) {
        co_return; // The next confirmation asks again.
    }
    if (result->forgotten) {
        const auto from = co_await followed->readAll(why);
        followed->seen = std::max(followed->seen, from.value_or(followed->seen));
        co_return;
    }
    const auto count = std::count_if(result->events.begin(), result->events.end(),
                                     [&](const auto &event) { return event.value.revision > followed->seen; });
    if (count == 0 && followed->emptyAt <= followed->seen) {
        followed->emptyAt = result->revision; // May be deaf too: the next confirmation asks once more.
        co_return;
    }
    if (count > 0) {
        logEvent(log_level::warn, "watch-deaf",
                 {{"prefix", followed->prefix},
                  {"seen", std::to_string(followed->seen.value)},
                  {"changes", std::to_string(count)}});
    }
    takeEvents(control, *followed, *result);
}

} // namespace

void noteStore(roster_control &control, bool heard, const last_reason &why)
{
    control.shared->storeHeard = heard;
    if (heard != control.storeHeard) {
        control.storeHeard = heard;
        if (heard) {
            logEvent(log_level::info, "store-back");
        } else {
            logEvent(log_level::warn, "store-lost", {{"reason", describe(why)}});
        }
    }
}

asio::awaitable<void> follow(roster_control &control, std::shared_ptr<followed_prefix> followed,
                             std::function<void()> onChange)
{
    control.followed.push_back(followed);
    for (;;) {
        last_reason why;
        const auto from = co_await followed->readAll(why);
        noteStore(control, from.has_value(), why);
        if (!from) {
            co_await sleepFor(followRetry);
            continue;
        }
        followed->seen = std::max(followed->seen, *from);
        onChange();
        auto watchedAt = clock::now();
        auto seen = co_await control.port.store.watch(followed->prefix, followed->seen, watchWait, why);
        while (isTelling(seen)) {
            takeEvents(control, *followed, *seen);
            onChange();
            if (followed->pauses) {
                co_await sleepFor(watchPause(control.state.nodes.size(), control.shared->settings.roster->storeReads));
            }
            watchedAt = clock::now();
            seen = co_await control.port.store.watch(followed->prefix, followed->seen, watchWait, why);
        }
        if (clock::now() - watchedAt < followRetry) {
            co_await sleepFor(followRetry); // A store that ends watches at once is not asked again at once.
        }
    }
}

asio::awaitable<void> catchUpWhereBehind(roster_control &control, revision_number revision)
{
    const auto before = std::exchange(control.storeRevision, revision);
    for (const auto &followed : control.followed) {
        if (followed->seen == revision_number{} || followed->seen >= before) {
            continue;
        }
        if (knowsAll(control, *followed, before)) {
            followed->seen = before;
        } else {
            co_await catchUp(control, followed);
        }
    }
    forgetExplained(control);
}

} // namespace quetzalspool
