/** @file speed_test.cpp Learned target speeds: estimate, choice by least expected completion. */
#include "speed_estimate_func.h"
#include "speed_simulation.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

constexpr std::size_t targetCount = 24;
constexpr std::size_t slowCount = 10;
constexpr double slowFactor = 4;
constexpr std::size_t daemonCount = 12;
constexpr double normalShareOfRemaining = 0.75; ///< Load relative to the capacity that remains during the slowdown.

/** Speeds from 0.5 to 1.5 in an order that spreads the slowed targets over all of them. */
std::vector<double> unevenSpeeds()
{
    std::vector<double> speeds;
    for (std::size_t index = 0; index < targetCount; ++index) {
        speeds.push_back(0.5 + static_cast<double>(index * 7 % targetCount) / (targetCount - 1));
    }
    return speeds;
}

/** Requests per second that targets of a total speed can serve. */
double capacityOf(double totalSpeed)
{
    const auto meanWorkMs = (speed_simulation::urgentWorkMs + speed_simulation::normalWorkMs) / 2;
    return totalSpeed * speed_simulation::slots * 1000 / meanWorkMs;
}

/** Results before, during and after a slowdown of ten targets. */
struct slowdown_result
{
    speed_result before;
    speed_result during;
    speed_result after;
};

void print(const char *name, const speed_result &result)
{
    std::cout << "figure " << name << ": urgent " << result.urgentInTime << " of " << result.urgent << ", normal "
              << result.normalInTime << " of " << result.normal << ", refused " << result.refused << ", in time "
              << shareInTime(result) << "\n";
}

void add(speed_result &sum, const speed_result &part)
{
    sum.urgent += part.urgent;
    sum.normal += part.normal;
    sum.urgentInTime += part.urgentInTime;
    sum.normalInTime += part.normalInTime;
    sum.refused += part.refused;
}

slowdown_result runSlowdown(bool learns, std::uint64_t seed)
{
    const auto speeds = unevenSpeeds();
    double total = 0;
    for (std::size_t index = 0; index < targetCount; ++index) {
        total += index < slowCount ? speeds[index] / slowFactor : speeds[index];
    }
    const auto perSecond = capacityOf(total) * normalShareOfRemaining;
    speed_simulation simulation(speeds, daemonCount, learns, seed);
    simulation.run(perSecond, seconds(3));
    const auto before = simulation.run(perSecond, seconds(3));
    for (std::size_t index = 0; index < slowCount; ++index) {
        simulation.targets[index].slowdown = slowFactor;
    }
    const auto during = simulation.run(perSecond, seconds(7));
    for (std::size_t index = 0; index < slowCount; ++index) {
        simulation.targets[index].slowdown = 1;
    }
    const auto after = simulation.run(perSecond, seconds(4));
    simulation.run(perSecond, seconds(2));
    const slowdown_result result{simulation.resultOf(before), simulation.resultOf(during), simulation.resultOf(after)};
    print(learns ? "learned, before" : "by load, before", result.before);
    print(learns ? "learned, slow" : "by load, slow", result.during);
    print(learns ? "learned, after" : "by load, after", result.after);
    return result;
}

} // namespace

// Ten of 24 targets become four times slower for 7 s. A choice by load alone sends them work that they finish late.
TEST(speed, mostRequestsAreInTimeWhileSomeTargetsAreSlow)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto byLoad = runSlowdown(false, seed);
        const auto learned = runSlowdown(true, seed);
        EXPECT_GE(shareInTime(learned.before), 0.9);
        EXPECT_GE(shareInTime(learned.during), 0.9);
        EXPECT_GE(shareInTime(learned.after), 0.9);
        EXPECT_GT(shareInTime(learned.during), shareInTime(byLoad.during));
    }
}

// A fifth of the targets is three times slower for 400 ms, then another fifth: faster than single responses show.
TEST(speed, mostRequestsAreInTimeWhileTargetsSlowDownBriefly)
{
    const auto speeds = unevenSpeeds();
    const auto perSecond = capacityOf(targetCount) * 0.6;
    for (const bool learns : {false, true}) {
        speed_simulation simulation(speeds, daemonCount, learns, 4);
        simulation.run(perSecond, seconds(3));
        std::vector<std::size_t> runs;
        for (std::size_t turn = 0; turn < 25; ++turn) {
            for (std::size_t index = 0; index < targetCount; ++index) {
                simulation.targets[index].slowdown = index % 5 == turn % 5 ? 3 : 1;
            }
            runs.push_back(simulation.run(perSecond, milliseconds(400)));
        }
        simulation.run(perSecond, seconds(2));
        speed_result sum;
        for (const auto number : runs) {
            add(sum, simulation.resultOf(number));
        }
        print(learns ? "learned, brief" : "by load, brief", sum);
        EXPECT_TRUE(!learns || shareInTime(sum) >= 0.9);
    }
}

// Half of the targets are three times slower with more than four requests in progress. Their load per slot is low
// then, so a choice by load fills them.
TEST(speed, targetsThatSlowDownBeforeTheyAreFullGetLess)
{
    const std::vector<double> speeds(targetCount, 1);
    const auto perSecond = capacityOf(targetCount * 0.75) * 0.75;
    std::map<bool, speed_result> results;
    for (const bool learns : {false, true}) {
        speed_simulation simulation(speeds, daemonCount, learns, 5);
        for (std::size_t index = 0; index < targetCount; index += 2) {
            simulation.targets[index].kneeAt = speed_simulation::slots / 2;
        }
        simulation.run(perSecond, seconds(3));
        const auto measured = simulation.run(perSecond, seconds(6));
        simulation.run(perSecond, seconds(2));
        results[learns] = simulation.resultOf(measured);
        print(learns ? "learned, knee" : "by load, knee", results[learns]);
    }
    EXPECT_GE(shareInTime(results[true]), 0.9);
    EXPECT_GT(shareInTime(results[true]), shareInTime(results[false]));
}

// A target that has just become fast must not get the requests of all daemons at once: it would be late with them.
TEST(speed, daemonsDoNotHerdOntoATargetThatHasBecomeFast)
{
    auto speeds = unevenSpeeds();
    const auto perSecond = capacityOf(targetCount) * 0.7;
    speed_simulation simulation(speeds, 24, true, 6);
    auto &changed = simulation.targets[slowCount];
    changed.speed = 1.5;
    changed.slowdown = slowFactor;
    simulation.run(perSecond, seconds(4));
    changed.slowdown = 1;
    changed.busyMs = 0;
    changed.arrivals.clear();
    std::size_t most = 0;
    std::vector<double> used;
    std::vector<std::size_t> runs;
    for (std::size_t step = 0; step < 80; ++step) {
        runs.push_back(simulation.run(perSecond, milliseconds(50)));
        most = std::max(most, changed.running.size() + changed.admission.queue.size());
        if (step % 20 == 19) {
            used.push_back(std::exchange(changed.busyMs, 0) / (1.5 * speed_simulation::slots * 1000));
            std::cout << "figure herd: used " << used.back() << "\n";
        }
    }
    simulation.run(perSecond, seconds(2));
    speed_result sum;
    for (const auto number : runs) {
        add(sum, simulation.resultOf(number));
    }
    std::uint32_t mostArrivals = 0;
    for (const auto &[interval, count] : changed.arrivals) {
        mostArrivals = std::max(mostArrivals, count);
    }
    print("learned, herd", sum);
    std::cout << "figure herd: most held " << most << ", most arrivals in 20 ms " << mostArrivals << "\n";
    EXPECT_GE(shareInTime(sum), 0.95);
    EXPECT_LE(mostArrivals, speed_simulation::slots) << "in 20 ms, less than a request takes";
    // Five random candidates of 24 send it at most five times its share of the load, until the first response shows how
    // many requests it holds: about 136 a second more than it serves, for 0.12 s.
    EXPECT_LE(most, 3 * speed_simulation::slots);
    EXPECT_GE(used.at(2), 0.5) << "in the third second, the regained speed is used";
}

// An expectation that follows slowly refuses requests long after a target has recovered, and admits late ones before.
TEST(speed, estimateFollowsAChangeWithinTwoSecondsInBothDirections)
{
    speed_estimate estimate;
    estimate.enabled = true;
    steady_time now{std::chrono::hours(1)};
    std::uint64_t id = 0;
    const auto respond = [&](milliseconds service, int count) {
        for (int response = 0; response < count; ++response) {
            now += milliseconds(50);
            const bool urgent = ++id % 4 != 0;
            learnService(estimate, {urgent}, urgent ? service : service * 5, now);
        }
    };
    respond(milliseconds(40), 200);
    EXPECT_NEAR(learnedServiceMs(estimate, true), 40, 2);
    EXPECT_NEAR(learnedServiceMs(estimate, false), 200, 10);
    respond(milliseconds(160), 30);
    EXPECT_NEAR(learnedServiceMs(estimate, true), 160, 24) << "1.5 s after the slowdown";
    EXPECT_NEAR(learnedServiceMs(estimate, false), 800, 120);
    EXPECT_NEAR(learnedSpeed(estimate), 0.25, 0.1);
    respond(milliseconds(40), 30);
    EXPECT_NEAR(learnedServiceMs(estimate, true), 40, 6) << "1.5 s after the recovery";
    EXPECT_NEAR(learnedServiceMs(estimate, false), 200, 30);
}

// The first slow response comes only after the time that it takes; until then a daemon would keep sending.
TEST(speed, requestsInProgressShowASlowdownBeforeTheFirstSlowResponse)
{
    speed_estimate estimate;
    estimate.enabled = true;
    steady_time now{std::chrono::hours(1)};
    for (int response = 0; response < 100; ++response) {
        now += milliseconds(50);
        learnService(estimate, {true}, milliseconds(40), now);
    }
    for (std::uint64_t id = 1; id <= 4; ++id) {
        beginWork(estimate, id, {true}, now);
    }
    updateOverrun(estimate, now + milliseconds(100));
    EXPECT_GE(learnedServiceMs(estimate, true), 95);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        endWork(estimate, id);
    }
    updateOverrun(estimate, now + milliseconds(101));
    EXPECT_NEAR(learnedServiceMs(estimate, true), 40, 2);
}

// A response that was begun before a stated change has a service time of before; it must not undo the change.
TEST(speed, aStatedPaceAppliesAtOnceAndIsNotCountedTwice)
{
    speed_estimate estimate;
    estimate.enabled = true;
    steady_time now{std::chrono::hours(1)};
    for (int response = 0; response < 100; ++response) {
        now += milliseconds(50);
        learnService(estimate, {true}, milliseconds(40), now);
    }
    applyStatedLoad(estimate, {4, 0, 8, 300}, now);
    const auto statedAt = now;
    EXPECT_NEAR(learnedServiceMs(estimate, true), 120, 6);
    learnService(estimate, {true}, milliseconds(40), now + milliseconds(20));
    EXPECT_NEAR(learnedServiceMs(estimate, true), 120, 6);
    now += milliseconds(500);
    for (int response = 0; response < 20; ++response) {
        now += milliseconds(50);
        learnService(estimate, {true}, milliseconds(120), now);
    }
    EXPECT_NEAR(learnedServiceMs(estimate, true), 120, 6);
    updateOverrun(estimate, statedAt + seconds(3));
    EXPECT_NEAR(learnedServiceMs(estimate, true), 40, 2) << "the target no longer states it";
}

// Admission must expect the present speed for both kinds of requests, and placement must see it a second or two later.
// A brief slowdown must not halve the speed for placement: slots would move away and back.
TEST(speed, admissionAndPlacementFollowTheSpeedOfTheTarget)
{
    steady_time now{std::chrono::hours(1)};
    admission_state admission;
    admission.hasTarget = true;
    admission.enforceGoals = true;
    admission.speed.enabled = true;
    admission.limits.concurrency = speed_simulation::slots;
    admission.announcedAt = now - seconds(60);
    std::uint64_t id = 0;
    const auto respond = [&](double slowness, milliseconds span) {
        for (const auto until = now + span; now < until; now += milliseconds(40)) {
            admission_request request;
            request.id = ++id;
            request.rank = id % 2 == 0 ? 1 : 2;
            request.goal = request.deadline = now + seconds(9);
            const milliseconds service(std::llround((id % 2 == 0 ? 36 : 200) * slowness));
            ASSERT_TRUE(admit(admission, request, now).admitted);
            finishRequest(admission, request, true, service, now);
        }
    };
    respond(1, seconds(10));
    EXPECT_NEAR(expectedServiceMs(admission, true), 36, 4);
    EXPECT_NEAR(expectedServiceMs(admission, false), 200, 20);
    const auto usual = speedPerSlot(admission, now);
    EXPECT_NEAR(usual, 1000.0 / 118, 1.5);
    respond(4, milliseconds(1500));
    EXPECT_NEAR(expectedServiceMs(admission, true), 144, 30);
    EXPECT_NEAR(expectedServiceMs(admission, false), 800, 160);
    respond(4, seconds(1));
    EXPECT_NEAR(speedPerSlot(admission, now), usual / 4, usual / 8);
    respond(1, seconds(3));
    EXPECT_NEAR(expectedServiceMs(admission, false), 200, 30);
    EXPECT_GE(speedPerSlot(admission, now), usual * 0.8);
    respond(1, seconds(3));
    respond(3, milliseconds(300));
    EXPECT_GE(speedPerSlot(admission, now), usual * 0.5);
}

// With the switch off, nothing may be recorded: admission expects what it did before.
TEST(speed, nothingIsLearnedUnlessEnabled)
{
    const steady_time now{std::chrono::hours(1)};
    speed_estimate estimate;
    beginWork(estimate, 1, {true}, now);
    learnService(estimate, {true}, milliseconds(40), now);
    applyStatedLoad(estimate, {9, 9, 8, 400}, now);
    updateOverrun(estimate, now + seconds(1));
    EXPECT_TRUE(estimate.running.empty());
    EXPECT_EQ(learnedServiceMs(estimate, true), 0);
    EXPECT_EQ(statedLoadPerSlot(estimate, now), 0);
    EXPECT_EQ(learnedSpeed(estimate), 1);
}

// A target that fails or refuses at once would look like the fastest one and attract all requests.
TEST(speed, quickFailuresDoNotMakeATargetLookFast)
{
    steady_time now{std::chrono::hours(1)};
    admission_state admission;
    admission.hasTarget = true;
    admission.enforceGoals = true;
    admission.speed.enabled = true;
    admission.limits.concurrency = speed_simulation::slots;
    const auto respond = [&](bool failed, milliseconds service, int count) {
        for (int response = 0; response < count; ++response, now += milliseconds(40)) {
            admission_request request;
            request.id = static_cast<std::uint64_t>(response) + 1;
            request.goal = request.deadline = now + seconds(9);
            ASSERT_TRUE(admit(admission, request, now).admitted);
            request.failed = failed;
            finishRequest(admission, request, true, service, now);
        }
    };
    respond(false, milliseconds(200), 100);
    respond(true, milliseconds(1), 50);
    EXPECT_NEAR(expectedServiceMs(admission, false), 200, 10);
}

} // namespace quetzalspool::test
