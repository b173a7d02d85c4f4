/** @file bulk_window_test.cpp Large responses over a simulated link: it must be used, and small responses must not be
 * delayed much. */
#include "bulk_window_func.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace quetzalspool::test {

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr std::size_t frameBytes = 16384; ///< Bytes per frame.
constexpr std::size_t largeResponseBytes = 90000; ///< Size of a large response.
constexpr std::size_t smallResponseBytes = 400; ///< Size of a small response.
constexpr double bytesPerMegabit = 1e6 / 8; ///< Bytes per second at 1 Mbit/s.

/** Bytes in transit over the link. */
struct transmission
{
    delivery frame; ///< Frame; small responses don't count in the window.
    std::size_t path = 0; ///< Index of the reader.
    bool small = false; ///< Whether this is a small response.
    steady_time acknowledgedAt{}; ///< When the acknowledgement arrives.
};

/** An instance that sends responses over one link. */
struct fake_link
{
    double bytesPerSecond = 0; ///< Capacity of the link.
    std::vector<microseconds> roundTrips; ///< Round-trip time to each reader.
    bulk_window window; ///< Congestion window.
    std::vector<path_delay> paths; ///< Measured delay to each reader.
    bool windowEnforced = true; ///< Whether the window limits large responses.
    std::deque<std::size_t> waiting; ///< Unsent bytes of each large response, in order of arrival.
    std::deque<transmission> inTransit; ///< Frames and small responses in transit.
    steady_time now{seconds(100)}; ///< Simulated time.
    steady_time idleAt{}; ///< When the link's send queue will be empty.
    std::size_t delivered = 0; ///< Bytes of large responses acknowledged.
    std::vector<double> smallMs; ///< Delivery times of small responses in milliseconds.
    std::mt19937_64 random{7}; ///< Random numbers with a fixed seed.
};

void transmit(fake_link &link, std::size_t bytes, transmission sent)
{
    const std::chrono::duration<double> takes(static_cast<double>(bytes) / link.bytesPerSecond);
    link.idleAt = std::max(link.idleAt, link.now) + std::chrono::duration_cast<steady_time::duration>(takes);
    sent.path = link.random() % link.roundTrips.size();
    sent.frame.sentAt = link.now;
    sent.acknowledgedAt = link.idleAt + link.roundTrips[sent.path];
    link.inTransit.push_back(sent);
}

void sendLarge(fake_link &link)
{
    while (!link.waiting.empty() && (!link.windowEnforced || canSend(link.window))) {
        const auto bytes = std::min(frameBytes, link.waiting.front());
        link.waiting.front() -= bytes;
        if (link.waiting.front() == 0) {
            link.waiting.pop_front();
        }
        recordSent(link.window, bytes);
        transmit(link, bytes, {{bytes, !link.waiting.empty(), {}}});
    }
}

void processAcknowledgements(fake_link &link)
{
    std::erase_if(link.inTransit, [&](const transmission &sent) {
        if (sent.acknowledgedAt > link.now) {
            return false;
        }
        if (sent.small) {
            link.smallMs.push_back(std::chrono::duration<double, std::milli>(link.now - sent.frame.sentAt).count());
        } else {
            recordDelivery(link.window, link.paths[sent.path], sent.frame, link.now);
            link.delivered += sent.frame.bytes;
        }
        return true;
    });
}

/** Runs the link with Poisson arrivals; the rate of large responses may exceed its capacity. */
void run(fake_link &link, double largePerSecond, double smallPerSecond, seconds span)
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
        processAcknowledgements(link);
        for (; nextLarge <= link.now; nextLarge += later(large)) {
            if (link.waiting.size() < 6) {
                link.waiting.push_back(largeResponseBytes);
            }
        }
        for (; nextSmall <= link.now; nextSmall += later(small)) {
            transmit(link, smallResponseBytes, {{}, 0, true});
        }
        sendLarge(link);
    }
}

fake_link makeLink(double megabits, bool windowEnforced)
{
    fake_link link;
    link.bytesPerSecond = megabits * bytesPerMegabit;
    link.roundTrips = {microseconds(2000), microseconds(2000), microseconds(17000), microseconds(17000)};
    link.paths.resize(link.roundTrips.size());
    link.windowEnforced = windowEnforced;
    return link;
}

double percentile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(part * static_cast<double>(values.size() - 1)));
}

double utilization(const fake_link &link, seconds span)
{
    return static_cast<double>(link.delivered) / link.bytesPerSecond / std::chrono::duration<double>(span).count();
}

} // namespace

// 20 large and 60 small responses per second; a link of 10 Mbit/s carries 14 large ones.
TEST(bulk_window, smallResponsesAreNotDelayedWhileTheLinkIsFull)
{
    constexpr seconds span{30};
    auto link = makeLink(10, true);
    run(link, 20, 60, span);
    EXPECT_GT(utilization(link, span), 0.85);
    EXPECT_LT(percentile(link.smallMs, 0.99), 80) << "the delay goal is 25 ms above a round trip of 17 ms";

    auto unlimited = makeLink(10, false);
    run(unlimited, 20, 60, span);
    EXPECT_GT(percentile(unlimited.smallMs, 0.5), 200) << "without the window this load delays them";
}

TEST(bulk_window, usesAFastLink)
{
    constexpr seconds span{20};
    auto link = makeLink(200, true);
    run(link, 250, 60, span); // 180 of 200 Mbit/s.
    EXPECT_GT(utilization(link, span), 0.85);
    EXPECT_LT(percentile(link.smallMs, 0.99), 80);
}

TEST(bulk_window, adaptsWithinSecondsWhenTheLinkBecomesSlow)
{
    auto link = makeLink(200, true);
    run(link, 200, 60, seconds(10));
    link.bytesPerSecond = 10 * bytesPerMegabit;
    run(link, 20, 60, seconds(5));
    link.smallMs.clear();
    run(link, 20, 60, seconds(20));
    EXPECT_LT(percentile(link.smallMs, 0.99), 80);
}

TEST(bulk_window, releasesBytesOfALostConnection)
{
    bulk_window window;
    recordSent(window, static_cast<std::size_t>(window.windowBytes));
    EXPECT_FALSE(canSend(window));
    releaseBytes(window, window.inFlightBytes);
    EXPECT_TRUE(canSend(window));
    EXPECT_EQ(window.windowBytes, bulk_window{}.windowBytes) << "a lost connection must not adapt the window";
}

TEST(bulk_window, aSlowReaderShrinksTheWindowToItsMinimum)
{
    bulk_window window;
    path_delay slow{microseconds(1000)};
    const steady_time now{seconds(100)};
    for (int round = 0; round < 200; ++round) {
        recordSent(window, frameBytes);
        recordDelivery(window, slow, {frameBytes, true, now}, now + seconds(1));
    }
    EXPECT_EQ(window.windowBytes, static_cast<double>(window.limits.minBytes));
}

} // namespace quetzalspool::test
