/** @file roster_sync_test.cpp Mirroring store keys with failing or stalled watches, against a fake store. */
#include "elapsed_clock.h"
#include "roster_func.h"
#include "roster_sync.h"
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

} // namespace quetzalspool::test
