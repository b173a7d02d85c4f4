/** @file exchange_test.cpp Verification of entries by responses of other daemons. */
#include "exchange_func.h"
#include "roster_func.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const steady_time now{seconds(1000)};

roster_state enteredRoster()
{
    roster_node self;
    self.member.id.value = "n0";
    auto state = startRoster(self, {}, now);
    completeEntryWrite(state, self, roster_outcome::stored, {5}, now - seconds(3), now);
    return state;
}

} // namespace

TEST(exchange, leaseStartsBeforeTheRequestHoweverLateTheResponse)
{
    auto roster = enteredRoster();
    exchange_state exchange;
    const changes_response answer{{}, milliseconds(-400), {5}};
    applyVerification(exchange, roster, answer, true, now - seconds(2), now + seconds(3));
    const auto meant = now - seconds(2) - milliseconds(400);
    EXPECT_EQ(roster.lease.validUntil, meant + roster.timing.leasePeriod);
    EXPECT_EQ(exchange.verifiedAt, meant) << "what is passed on to other daemons";
}

TEST(exchange, differingMirrorDoesNotForwardVerification)
{
    auto roster = enteredRoster();
    exchange_state exchange;
    applyVerification(exchange, roster, {{}, milliseconds(0), {5}}, false, now, now);
    EXPECT_FALSE(exchange.verifiedAt);
    EXPECT_EQ(roster.lease.validUntil, now + roster.timing.leasePeriod) << "the daemon's own entry was verified";
}

TEST(exchange, driftMarginReducesVerifiedOffset)
{
    exchange_state exchange;
    const roster_timing timing;
    recordVerification(exchange, now - seconds(2));
    EXPECT_EQ(verifiedOffset(exchange, timing, now), milliseconds(-2060));
    EXPECT_EQ(verifiedOffset(exchange, timing, now - seconds(4)), milliseconds(1940));
}

TEST(exchange, daemonsThatServeOthersTurnToTheStoreBeforeThoseThatDoNot)
{
    auto roster = enteredRoster();
    exchange_state serving;
    exchange_state other;
    serving.lastRequestAt = now;
    const changes_response answer{{}, milliseconds(0), {5}, milliseconds(0)};
    applyVerification(serving, roster, answer, true, now, now);
    applyVerification(other, roster, answer, true, now, now);
    EXPECT_TRUE(isUpstreamCurrent(serving, now + milliseconds(1200)));
    EXPECT_FALSE(isUpstreamCurrent(serving, now + milliseconds(1300)));
    EXPECT_TRUE(isUpstreamCurrent(other, now + milliseconds(1300)));
    EXPECT_FALSE(isUpstreamCurrent(other, now + milliseconds(1800)));
    EXPECT_EQ(watermarkOffset(other, now), milliseconds(0)) << "others are not told a later time";
}

TEST(exchange, daemonWithStaleVerificationIsNotFresh)
{
    exchange_state exchange;
    EXPECT_FALSE(isFresh(exchange, now));
    recordVerification(exchange, now);
    EXPECT_TRUE(isFresh(exchange, now + seconds(3)));
    EXPECT_FALSE(isFresh(exchange, now + seconds(4)));
}

} // namespace quetzalspool::test
