/** @file store_test.cpp Tests of the store client with the stand-in: compares, lost responses, rate limits, watches,
 * restored backups. */
#include "store_codec.h"
#include "store_func.h"
#include "store_standin.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

/** A store stand-in and its client on one thread. */
struct store_pair
{
    asio::io_context context{1}; ///< Runs stand-in and client.
    std::shared_ptr<store_standin> standin = std::make_shared<store_standin>(); ///< Store.
    store_client client; ///< Client.

    store_pair()
    {
        last_reason why;
        auto acceptor = listenOn(context, {"127.0.0.1", 0}, why);
        client = makeStoreClient({"127.0.0.1", acceptor->local_endpoint().port()});
        client.timeout = milliseconds(300);
        asio::co_spawn(context, serveStore(standin, std::make_shared<tcp::acceptor>(std::move(*acceptor))),
                       asio::detached);
    }

    /** Runs a coroutine until it ends, for at most 10 s. */
    template <typename Work>
    void run(Work work)
    {
        asio::co_spawn(context, work(), [this](const std::exception_ptr &) { context.stop(); });
        context.restart();
        context.run_for(std::chrono::seconds(10));
    }

    std::optional<txn_result> write(const std::string &key, const std::string &value, std::int64_t revision)
    {
        std::optional<txn_result> result;
        const txn_request request{{{key, {revision}}}, {{key, value}}};
        run([&]() -> asio::awaitable<void> { result = co_await commit(client, request, why); });
        return result;
    }

    std::optional<range_result> read(const std::string &key)
    {
        std::optional<range_result> result;
        run([&]() -> asio::awaitable<void> { result = co_await readRange(client, key, false, why); });
        return result;
    }

    last_reason why; ///< Reason for the last failure.
};

} // namespace

TEST(store, writesOnlyIfAllComparesHold)
{
    store_pair pair;
    EXPECT_TRUE(pair.write("a", "1", 0)->succeeded);
    const auto conflicting = pair.write("a", "2", 0);
    ASSERT_TRUE(conflicting.has_value());
    EXPECT_FALSE(conflicting->succeeded);
    ASSERT_EQ(conflicting->current.size(), 1U);
    EXPECT_EQ(conflicting->current.front().value, "1");
    EXPECT_TRUE(pair.write("a", "3", conflicting->current.front().revision.value)->succeeded);
}

TEST(store, aLostResponseLeavesTheResultUnclear)
{
    store_pair pair;
    pair.standin->faults.dropResponses = 1;
    EXPECT_FALSE(pair.write("a", "1", 0).has_value());
    EXPECT_EQ(pair.read("a")->values.front().value, "1");
}

TEST(store, outagesAndRateLimitsReportStepAndPeer)
{
    store_pair pair;
    pair.standin->faults.writesPerSecond = 1;
    pair.write("a", "1", 0);
    EXPECT_FALSE(pair.write("b", "1", 0).has_value());
    EXPECT_EQ(pair.why.step, "call the store");
    pair.standin->faults.down = true;
    EXPECT_FALSE(pair.read("a").has_value());
    EXPECT_FALSE(pair.why.peer.empty());
}

TEST(store, refusesResponsesOfARestoredStore)
{
    store_pair pair;
    pair.write("a", "1", 0);
    pair.standin->revision = 1;
    EXPECT_FALSE(pair.read("a").has_value());
    EXPECT_TRUE(pair.client.restored);
}

TEST(store, aWatchDeliversChangesInOrder)
{
    store_pair pair;
    std::vector<std::string> seen;
    pair.run([&]() -> asio::awaitable<void> {
        asio::co_spawn(
            pair.context,
            [&]() -> asio::awaitable<void> {
                for (const auto *value : {"1", "2", "3"}) {
                    txn_request request{{}, {{"a", value}}};
                    last_reason why;
                    co_await commit(pair.client, request, why);
                }
            },
            asio::detached);
        std::function<bool(std::vector<watch_event>)> onEvents = [&](std::vector<watch_event> events) {
            for (const auto &event : events) {
                seen.push_back(event.value.value);
            }
            return seen.size() < 3;
        };
        const revision_number from{1};
        co_await watchPrefix(pair.client, "a", from, onEvents, pair.why);
    });
    EXPECT_EQ(seen, (std::vector<std::string>{"1", "2", "3"}));
}

TEST(storeCodec, base64OfAllLengths)
{
    for (std::size_t length = 0; length < 20; ++length) {
        const std::string bytes(length, '\xfe');
        EXPECT_EQ(fromBase64(toBase64(bytes)), bytes);
    }
    EXPECT_EQ(prefixEnd("/a/"), "/a0");
}

} // namespace quetzalspool::test
