/** @file store_watch.cpp Watches of the store that can be dropped. */
#include "store_watch.h"

#include "elapsed_clock.h"
#include "exchange_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds watchTimeout{10000}; ///< One wait for changes; a longer one would hide a dead connection longer.
constexpr milliseconds completionLimit{60000}; ///< Far beyond what a call may take; its end always comes before.

/** A watch under way. */
struct pending_watch
{
    explicit pending_watch(const asio::any_io_executor &executor)
        : completion(executor)
    { }

    std::optional<watch_result> result; ///< What the store told.
    last_reason why; ///< Why it told nothing.
    bool finished = false; ///< Whether it was answered, failed, or was dropped.
    async_condition completion; ///< Wakes whoever waits for its end.
};

/** Notes since when all that is followed is watched. */
void updateWatchedSince(roster_control &control)
{
    auto since = std::optional<steady_time>(steady_time::min());
    for (const auto &followed : control.followed) {
        since =
            since && followed->watchedSince ? std::optional(std::max(*since, *followed->watchedSince)) : std::nullopt;
    }
    control.exchange.state.watchedSince = since;
}

/** Runs to its own end, also if nobody waits for it any more. */
asio::awaitable<void> runWatch(roster_control &control, std::string prefix, revision_number after,
                               std::shared_ptr<pending_watch> watch)
{
    last_reason why;
    auto result = co_await control.port.store.watch(std::move(prefix), after, watchTimeout, why);
    if (!watch->finished) {
        watch->result = std::move(result);
        watch->why = std::move(why);
        watch->finished = true;
        watch->completion.notifyAll();
    }
}

} // namespace

asio::awaitable<std::optional<watch_result>>
watchMirroredPrefix(roster_control &control, std::shared_ptr<followed_prefix> followed, last_reason &why)
{
    followed->watchedSince = followed->watchedSince.value_or(clock::now());
    updateWatchedSince(control);
    const auto watch = std::make_shared<pending_watch>(control.context.get_executor());
    followed->dropWatch = [watch] {
        watch->finished = true;
        watch->completion.notifyAll();
    };
    const auto &mirror = followed->mirror;
    asio::co_spawn(control.context, runWatch(control, mirror.prefix, mirror.revision, watch), asio::detached);
    while (!watch->finished) {
        co_await watch->completion.waitUntil(clock::now() + completionLimit);
    }
    followed->dropWatch = nullptr;
    if (!watch->result) {
        followed->watchedSince.reset();
        updateWatchedSince(control);
    }
    why = watch->why;
    co_return std::move(watch->result);
}

asio::awaitable<void> waitWhileUpstreamCurrent(roster_control &control, std::shared_ptr<followed_prefix> followed)
{
    const auto &exchange = control.exchange.state;
    while (isUpstreamCurrent(exchange, clock::now())) {
        followed->watchedSince.reset();
        updateWatchedSince(control);
        co_await control.toldEnds.waitUntil(upstreamCurrentUntil(exchange));
    }
}

void resumeWatches(roster_control &control)
{
    clearUpstreamWatermark(control.exchange.state);
    control.toldEnds.notifyAll();
}

void cancelWatches(roster_control &control)
{
    for (const auto &followed : control.followed) {
        if (followed->dropWatch) {
            followed->dropWatch();
        }
    }
}

} // namespace quetzalspool
