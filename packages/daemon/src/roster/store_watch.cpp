/** @file store_watch.cpp Cancellable watches of the store. */
#include "store_watch.h"

#include "elapsed_clock.h"
#include "exchange_func.h"
#include "log_func.h"
#include "upstream_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds completionLimit{
    60000}; ///< Safety limit of the wait for a watch; its call has a shorter time limit.

/** A watch in progress. */
struct pending_watch
{
    explicit pending_watch(const asio::any_io_executor &executor)
        : completion(executor)
    { }

    std::optional<watch_result> result; ///< Result of the watch; nothing if it failed or was cancelled.
    last_reason why; ///< Reason if it failed.
    bool finished = false; ///< Whether it succeeded, failed or was cancelled.
    async_condition completion; ///< Notified when the watch has finished.
};

/** Updates since when all mirrored prefixes have been watched; nothing while one of them is not. */
void updateWatchedSince(roster_control &control)
{
    auto since = std::optional<steady_time>(steady_time::min());
    for (const auto &mirrored : control.mirroredPrefixes) {
        since =
            since && mirrored->watchedSince ? std::optional(std::max(*since, *mirrored->watchedSince)) : std::nullopt;
    }
    control.exchange.state.watchedSince = since;
}

/** Logs that a daemon that has upstream daemons reads the store itself, and makes its followers know soon that it does.
 */
void beginWatching(roster_control &control, const mirrored_prefix &mirrored)
{
    if (!upstreamsOf(control.state).empty()) {
        logEvent(log_level::info, "store-watched",
                 {{"prefix", mirrored.mirror.prefix}, {"seen", std::to_string(mirrored.mirror.revision.value)}});
    }
    confirmSoon(control.exchange.state, control.state, clock::now());
}

/** Runs a watch to its end. The call itself is not cancelled; the result of a cancelled watch is discarded. */
asio::awaitable<void> runWatch(roster_control &control, std::string prefix, revision_number after, milliseconds wait,
                               std::shared_ptr<pending_watch> watch)
{
    last_reason why;
    auto result = co_await control.port.store.watch(std::move(prefix), after, wait, why);
    if (!watch->finished) {
        watch->result = std::move(result);
        watch->why = std::move(why);
        watch->finished = true;
        watch->completion.notifyAll();
    }
}

} // namespace

asio::awaitable<std::optional<watch_result>> watchMirroredPrefix(roster_control &control,
                                                                 std::shared_ptr<mirrored_prefix> mirrored,
                                                                 milliseconds wait, last_reason &why)
{
    if (!mirrored->watchedSince) {
        beginWatching(control, *mirrored);
    }
    mirrored->watchedSince = mirrored->watchedSince.value_or(clock::now());
    updateWatchedSince(control);
    const auto watch = std::make_shared<pending_watch>(control.context.get_executor());
    mirrored->cancelWatch = [watch] {
        watch->finished = true;
        watch->completion.notifyAll();
    };
    const auto &mirror = mirrored->mirror;
    asio::co_spawn(control.context, runWatch(control, mirror.prefix, mirror.revision, wait, watch), asio::detached);
    while (!watch->finished) {
        co_await watch->completion.waitUntil(clock::now() + completionLimit);
    }
    mirrored->cancelWatch = nullptr;
    if (!watch->result) {
        recordNotWatched(control, *mirrored);
    }
    why = watch->why;
    co_return std::move(watch->result);
}

void recordNotWatched(roster_control &control, mirrored_prefix &mirrored)
{
    mirrored.watchedSince.reset();
    updateWatchedSince(control);
}

asio::awaitable<void> waitWhileUpstreamCurrent(roster_control &control, std::shared_ptr<mirrored_prefix> mirrored)
{
    const auto &exchange = control.exchange.state;
    while (isUpstreamCurrent(exchange, clock::now())) {
        recordNotWatched(control, *mirrored);
        co_await control.upstreamStale.waitUntil(upstreamCurrentUntil(exchange, clock::now()));
    }
}

void resumeWatches(roster_control &control)
{
    clearUpstreamWatermark(control.exchange.state);
    control.upstreamStale.notifyAll();
}

void cancelWatches(roster_control &control)
{
    for (const auto &mirrored : control.mirroredPrefixes) {
        if (mirrored->cancelWatch) {
            mirrored->cancelWatch();
        }
    }
}

} // namespace quetzalspool
