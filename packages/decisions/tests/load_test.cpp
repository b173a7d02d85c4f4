/** @file load_test.cpp Simulated loads on admission control, and the results for callers. */
#include "admission_func.h"

#include <gtest/gtest.h>
#include <map>
#include <random>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

/** A kind of request in a load. */
struct load_kind
{
    request_class kind = request_class::lookup; ///< Class.
    std::uint32_t rank = 2; ///< Rank.
    double perSecond = 0; ///< Arrivals a second.
    milliseconds work{160}; ///< Mean service time.
    milliseconds goal{500}; ///< Time from arrival in which the response should be there.
    milliseconds deadline{1200}; ///< Time from arrival after which the caller no longer waits.
    milliseconds transfer{0}; ///< Transfer time of the response.
    bool sharesLink = false; ///< Whether responses are transferred one after the other.
    bool retries = false; ///< Whether refused callers retry once.
};

/** Results of the requests of one rank. */
struct load_result
{
    int requests = 0; ///< Requests that arrived.
    int withinGoal = 0; ///< Responses within the goal.
    int late = 0; ///< Responses after the goal.
    int refusedAfterWait = 0; ///< Refused after more than a fifth of their goal in the queue.
    int refusedTwice = 0; ///< Refused again after a retry.
};

/** A target behind admission control, under simulated time in steps of 1 ms. */
class load_simulation
{
public:
    explicit load_simulation(std::uint32_t slots)
    {
        admission.hasTarget = true;
        admission.enforceGoals = true;
        admission.limits.concurrency = slots;
        admission.limits.queue = 32;
        admission.serviceMs = 160;
        admission.announcedAt = now - seconds(60);
    }

    /** Makes the target name a rate limit in its responses from now on. */
    void setRateLimit(double perSecond)
    {
        applyNotice(admission, {limit_statement::named, perSecond, false, true}, now, now);
    }

    /** Runs a load for the given time and returns the results by rank. */
    std::map<std::uint32_t, load_result> run(const std::vector<load_kind> &kinds, seconds span)
    {
        const auto until = now + span;
        while (now < until) {
            now += milliseconds(1);
            finishDue();
            for (const auto &kind : kinds) {
                if (std::bernoulli_distribution(kind.perSecond / 1000)(random)) {
                    arrive(kind);
                }
            }
            for (; !pendingRetries.empty() && pendingRetries.begin()->first <= now;
                 pendingRetries.erase(pendingRetries.begin())) {
                submit(pendingRetries.begin()->second);
            }
            applyDecisions();
        }
        return results;
    }

private:
    struct simulated_request
    {
        admission_request request;
        load_kind kind;
        steady_time arrivedAt{};
        steady_time startedAt{};
        steady_time respondedAt{};
        steady_time endsAt{};
        bool retried = false;
    };

    void arrive(const load_kind &kind)
    {
        admission_request request;
        request.kind = kind.kind;
        request.rank = kind.rank;
        request.deadline = now + kind.deadline;
        request.goal = now + kind.goal;
        ++results[kind.rank].requests;
        submit({request, kind, now, {}, {}, {}});
    }

    void submit(simulated_request simulated)
    {
        simulated.request.id = ++lastId;
        const auto result = admit(admission, simulated.request, now);
        if (result.admitted) {
            begin(simulated);
        } else if (result.queued) {
            waiting[simulated.request.id] = simulated;
        } else {
            refuse(simulated, result.retryAfter);
        }
    }

    /** A caller retries once, after at most a third of the time until its deadline. */
    void refuse(simulated_request simulated, milliseconds retryAfter)
    {
        results[simulated.kind.rank].refusedTwice += simulated.retried ? 1 : 0;
        const auto left = std::chrono::duration_cast<milliseconds>(simulated.request.deadline - now);
        if (simulated.kind.retries && !std::exchange(simulated.retried, true)) {
            pendingRetries.emplace(now + std::min(retryAfter, left / 3), simulated);
        }
    }

    void begin(simulated_request simulated)
    {
        const auto mean = static_cast<double>(simulated.kind.work.count());
        const auto work = std::lognormal_distribution<>(std::log(mean) - 0.045, 0.3)(random);
        simulated.startedAt = now;
        simulated.respondedAt = now + milliseconds(std::llround(work));
        simulated.endsAt =
            simulated.respondedAt + std::max(simulated.kind.transfer, milliseconds(simulated.kind.sharesLink ? 1 : 0));
        running.push_back(simulated);
    }

    void finishDue()
    {
        for (auto &simulated : running) {
            if (simulated.respondedAt <= now && simulated.endsAt > now && !simulated.request.transferring) {
                beginTransfer(admission, simulated.request,
                              std::chrono::duration_cast<milliseconds>(now - simulated.startedAt), now);
                if (simulated.kind.sharesLink) {
                    linkFreeAt = std::max(linkFreeAt, now) + simulated.kind.transfer;
                    simulated.endsAt = linkFreeAt;
                }
            }
        }
        std::erase_if(running, [&](const auto &simulated) {
            if (simulated.endsAt > now) {
                return false;
            }
            auto &result = results[simulated.kind.rank];
            ++(now <= simulated.request.goal ? result.withinGoal : result.late);
            finishRequest(admission, simulated.request, true,
                          std::chrono::duration_cast<milliseconds>(simulated.endsAt - simulated.startedAt), now);
            return true;
        });
    }

    void applyDecisions()
    {
        for (const auto &decided : advanceQueue(admission, now)) {
            const auto found = waiting.find(decided.id);
            if (decided.result.admitted) {
                begin(found->second);
            } else {
                const bool held = now - found->second.arrivedAt > found->second.kind.goal / 5;
                results[found->second.kind.rank].refusedAfterWait += held ? 1 : 0;
                refuse(found->second, decided.result.retryAfter);
            }
            waiting.erase(found);
        }
    }

    admission_state admission;
    steady_time now{std::chrono::hours(1)};
    steady_time linkFreeAt{};
    std::mt19937_64 random{7};
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, simulated_request> waiting;
    std::vector<simulated_request> running;
    std::multimap<steady_time, simulated_request> pendingRetries;
    std::map<std::uint32_t, load_result> results;
};

void print(const std::map<std::uint32_t, load_result> &results)
{
    for (const auto &[rank, result] : results) {
        std::cout << "figure rank " << rank << ": asked " << result.requests << ", in goal " << result.withinGoal
                  << ", late " << result.late << ", held and refused " << result.refusedAfterWait << ", refused again "
                  << result.refusedTwice << "\n";
    }
}

} // namespace

// A target gets twice its capacity, a third of it orders, which go first. Lookups that are queued must get their
// response within the goal; the others must be refused at once.
TEST(load, lookupsBesideManyOrdersMeetTheirGoalOrAreRefusedAtOnce)
{
    load_simulation simulation(9);
    const auto results =
        simulation.run({{request_class::lookup, 2, 75, milliseconds(160), milliseconds(500), milliseconds(1200)},
                        {request_class::order, 1, 30, milliseconds(210), milliseconds(600), milliseconds(1500)}},
                       seconds(60));
    print(results);
    const auto &lookups = results.at(2);
    const auto &orders = results.at(1);
    EXPECT_GT(orders.withinGoal, orders.requests * 95 / 100);
    EXPECT_LT(lookups.late, (lookups.late + lookups.withinGoal) / 5) << "few are late";
    EXPECT_GT(lookups.withinGoal, 60 * 12) << "lookups use the capacity that orders leave";
    EXPECT_LT(lookups.refusedAfterWait, lookups.requests / 20) << "few are refused only after waiting";
}

// A target gets long requests from callers, and short calls that other targets make within their requests. A refused
// call wastes the work of the request around it, so calls must succeed; long requests that are admitted must not be
// late.
TEST(load, shortCallsBesideLongRequestsSucceed)
{
    load_simulation simulation(12);
    const auto results =
        simulation.run({{request_class::lookup, 2, 21, milliseconds(550), milliseconds(1500), milliseconds(10000)},
                        {request_class::lookup, 1, 97, milliseconds(55), milliseconds(200), milliseconds(600)}},
                       seconds(60));
    print(results);
    const auto &sheets = results.at(2);
    const auto &calls = results.at(1);
    EXPECT_GT(calls.withinGoal + calls.late, calls.requests * 95 / 100);
    EXPECT_GT(calls.withinGoal, calls.requests * 9 / 10);
    EXPECT_LT(sheets.late, (sheets.late + sheets.withinGoal) / 5);
    EXPECT_GT(sheets.withinGoal, 60 * 9) << "long requests use the capacity that calls leave";
}

// A target gets requests for large files from callers on slow links, and short calls from other targets. A file that is
// being transferred must not occupy the target's concurrency.
TEST(load, shortCallsBesideSlowDownloadsSucceed)
{
    load_simulation simulation(6);
    load_kind file{request_class::lookup, 2, 12, milliseconds(110), milliseconds(800), milliseconds(2000)};
    file.transfer = milliseconds(600);
    const auto results = simulation.run(
        {file, {request_class::lookup, 1, 45, milliseconds(35), milliseconds(150), milliseconds(400)}}, seconds(60));
    print(results);
    const auto &files = results.at(2);
    const auto &calls = results.at(1);
    EXPECT_GT(calls.withinGoal, calls.requests * 99 / 100);
    EXPECT_GT(files.withinGoal + files.late, 60 * 4) << "files are still admitted";
}

// Refusing a request only because its goal has passed would leave an idle target unused.
TEST(load, aRequestPastItsGoalUsesAnIdleSlot)
{
    const steady_time now{std::chrono::hours(1)};
    admission_state admission;
    admission.hasTarget = true;
    admission.enforceGoals = true;
    admission.limits.concurrency = 2;
    admission.announcedAt = now - seconds(60);
    admission.serviceMs = 160;
    admission.normalServiceMs = 160;
    admission_request request;
    request.goal = now - milliseconds(200);
    request.deadline = now + milliseconds(250);
    EXPECT_TRUE(admit(admission, request, now).admitted);
}

// A target gets requests for more large files than its instance's link carries, and short calls. Files that are
// admitted must be transferred within the goal, and the link must be used.
TEST(load, filesOnASharedLinkMeetTheirGoalOrAreRefusedAtOnce)
{
    load_simulation simulation(6);
    load_kind file{request_class::lookup, 2, 17, milliseconds(130), milliseconds(800), milliseconds(2000)};
    file.transfer = milliseconds(72);
    file.sharesLink = true;
    file.retries = true;
    const auto results = simulation.run(
        {file, {request_class::lookup, 1, 85, milliseconds(40), milliseconds(150), milliseconds(400)}}, seconds(60));
    print(results);
    const auto &files = results.at(2);
    const auto &calls = results.at(1);
    const double carried = 60 / 0.072;
    EXPECT_GT(calls.withinGoal, calls.requests * 95 / 100);
    EXPECT_GT(files.withinGoal, carried * 0.7);
    EXPECT_LT(files.late, files.withinGoal / 10);
    EXPECT_LT(files.refusedAfterWait, files.requests / 20);
}

// A target gets requests near, above and at twice its capacity, from callers that retry when they are refused. Its
// capacity must go to requests that can still meet their goal.
TEST(load, retriesDoNotMakeOtherRequestsMissTheirGoal)
{
    for (const double perSecond : {34.0, 45.0, 75.0}) {
        load_simulation simulation(6);
        load_kind lookup{request_class::lookup, 2, perSecond, milliseconds(160), milliseconds(500), milliseconds(1200)};
        lookup.retries = true;
        const auto results = simulation.run({lookup}, seconds(60));
        print(results);
        const auto &lookups = results.at(2);
        const double possible = std::min<double>(lookups.requests, 60 * 6 / 0.160);
        EXPECT_GT(lookups.withinGoal, possible * 0.8) << perSecond;
        EXPECT_GT(lookups.withinGoal + lookups.late, possible * 0.9) << perSecond;
    }
}

// A target is asked for twice the rate that it names, by callers that retry.
TEST(load, aRateLimitIsUsedAndTheRestIsRefusedAtOnce)
{
    for (const double limit : {4.0, 15.0, 40.0}) {
        load_simulation simulation(9);
        simulation.setRateLimit(limit);
        load_kind lookup{request_class::lookup, 2, limit * 1.5, milliseconds(160), milliseconds(500),
                         milliseconds(1200)};
        load_kind order{request_class::order, 1, limit * 0.5, milliseconds(210), milliseconds(600), milliseconds(1500)};
        lookup.retries = true;
        order.retries = true;
        const auto results = simulation.run({lookup, order}, seconds(60));
        std::cout << "figure limit " << limit << " a second:\n";
        print(results);
        const auto &lookups = results.at(2);
        const auto &orders = results.at(1);
        const auto served = lookups.withinGoal + lookups.late + orders.withinGoal + orders.late;
        EXPECT_LE(served, limit * 60 + limit + 10);
        EXPECT_GT(served, limit * 60 * 0.85) << "the limit is used";
        EXPECT_GT(orders.withinGoal + orders.late, orders.requests * 9 / 10) << "orders go first";
        EXPECT_LT(lookups.refusedAfterWait, lookups.requests / 10) << "few are refused only after waiting";
        EXPECT_LT(lookups.late, (lookups.late + lookups.withinGoal) / 4);
    }
}

} // namespace quetzalspool::test
