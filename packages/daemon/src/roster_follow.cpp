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

constexpr milliseconds noWait{1}; ///< A watch that only asks what there is by now.
constexpr std::size_t regionsAtMost = 12; ///< One daemon of each watches the store for all others.
constexpr milliseconds followRetry{200}; ///< Wait after a failed read or watch.
constexpr milliseconds followerRetry{500}; ///< The same where another daemon may hear of the store sooner: all of them
                                           ///< together must not press a store that is away.
constexpr milliseconds tellTime{250}; ///< A watch that works has told of a change this long after it was made.

/** Whether a watch came back with changes. Otherwise it was cut, fell behind the history, or was deaf. */
bool isTelling(const std::optional<watch_result> &seen)
{
    return seen && !seen->compacted && !seen->events.empty();
}

/** Tells the decisions of news. */
void passNews(roster_control &control, followed_prefix &followed, const std::vector<key_change> &news)
{
    for (const auto &change : news) {
        followed.takeEvent({{change.key, change.value.text, change.value.revision}, change.value.removed});
    }
    control.exchange.state.version += news.empty() ? 0 : 1;
}

/** Takes the changes that are new. */
void takeEvents(roster_control &control, followed_prefix &followed, const watch_result &result)
{
    std::vector<key_change> news;
    for (const auto &event : result.events) {
        control.explained.insert(event.value.revision);
        key_change change{event.value.key, {event.value.value, event.value.revision, event.removed}};
        if (applyChange(followed.mirror, change)) {
            news.push_back(std::move(change));
        }
    }
    advanceRevision(followed.mirror, result.revision);
    passNews(control, followed, news);
}

/** Daemons that watch the store themselves now, as far as this one knows. */
std::size_t watchersOf(const roster_control &control)
{
    return upstreamsOf(control.state).empty() ? regionsAtMost : control.state.nodes.size();
}

/** Pause before a prefix that pauses is watched again after a change. */
milliseconds pauseOf(const roster_control &control)
{
    return watchPause(watchersOf(control), control.shared->settings.roster->storeReads);
}

/** Whether all changes up to a revision are known: told by this prefix, or under another one that is followed. */
bool knowsAll(const roster_control &control, const followed_prefix &followed, revision_number until)
{
    for (auto at = followed.mirror.revision.value + 1; at <= until.value; ++at) {
        if (!control.explained.contains({at})) {
            return false;
        }
    }
    return true;
}

/** Forgets explained revisions that all followed prefixes have passed. */
void forgetExplained(roster_control &control)
{
    revision_number least{std::numeric_limits<std::int64_t>::max()};
    for (const auto &followed : control.followed) {
        least = std::min(least, followed->mirror.revision);
    }
    control.explained.erase(control.explained.begin(), control.explained.upper_bound(least));
}

/** Asks for the changes that the present watch should have told. */
asio::awaitable<void> catchUp(roster_control &control, std::shared_ptr<followed_prefix> followed)
{
    last_reason why;
    auto &mirror = followed->mirror;
    const auto result = co_await control.port.store.watch(mirror.prefix, mirror.revision, noWait, why);
    if (!result) {
        co_return; // The next confirmation asks again.
    }
    if (result->compacted) {
        const auto all = co_await followed->readAll(why);
        if (all) {
            takeRead(control, *followed, mirror.prefix, *all);
        }
        co_return;
    }
    const auto count = std::count_if(result->events.begin(), result->events.end(),
                                     [&](const auto &event) { return event.value.revision > mirror.revision; });
    if (count == 0 && followed->emptyAt <= mirror.revision) {
        followed->emptyAt = result->revision; // May be deaf too: the next confirmation asks once more.
        co_return;
    }
    if (count > 0) {
        logEvent(log_level::warn, "watch-deaf",
                 {{"prefix", mirror.prefix},
                  {"seen", std::to_string(mirror.revision.value)},
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
            dropWatches(control);
        } else {
            logEvent(log_level::warn, "store-lost", {{"reason", describe(why)}});
        }
    }
}

std::shared_ptr<followed_prefix> findFollowed(const roster_control &control, std::string_view prefix)
{
    const auto found = std::find_if(control.followed.begin(), control.followed.end(),
                                    [&](const auto &followed) { return followed->mirror.prefix == prefix; });
    return found == control.followed.end() ? nullptr : *found;
}

bool takeTold(roster_control &control, followed_prefix &followed, const mirror_update &update)
{
    const auto news = applyUpdate(followed.mirror, update);
    passNews(control, followed, news);
    if (update.snapshot && followed.takeListed) {
        followed.takeListed();
    }
    return !news.empty();
}

void takeRead(roster_control &control, followed_prefix &followed, std::string_view prefix, const range_result &all)
{
    std::vector<key_change> values;
    values.reserve(all.values.size());
    for (const auto &value : all.values) {
        values.push_back({value.key, {value.value, value.revision, false}});
    }
    passNews(control, followed, applyListing(followed.mirror, prefix, values, all.revision));
    if (prefix == followed.mirror.prefix && followed.takeListed) {
        followed.takeListed();
    }
}

asio::awaitable<void> follow(roster_control &control, std::shared_ptr<followed_prefix> followed,
                             std::function<void()> onChange)
{
    control.followed.push_back(followed);
    auto &mirror = followed->mirror;
    bool told = false; // Whether other daemons have told of all changes since the last read.
    for (;;) {
        last_reason why;
        if (!told) {
            const auto all = co_await followed->readAll(why);
            noteStore(control, all.has_value(), why);
            if (!all) {
                const bool reads = servesFollowers(control.exchange.state, control.state, clock::now());
                co_await sleepFor(reads ? followRetry : followerRetry);
                continue;
            }
            takeRead(control, *followed, mirror.prefix, *all);
            onChange();
            co_await sleepFor(std::exchange(followed->firstPause, milliseconds(0)));
        }
        co_await restWhileTold(control, followed);
        auto watchedAt = clock::now();
        auto seen = co_await watchStore(control, followed, why);
        while (isTelling(seen)) {
            takeEvents(control, *followed, *seen);
            onChange();
            if (followed->pauses) {
                co_await sleepFor(pauseOf(control));
            }
            co_await restWhileTold(control, followed);
            watchedAt = clock::now();
            seen = co_await watchStore(control, followed, why);
        }
        // What a watch missed while others told of it is known.
        told = isUpstreamCurrent(control.exchange.state, clock::now());
        if (clock::now() - watchedAt < followRetry) {
            co_await sleepFor(followRetry); // A store that ends watches at once is not asked again at once.
        }
    }
}

asio::awaitable<void> catchUpWhereBehind(roster_control &control, revision_number revision)
{
    co_await sleepFor(tellTime);
    for (const auto &followed : control.followed) {
        if (followed->pauses) {
            co_await sleepFor(pauseOf(control));
        }
        auto &seen = followed->mirror.revision;
        if (seen == revision_number{} || seen >= revision) {
            continue;
        }
        if (knowsAll(control, *followed, revision)) {
            seen = revision;
        } else if (!isUpstreamCurrent(control.exchange.state, clock::now())) {
            co_await catchUp(control, followed);
        }
    }
    forgetExplained(control);
}

} // namespace quetzalspool
