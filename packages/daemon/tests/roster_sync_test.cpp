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

/** A daemon that follows the tables of the fake store. */
class follow : public ::testing::Test
{
protected:
    follow()
    {
        control.shared = &shared;
        control.state = startRoster({describeSelf(shared), {}}, {}, elapsed_clock::now());
        connect(control, store);
    }

    /** Follows for a while; a new version comes after a quarter of it. */
    void followFor(milliseconds span)
    {
        asio::co_spawn(control.context, followTables(control, [] {}), asio::detached);
        control.context.run_for(span / 4);
        store.version = 2;
        control.context.run_for(span * 3 / 4);
    }

    /** Confirms the own entry some times, each once the watches have had time to tell what the one before showed. */
    void confirm(int times)
    {
        for (int time = 0; time < times; ++time) {
            asio::co_spawn(control.context, performAction(control, confirm_entry_action{}, [] {}), asio::detached);
            control.context.run_for(milliseconds(300));
        }
    }

    daemon_shared shared;
    roster_control control;
    fake_tables store;
};

} // namespace

TEST_F(follow, aWatchThatTellsNothingIsFollowedByARead)
{
    store.watchTime = milliseconds(300);
    store.watchAnswers = true;
    followFor(milliseconds(1200));
    ASSERT_TRUE(control.tables != nullptr);
    EXPECT_EQ(control.tables->rows.version, 2U) << "though the watch passed over the change";
}

TEST_F(follow, aDeafWatchIsNoticedByTheRevisionOfTheStore)
{
    // Long watches hear nothing for a minute, and the first that only asks what there is hears nothing either.
    int asked = 0;
    control.port.store.watch = [&](std::string, revision_number after, milliseconds wait,
                                   last_reason &) -> asio::awaitable<std::optional<watch_result>> {
        const bool waits = wait > milliseconds(100);
        co_await sleepFor(waits ? seconds(60) : milliseconds(1));
        const revision_number revision{static_cast<std::int64_t>(store.version)};
        watch_result result{false, {}, revision};
        if (after < revision && ++asked > 1) {
            result.events.push_back({{"tables", std::to_string(store.version), revision}, false});
        }
        co_return result;
    };
    asio::co_spawn(control.context, followTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(50));
    store.version = 2;
    confirm(3);
    ASSERT_TRUE(control.tables != nullptr);
    EXPECT_EQ(control.tables->rows.version, 2U);
    confirm(3);
    EXPECT_EQ(asked, 2) << "nothing more to ask once it is told";
}

TEST_F(follow, aChangeThatNoFollowedPrefixHoldsIsAskedForTwiceOnly)
{
    store.watchAnswers = true;
    asio::co_spawn(control.context, followTables(control, [] {}), asio::detached);
    store.watchTime = seconds(60);
    control.context.run_for(milliseconds(50));
    store.watchTime = milliseconds(1);
    store.version = 2;
    confirm(6);
    EXPECT_EQ(store.watches, 3) << "the one that waits, and two that ask what there is";
}

TEST_F(follow, changesToldUnderAnotherPrefixCostNoCall)
{
    store.watchTime = seconds(60);
    asio::co_spawn(control.context, followTables(control, [] {}), asio::detached);
    control.context.run_for(milliseconds(50));
    store.version = 3; // The store's revision grows by two changes, which another watch has told.
    control.explained = {{2}, {3}};
    confirm(3);
    EXPECT_EQ(store.watches, 1) << "the one that waits";
}

TEST_F(follow, aWatchThatFailsAtOnceIsRepeatedWithPauses)
{
    followFor(milliseconds(1200));
    EXPECT_EQ(control.tables->rows.version, 2U);
    EXPECT_LE(store.reads + store.watches, 20) << "calls to a store that has trouble are not multiplied";
}

} // namespace quetzalspool::test
