/** @file bulk_window_test.cpp Large answers over a fake link: it is used, and small answers pass it soon. */
#include "bulk_window_func.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace quetzalspool::test {

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr std::size_t pieceBytes = 16384; ///< Bytes sent at once.
constexpr std::size_t largeBytes = 90000; ///< A large answer.
constexpr std::size_t smallBytes = 400; ///< A small answer.
constexpr double megabit = 1e6 / 8; ///< Bytes a second.

/** Bytes on their way through the link. */
struct transit
{
    delivery piece; ///< Piece; small answers count no bytes of the share.
    std::size_t path = 0; ///< Whom they go to.
    bool small = false; ///< Whether this is a small answer.
    steady_time confirmedAt{}; ///< When the sender hears of their delivery.
};

/** An instance that sends answers over one link. */
struct fake_link
{
    double bytesPerSecond = 0; ///< Speed of the link.
    std::vector<microseconds> ways; ///< Time to each reader and back.
    link_share share; ///< Decisions.
    std::vector<path_delay> paths; ///< What is known of the ways.
    bool bounded = true; ///< Whether the share is kept.
    std::deque<std::size_t> waiting; ///< Bytes left of each large answer, first come first served.
    std::deque<transit> under; ///< On their way.
    steady_time now{seconds(100)}; ///< Simulated time.
    steady_time idleAt{}; ///< When the link has sent all that was given to it.
    std::size_t delivered = 0; ///< Bytes of large answers delivered.
    std::vector<double> smallMs; ///< Times of small answers to their delivery.
    std::mt19937_64 random{7}; ///< Source of all chance.
};

void put(fake_link &link, std::size_t bytes, transit sent)
{
    const std::chrono::duration<double> takes(static_cast<double>(bytes) / link.bytesPerSecond);
    link.idleAt = std::max(link.idleAt, link.now) + std::chrono::duration_cast<steady_time::duration>(takes);
    sent.path = link.random() % link.ways.size();
    sent.piece.sentAt = link.now;
    sent.confirmedAt = link.idleAt + link.ways[sent.path];
    link.under.push_back(sent);
}

void sendLarge(fake_link &link)
{
    while (!link.waiting.empty() && (!link.bounded || hasRoom(link.share))) {
        const auto bytes = std::min(pieceBytes, link.waiting.front());
        link.waiting.front() -= bytes;
        if (link.waiting.front() == 0) {
            link.waiting.pop_front();
        }
        noteSent(link.share, bytes);
        put(link, bytes, {{bytes, !link.waiting.empty(), {}}});
    }
}

void takeConfirmations(fake_link &link)
{
    std::erase_if(link.under, [&](const transit &sent) {
        if (sent.confirmedAt > link.now) {
            return false;
        }
        if (sent.small) {
            link.smallMs.push_back(std::chrono::duration<double, std::milli>(link.now - sent.piece.sentAt).count());
        } else {
            noteDelivered(link.share, link.paths[sent.path], sent.piece, link.now);
            link.delivered += sent.piece.bytes;
        }
        return true;
    });
}

/** Plays answers as they come, at random moments; large ones are more than the link carries if asked so. */
void play(fake_link &link, double largePerSecond, double smallPerSecond, seconds span)
{
    constexpr microseconds step{1000};
    std::exponential_distribution<double> large(largePerSecond);
    std::exponential_distribution<double> small(smallPerSecond);
    const auto later = [&](auto &distribution) {
        return std::chrono::duration_cast<steady_time::duration>(
            std::chrono::duration<double>(distribution(link.random)));
    };
    auto nextLarge = link.now + later(large);
    auto nextSmall = link.now + later(small);
    for (const auto until = link.now + span; link.now < until; link.now += step) {
        takeConfirmations(link);
        for (; nextLarge <= link.now; nextLarge += later(large)) {
            if (link.waiting.size() < 6) {
                link.waiting.push_back(largeBytes);
            }
        }
        for (; nextSmall <= link.now; nextSmall += later(small)) {
            put(link, smallBytes, {{}, 0, true});
        }
        sendLarge(link);
    }
}

fake_link makeLink(double megabits, bool bounded)
{
    fake_link link;
    link.bytesPerSecond = megabits * megabit;
    link.ways = {microseconds(2000), microseconds(2000), microseconds(17000), microseconds(17000)};
    link.paths.resize(link.ways.size());
    link.bounded = bounded;
    return link;
}

double percentile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(part * static_cast<double>(values.size() - 1)));
}

double usedPart(const fake_link &link, seconds span)
{
    return static_cast<double>(link.delivered) / link.bytesPerSecond / std::chrono::duration<double>(span).count();
}

} // namespace

// 20 large and 60 small answers a second; the link of 10 Mbit/s carries 14 large ones.
TEST(link_share, smallAnswersPassSoonWhileTheLinkIsFull)
{
    constexpr seconds span{30};
    auto link = makeLink(10, true);
    play(link, 20, 60, span);
    EXPECT_GT(usedPart(link, span), 0.85);
    EXPECT_LT(percentile(link.smallMs, 0.99), 80) << "the goal is 25 ms beyond a way of 17 ms";

    auto unbounded = makeLink(10, false);
    play(unbounded, 20, 60, span);
    EXPECT_GT(percentile(unbounded.smallMs, 0.5), 200) << "without the share this load holds them up";
}

TEST(link_share, aFastLinkIsUsedToo)
{
    constexpr seconds span{20};
    auto link = makeLink(200, true);
    play(link, 250, 60, span); // 180 of 200 Mbit/s.
    EXPECT_GT(usedPart(link, span), 0.85);
    EXPECT_LT(percentile(link.smallMs, 0.99), 80);
}

TEST(link_share, aLinkThatBecomesSlowIsNoticedWithinSeconds)
{
    auto link = makeLink(200, true);
    play(link, 200, 60, seconds(10));
    link.bytesPerSecond = 10 * megabit;
    play(link, 20, 60, seconds(5));
    link.smallMs.clear();
    play(link, 20, 60, seconds(20));
    EXPECT_LT(percentile(link.smallMs, 0.99), 80);
}

TEST(link_share, bytesOfALostConnectionMakeRoomAgain)
{
    link_share share;
    noteSent(share, static_cast<std::size_t>(share.budget));
    EXPECT_FALSE(hasRoom(share));
    noteDropped(share, share.underWay);
    EXPECT_TRUE(hasRoom(share));
    EXPECT_EQ(share.budget, link_share{}.budget) << "a loss says nothing about the link";
}

TEST(link_share, oneSlowReaderTakesNoMoreThanTheLeast)
{
    link_share share;
    path_delay slow{microseconds(1000)};
    const steady_time now{seconds(100)};
    for (int round = 0; round < 200; ++round) {
        noteSent(share, pieceBytes);
        noteDelivered(share, slow, {pieceBytes, true, now}, now + seconds(1));
    }
    EXPECT_EQ(share.budget, static_cast<double>(share.limits.least));
}

} // namespace quetzalspool::test
