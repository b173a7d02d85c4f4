/** @file roster_exchange_test.cpp Responses to requests for changes of the store. */
#include "roster_exchange.h"

#include "elapsed_clock.h"
#include "exchange_func.h"
#include "roster_func.h"
#include "roster_keys.h"
#include "traffic_start.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

constexpr milliseconds promptTime{200}; ///< Far less than the long poll; a response within it did not wait.
constexpr milliseconds longPollTime{1000}; ///< More than the long poll.

/** A daemon that watches the store and has a follower that knows all its keys. */
class changes_responses : public ::testing::Test
{
protected:
    changes_responses()
    {
        control.shared = &shared;
        control.state = startRoster({describeSelf(shared), {}}, {}, elapsed_clock::now());
        auto mirrored = std::make_shared<mirrored_prefix>();
        mirrored->mirror.prefix = rootPrefix;
        mirrored->mirror.revision = revision_number{5};
        control.mirroredPrefixes.push_back(mirrored);
        control.exchange.state.watchedSince = elapsed_clock::now();
        recordVerification(control.exchange.state, elapsed_clock::now());
    }

    /** Requests changes; nothing if there is no response within a time span. */
    std::optional<changes_response> request(std::optional<std::uint64_t> version, milliseconds within)
    {
        std::optional<changes_response> response;
        changes_request message{{"follower"}, {revision_number{5}}, true, version};
        const auto ask = [&]() -> asio::awaitable<void> {
            response = co_await handleChangesRequest(control, std::move(message));
        };
        asio::co_spawn(control.context, ask, asio::detached);
        control.context.restart();
        control.context.run_for(within);
        auto got = response;
        control.context.restart();
        control.context.run_for(longPollTime); // Ends the request in any case.
        return got;
    }

    /** The store answers a call, which shows that all changes until now are known. */
    void hearFromStore()
    {
        advanceWatchWatermark(control.exchange.state, elapsed_clock::now());
        wakeLongPolls(control);
    }

    daemon_shared shared;
    roster_control control;
};

} // namespace

TEST_F(changes_responses, aFollowerThatWasBusyWhenTheStoreWasHeardDoesNotWaitForTheNextTime)
{
    const auto first = request(0, promptTime);
    ASSERT_TRUE(first) << "a daemon that asks here for the first time hears at once what is known";
    hearFromStore();
    const auto second = request(first->version, promptTime);
    ASSERT_TRUE(second) << "its watermark would age until the store is heard again, and the daemon turn to the store";
    EXPECT_GT(second->watermarkOffset, first->watermarkOffset);
}

TEST_F(changes_responses, aFollowerThatKnowsAllWaits)
{
    const auto first = request(0, promptTime);
    ASSERT_TRUE(first);
    EXPECT_FALSE(request(first->version, promptTime)) << "followers would ask again and again without a pause";
}

TEST_F(changes_responses, aFollowerOfAnEarlierBuildWaitsAsBefore)
{
    hearFromStore();
    EXPECT_FALSE(request(std::nullopt, promptTime));
}

} // namespace quetzalspool::test
