/** @file store_watch.cpp Watches of the store that can be dropped. */
#include "store_watch.h"

#include "elapsed_clock.h"
#include "exchange_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds watchWait{10000}; ///< One wait for changes; a longer one would hide a dead connection longer.
constexpr milliseconds answerLimit{60000}; ///< Far beyond what a call may take; its end always comes before.

/** A watch under way. */
struct open_watch
{
    explicit open_watch(const asio::any_io_executor &executor)
        : ended(executor)
    { }

    std::optional<watch_result> seen; ///< What the store told.
    last_reason why; ///< Why it told nothing.
    bool over = false; ///< Whether it was answered, failed, or was dropped.
    async_condition ended; ///< Wakes whoever waits for its end.
};

/** Notes since when all that is followed is watched. */
void noteWatching(roster_control &control)
{
    auto since = std::optional<steady_time>(steady_time::min());
    for (const auto &mirrored : control.mirroredPrefixes) {
        since =
            since && mirrored->watchedSince ? std::optional(std::max(*since, *mirrored->watchedSince)) : std::nullopt;
    }
    control.exchange.state.watchedSince = since;
}

/** Runs to its own end, also if nobody waits for it any more. */
asio::awaitable<void> performWatch(roster_control &control, std::string prefix, revision_number after,
                                   std::shared_ptr<open_watch> watch)
{
    last_reason why;
    auto seen = co_await control.port.store.watch(std::move(prefix), after, watchWait, why);
    if (!watch->over) {
        watch->seen = std::move(seen);
        watch->why = std::move(why);
        watch->over = true;
        watch->ended.notifyAll();
    }
}

} // namespace

asio::awaitable<std::optional<watch_result>> watchStore(roster_control &control,
                                                        std::shared_ptr<mirrored_prefix> mirrored, last_reason &why)
{
    mirrored->watchedSince = mirrored->watchedSince.value_or(clock::now());
    noteWatching(control);
    const auto watch = std::make_shared<open_watch>(control.context.get_executor());
    mirrored->cancelWatch = [watch] {
        watch->over = true;
        watch->ended.notifyAll();
    };
    const auto &mirror = mirrored->mirror;
    asio::co_spawn(control.context, performWatch(control, mirror.prefix, mirror.revision, watch), asio::detached);
    while (!watch->over) {
        co_await watch->ended.waitUntil(clock::now() + answerLimit);
    }
    mirrored->cancelWatch = nullptr;
    if (!watch->seen) {
        mirrored->watchedSince.reset();
        noteWatching(control);
    }
    why = watch->why;
    co_return std::move(watch->seen);
}

asio::awaitable<void> restWhileTold(roster_control &control, std::shared_ptr<mirrored_prefix> mirrored)
{
    const auto &exchange = control.exchange.state;
    while (isUpstreamCurrent(exchange, clock::now())) {
        mirrored->watchedSince.reset();
        noteWatching(control);
        co_await control.upstreamStale.waitUntil(upstreamCurrentUntil(exchange));
    }
}

void endRest(roster_control &control)
{
    clearUpstreamWatermark(control.exchange.state);
    control.upstreamStale.notifyAll();
}

void dropWatches(roster_control &control)
{
    for (const auto &mirrored : control.mirroredPrefixes) {
        if (mirrored->cancelWatch) {
            mirrored->cancelWatch();
        }
    }
}

} // namespace quetzalspool
