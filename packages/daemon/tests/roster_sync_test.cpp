/** @file roster_sync_test.cpp Following the store through watches that fail, with a fake store. */
#include "elapsed_clock.h"
#include "roster_func.h"
#include "roster_sync.h"
#include "traffic_start.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

/** A store with the tables alone, whose watch does as it is told. */
struct fake_tables
{
    std::uint64_t version = 1; ///< Version of the tables.
    int reads = 0; ///< Reads made.
    int watches = 0; ///< Watches made.
    milliseconds watchTime{0}; ///< How long a watch waits.
    bool watchAnswers = false; ///< Whether it then answers, with no event and the newest revision.
};

void connect(roster_control &control, fake_tables &store)
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
        co_await sleepFor(store.watchTime);
        if (!store.watchAnswers) {
            co_return std::nullopt;
        }
        co_return watch_result{false, {}, {static_cast<std::int64_t>(store.version)}};
    };
}

/** Follows the tables for a while; a new version comes after a quarter of it. */
void followFor(roster_control &control, fake_tables &store, milliseconds span)
{
    asio::co_spawn(control.context, followTables(control, [] {}), asio::detached);
    control.context.run_for(span / 4);
    store.version = 2;
    control.context.run_for(span * 3 / 4);
}

} // namespace

TEST(follow, aWatchThatTellsNothingIsFollowedByARead)
{
    daemon_shared shared;
    roster_control control;
    control.shared = &shared;
    fake_tables store;
    store.watchTime = milliseconds(300);
    store.watchAnswers = true;
    connect(control, store);
    followFor(control, store, milliseconds(1200));
    ASSERT_TRUE(control.tables != nullptr);
    EXPECT_EQ(control.tables->rows.version, 2U) << "though the watch passed over the change";
}

TEST(follow, aDeafWatchIsNoticedByTheRevisionOfTheStore)
{
    daemon_shared shared;
    roster_control control;
    control.shared = &shared;
    control.state = startRoster({selfOf(shared), {}}, {}, elapsed_clock::now());
    fake_tables store;
    connect(control, store);
    // Long watches hear nothing for a minute; one that only asks what there is tells the change.
    control.port.store.watch = [&store](std::string, revision_number after, milliseconds wait,
                                        last_reason &) -> asio::awaitable<std::optional<watch_result>> {
        co_await sleepFor(wait > milliseconds(100) ? seconds(60) : milliseconds(1));
        const revision_number revision{static_cast<std::int64_t>(store.version)};
        watch_result result{false, {}, revision};
        if (after < revision) {
            result.events.push_back({{"tables", std::to_string(store.version), revision}, false});
        }
        co_return result;
    };
    asio::co_spawn(control.context, followTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(50));
    store.version = 2;
    for (int confirmation = 0; confirmation < 2; ++confirmation) {
        asio::co_spawn(control.context, performAction(control, confirm_action{}, [] {}), asio::detached);
        control.context.run_for(milliseconds(50));
    }
    ASSERT_TRUE(control.tables != nullptr);
    EXPECT_EQ(control.tables->rows.version, 2U);
}

TEST(follow, changesToldUnderAnotherPrefixCostNoCall)
{
    daemon_shared shared;
    roster_control control;
    control.shared = &shared;
    control.state = startRoster({selfOf(shared), {}}, {}, elapsed_clock::now());
    fake_tables store;
    store.watchTime = seconds(60);
    connect(control, store);
    asio::co_spawn(control.context, followTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(50));
    store.version = 3; // The store's revision grows by two changes, which another watch has told.
    control.explained = {{2}, {3}};
    for (int confirmation = 0; confirmation < 3; ++confirmation) {
        asio::co_spawn(control.context, performAction(control, confirm_action{}, [] {}), asio::detached);
        control.context.run_for(milliseconds(50));
    }
    EXPECT_EQ(store.watches, 1) << "the one that waits";
}

TEST(follow, aWatchThatFailsAtOnceIsRepeatedWithPauses)
{
    daemon_shared shared;
    roster_control control;
    control.shared = &shared;
    fake_tables store;
    connect(control, store);
    followFor(control, store, milliseconds(1200));
    EXPECT_EQ(control.tables->rows.version, 2U);
    EXPECT_LE(store.reads + store.watches, 20) << "calls to a store that has trouble are not multiplied";
}

} // namespace quetzalspool::test
