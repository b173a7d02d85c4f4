/** @file roster_sync_test.cpp Mirroring store keys with failing or stalled watches, against a fake store. */
#include "elapsed_clock.h"
#include "exchange_func.h"
#include "roster_func.h"
#include "roster_mirror.h"
#include "roster_sync.h"
#include "store_watch.h"
#include "traffic_start.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

/** A store that holds only the tables, with a scripted watch. */
struct fake_store
{
    std::uint64_t version = 1; ///< Version of the tables; also the revision of the store.
    int reads = 0; ///< Number of reads.
    int watches = 0; ///< Number of watches.
    milliseconds watchDuration{0}; ///< Time until a watch ends.
    bool watchResponds = false; ///< Whether it returns the latest revision without events; else it fails.
};

void connect(roster_control &control, fake_store &store)
{
    control.port.tablesKey = "tables";
    control.port.readTables = [](std::string_view text, last_reason &) {
        tables_snapshot rows;
        rows.version = std::stoull(std::string(text));
        return std::optional(rows);
    };
    control.port.store.read = [&store](std::string key, last_reason &) -> asio::awaitable<std::optional<read_result>> {
        ++store.reads;
        const revision_number revision{static_cast<std::int64_t>(store.version)};
        co_return read_result{stored_value{key, std::to_string(store.version), revision}, revision};
    };
    control.port.store.watch = [&store](std::string, revision_number, milliseconds,
                                        last_reason &) -> asio::awaitable<std::optional<watch_result>> {
        ++store.watches;
        co_await sleepFor(store.watchDuration);
        if (!store.watchResponds) {
            co_return std::nullopt;
        }
        co_return watch_result{false, {}, {static_cast<std::int64_t>(store.version)}};
    };
}

/** Connects a watch that delivers the tables, and whose first call does something else. */
void connectWorkingWatch(roster_control &control, fake_store &store,
                         const std::function<asio::awaitable<std::optional<watch_result>>(milliseconds)> &first)
{
    control.port.store.watch = [&store, first](std::string, revision_number after, milliseconds wait,
                                               last_reason &) -> asio::awaitable<std::optional<watch_result>> {
        if (++store.watches == 1) {
            co_return co_await first(wait);
        }
        const auto until = elapsed_clock::now() + wait;
        const auto revision = [&store] { return revision_number{static_cast<std::int64_t>(store.version)}; };
        while (after >= revision() && elapsed_clock::now() < until) {
            co_await sleepFor(milliseconds(10));
        }
        watch_result result{false, {}, revision()};
        if (after < result.revision) {
            result.events.push_back({{"tables", std::to_string(store.version), result.revision}, false});
        }
        co_return result;
    };
}

/** A daemon that mirrors the tables of the fake store. */
class prefix_mirroring : public ::testing::Test
{
protected:
    prefix_mirroring()
    {
        control.shared = &shared;
        control.state = startRoster({describeSelf(shared), {}}, {}, elapsed_clock::now());
        connect(control, store);
    }

    /** Mirrors the tables for a time span; a new version is stored after a quarter of it. */
    void mirrorFor(milliseconds span)
    {
        asio::co_spawn(control.context, mirrorTables(control, [] {}), asio::detached);
        control.context.run_for(span / 4);
        store.version = 2;
        control.context.run_for(span * 3 / 4);
    }

    /** Confirms the own entry several times, each after watches had time to deliver what the last one revealed. */
    void confirm(int times)
    {
        for (int time = 0; time < times; ++time) {
            asio::co_spawn(control.context, performAction(control, confirm_entry_action{}, [] {}), asio::detached);
            control.context.run_for(milliseconds(300));
        }
    }

    daemon_shared shared;
    roster_control control;
    fake_store store;
};

} // namespace

TEST_F(prefix_mirroring, aWatchWithoutEventsIsFollowedByARead)
{
    store.watchDuration = milliseconds(300);
    store.watchResponds = true;
    mirrorFor(milliseconds(1200));
    ASSERT_TRUE(control.tables != nullptr);
    EXPECT_EQ(control.tables->rows.version, 2U) << "the watch skipped the change";
}

TEST_F(prefix_mirroring, aStalledWatchIsDetectedByTheRevisionOfTheStore)
{
    // Long watches deliver nothing for a minute, and the first request for missed changes returns none either.
    int catchUpWatches = 0;
    control.port.store.watch = [&](std::string, revision_number after, milliseconds wait,
                                   last_reason &) -> asio::awaitable<std::optional<watch_result>> {
        const bool waits = wait > milliseconds(100);
        co_await sleepFor(waits ? seconds(60) : milliseconds(1));
        const revision_number revision{static_cast<std::int64_t>(store.version)};
        watch_result result{false, {}, revision};
        if (after < revision && ++catchUpWatches > 1) {
            result.events.push_back({{"tables", std::to_string(store.version), revision}, false});
        }
        co_return result;
    };
    asio::co_spawn(control.context, mirrorTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(50));
    store.version = 2;
    confirm(3);
    ASSERT_TRUE(control.tables != nullptr);
    EXPECT_EQ(control.tables->rows.version, 2U);
    confirm(3);
    EXPECT_EQ(catchUpWatches, 2) << "no more requests once the change is known";
}

TEST_F(prefix_mirroring, aChangeOutsideTheMirroredPrefixesIsRequestedTwiceOnly)
{
    store.watchResponds = true;
    asio::co_spawn(control.context, mirrorTables(control, [] {}), asio::detached);
    store.watchDuration = seconds(60);
    control.context.run_for(milliseconds(50));
    store.watchDuration = milliseconds(1);
    store.version = 2;
    confirm(6);
    EXPECT_EQ(store.watches, 3) << "the waiting watch, and two requests for missed changes";
}

TEST_F(prefix_mirroring, changesObservedUnderAnotherPrefixCostNoCall)
{
    store.watchDuration = seconds(60);
    asio::co_spawn(control.context, mirrorTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(50));
    store.version = 3; // The store's revision grows by two changes, which another watch has delivered.
    control.observedRevisions = {{2}, {3}};
    confirm(3);
    EXPECT_EQ(store.watches, 1) << "only the waiting watch";
}

TEST_F(prefix_mirroring, aWatchThatFailsImmediatelyIsRetriedWithPauses)
{
    mirrorFor(milliseconds(1200));
    EXPECT_EQ(control.tables->rows.version, 2U);
    EXPECT_LE(store.reads + store.watches, 20) << "a failing store is not flooded with calls";
}

TEST_F(prefix_mirroring, aReadThatFailsIsNotRepeatedWhileUpstreamDaemonsDeliverTheChanges)
{
    const milliseconds span(3000);
    int failedReads = 0;
    control.port.store.read = [&](std::string, last_reason &) -> asio::awaitable<std::optional<read_result>> {
        ++failedReads;
        co_await sleepFor(milliseconds(50)); // The value is large, and the time limit shorter than its transfer.
        co_return std::nullopt;
    };
    store.watchDuration = seconds(60);
    asio::co_spawn(control.context, mirrorTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(20));
    mirror_update update{true, {1}, 0, {{"tables", {"1", {1}, false}}}};
    ASSERT_TRUE(applyUpstreamUpdate(control, *control.mirroredPrefixes.front(), update));
    control.exchange.state.upstreamWatermark = elapsed_clock::now() + span;
    control.context.run_for(span);
    EXPECT_LE(failedReads, 2) << "each takes a share of a slow link from the daemons that serve others";
    EXPECT_EQ(store.watches, 0);
    resumeWatches(control);
    control.context.run_for(milliseconds(100));
    EXPECT_EQ(store.watches, 1) << "without upstream daemons it watches the store from the revision that it has";
}

TEST_F(prefix_mirroring, aWatchThatFailsOnceIsFollowedByAnotherAndNotByAWholeRead)
{
    connectWorkingWatch(control, store, [](milliseconds) -> asio::awaitable<std::optional<watch_result>> {
        co_await sleepFor(milliseconds(300));
        co_return std::nullopt;
    });
    mirrorFor(milliseconds(1000));
    ASSERT_TRUE(control.tables != nullptr);
    EXPECT_EQ(control.tables->rows.version, 2U) << "the next watch delivers what the failed one did not";
    EXPECT_EQ(store.reads, 1) << "each takes a share of a slow link from the daemons that serve others";
}

TEST_F(prefix_mirroring, aChangeArrivesByWatchWhileReadsExceedTheirTimeLimit)
{
    connectWorkingWatch(control, store, [](milliseconds) -> asio::awaitable<std::optional<watch_result>> {
        co_await sleepFor(milliseconds(100));
        co_return watch_result{false, {}, {1}}; // Ends without a change, so that a read is due.
    });
    asio::co_spawn(control.context, mirrorTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(50));
    control.port.store.read = [&](std::string, last_reason &) -> asio::awaitable<std::optional<read_result>> {
        ++store.reads;
        co_return std::nullopt;
    };
    control.context.run_for(milliseconds(500));
    store.version = 2;
    control.context.run_for(milliseconds(1500));
    EXPECT_EQ(control.tables->rows.version, 2U);
    EXPECT_GE(store.reads, 3) << "what the first watch may have missed is still read";
}

TEST_F(prefix_mirroring, aDaemonDoesNotSayThatItKnowsAllChangesWhileItReads)
{
    connectWorkingWatch(control, store, [](milliseconds) -> asio::awaitable<std::optional<watch_result>> {
        co_await sleepFor(milliseconds(100));
        co_return watch_result{false, {}, {1}}; // Ends without a change, so that a read is due.
    });
    auto &exchange = control.exchange.state;
    asio::co_spawn(control.context, mirrorTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(50));
    const auto read = control.port.store.read;
    control.port.store.read = [read](std::string key, last_reason &why) -> asio::awaitable<std::optional<read_result>> {
        co_await sleepFor(milliseconds(600));
        co_return co_await read(key, why);
    };
    control.context.run_for(milliseconds(300));
    store.version = 2;
    const auto before = exchange.watchWatermark;
    advanceWatchWatermark(exchange, elapsed_clock::now()); // The store has answered another call.
    EXPECT_EQ(exchange.watchWatermark, before) << "followers would rely on a daemon that delivers nothing";
    control.context.run_for(milliseconds(800));
    advanceWatchWatermark(exchange, elapsed_clock::now());
    EXPECT_GT(exchange.watchWatermark, before);
    EXPECT_EQ(control.tables->rows.version, 2U);
}

TEST_F(prefix_mirroring, aReadThatFailsIsRepeatedWhileNothingIsKnown)
{
    int failedReads = 0;
    control.port.store.read = [&](std::string, last_reason &) -> asio::awaitable<std::optional<read_result>> {
        ++failedReads;
        co_return std::nullopt;
    };
    control.exchange.state.upstreamWatermark = elapsed_clock::now() + seconds(60);
    asio::co_spawn(control.context, mirrorTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(2000));
    EXPECT_GE(failedReads, 4);
}

} // namespace quetzalspool::test
