/** @file load_test.cpp Loads played against admission, and what callers get of it. */
#include "admission_func.h"

#include <gtest/gtest.h>
#include <map>
#include <random>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

/** One kind of request of a load. */
struct load_kind
{
    request_class kind = request_class::lookup; ///< Class.
    std::uint32_t rank = 2; ///< Urgency.
    double perSecond = 0; ///< Arrivals a second.
    milliseconds work{160}; ///< Mean time of work.
    milliseconds goal{500}; ///< An answer is worth less after it.
    milliseconds deadline{1200}; ///< The caller no longer waits after it.
    milliseconds transfer{0}; ///< How long its answer is passed on after it was made.
    bool sharesLink = false; ///< Whether answers are passed on one after the other.
    bool returns = false; ///< Whether callers that are refused come back once.
};

/** What became of the requests of one kind. */
struct load_result
{
    int asked = 0; ///< Requests.
    int inGoal = 0; ///< Answered in time.
    int late = 0; ///< Answered, but late.
    int heldAndRefused = 0; ///< Refused only after they had waited for a fifth of their goal.
    int refusedAgain = 0; ///< Refused after they had come back.
};

/** A target with some slots behind admission; time passes in steps. */
class load_world
{
public:
    explicit load_world(std::uint32_t slots)
    {
        gate.hasTarget = true;
        gate.goalBound = true;
        gate.limits.concurrency = slots;
        gate.limits.queue = 32;
        gate.serviceMs = 160;
        gate.announcedAt = now - seconds(60);
    }

    /** Plays a load for a while and gives what callers got, by rank. */
    std::map<std::uint32_t, load_result> play(const std::vector<load_kind> &kinds, seconds span)
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
            for (; !returning.empty() && returning.begin()->first <= now; returning.erase(returning.begin())) {
                ask(returning.begin()->second);
            }
            takeDecided();
        }
        return results;
    }

private:
    struct open_request
    {
        admission_request request;
        load_kind kind;
        steady_time arrivedAt{};
        steady_time startedAt{};
        steady_time madeAt{};
        steady_time endsAt{};
        bool back = false;
    };

    void arrive(const load_kind &kind)
    {
        admission_request request;
        request.kind = kind.kind;
        request.rank = kind.rank;
        request.deadline = now + kind.deadline;
        request.goal = now + kind.goal;
        ++results[kind.rank].asked;
        ask({request, kind, now, {}, {}, {}});
    }

    void ask(open_request open)
    {
        open.request.id = ++lastId;
        const auto verdict = admit(gate, open.request, now);
        if (verdict.admitted) {
            begin(open);
        } else if (verdict.queued) {
            waiting[open.request.id] = open;
        } else {
            turnAway(open, verdict.retryAfter);
        }
    }

    /** A caller comes back once, and waits no longer for that than a third of the time that it has. */
    void turnAway(open_request open, milliseconds retryAfter)
    {
        results[open.kind.rank].refusedAgain += open.back ? 1 : 0;
        const auto left = std::chrono::duration_cast<milliseconds>(open.request.deadline - now);
        if (open.kind.returns && !std::exchange(open.back, true)) {
            returning.emplace(now + std::min(retryAfter, left / 3), open);
        }
    }

    void begin(open_request open)
    {
        const auto mean = static_cast<double>(open.kind.work.count());
        const auto work = std::lognormal_distribution<>(std::log(mean) - 0.045, 0.3)(random);
        open.startedAt = now;
        open.madeAt = now + milliseconds(std::llround(work));
        open.endsAt = open.madeAt + std::max(open.kind.transfer, milliseconds(open.kind.sharesLink ? 1 : 0));
        running.push_back(open);
    }

    void finishDue()
    {
        for (auto &open : running) {
            if (open.madeAt <= now && open.endsAt > now && !open.request.passing) {
                notePassing(gate, open.request, std::chrono::duration_cast<milliseconds>(now - open.startedAt), now);
                if (open.kind.sharesLink) {
                    linkFreeAt = std::max(linkFreeAt, now) + open.kind.transfer;
                    open.endsAt = linkFreeAt;
                }
            }
        }
        std::erase_if(running, [&](const auto &open) {
            if (open.endsAt > now) {
                return false;
            }
            auto &result = results[open.kind.rank];
            ++(now <= open.request.goal ? result.inGoal : result.late);
            finish(gate, open.request, true, std::chrono::duration_cast<milliseconds>(open.endsAt - open.startedAt),
                   now);
            return true;
        });
    }

    void takeDecided()
    {
        for (const auto &decided : advanceQueue(gate, now)) {
            const auto found = waiting.find(decided.id);
            if (decided.verdict.admitted) {
                begin(found->second);
            } else {
                const bool held = now - found->second.arrivedAt > found->second.kind.goal / 5;
                results[found->second.kind.rank].heldAndRefused += held ? 1 : 0;
                turnAway(found->second, decided.verdict.retryAfter);
            }
            waiting.erase(found);
        }
    }

    admission_state gate;
    steady_time now{std::chrono::hours(1)};
    steady_time linkFreeAt{};
    std::mt19937_64 random{7};
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, open_request> waiting;
    std::vector<open_request> running;
    std::multimap<steady_time, open_request> returning;
    std::map<std::uint32_t, load_result> results;
};

void print(const std::map<std::uint32_t, load_result> &results)
{
    for (const auto &[rank, result] : results) {
        std::cout << "figure rank " << rank << ": asked " << result.asked << ", in goal " << result.inGoal << ", late "
                  << result.late << ", held and refused " << result.heldAndRefused << ", refused again "
                  << result.refusedAgain << "\n";
    }
}

} // namespace

// Answers the load of a target that is asked for twice what it can do, a third of it by orders that go first: whoever
// is let into the queue is answered in time, the others are told at once.
TEST(load, lookupsBesideManyOrdersAreAnsweredInTimeOrRefusedAtOnce)
{
    load_world world(9);
    const auto results =
        world.play({{request_class::lookup, 2, 75, milliseconds(160), milliseconds(500), milliseconds(1200)},
                    {request_class::order, 1, 30, milliseconds(210), milliseconds(600), milliseconds(1500)}},
                   seconds(60));
    print(results);
    const auto &lookups = results.at(2);
    const auto &orders = results.at(1);
    EXPECT_GT(orders.inGoal, orders.asked * 95 / 100);
    EXPECT_LT(lookups.late, (lookups.late + lookups.inGoal) / 5) << "few are late";
    EXPECT_GT(lookups.inGoal, 60 * 12) << "what the orders leave of the target is used";
    EXPECT_LT(lookups.heldAndRefused, lookups.asked / 20) << "few wait for nothing";
}

// Answers the load of a target that is asked by callers for long work, and by other targets for short calls within
// theirs: a call that is refused wastes the work around it, and long work that is let in is not answered late.
TEST(load, shortCallsBesideLongWorkGetThrough)
{
    load_world world(12);
    const auto results =
        world.play({{request_class::lookup, 2, 21, milliseconds(550), milliseconds(1500), milliseconds(10000)},
                    {request_class::lookup, 1, 97, milliseconds(55), milliseconds(200), milliseconds(600)}},
                   seconds(60));
    print(results);
    const auto &sheets = results.at(2);
    const auto &calls = results.at(1);
    EXPECT_GT(calls.inGoal + calls.late, calls.asked * 95 / 100);
    EXPECT_GT(calls.inGoal, calls.asked * 9 / 10);
    EXPECT_LT(sheets.late, (sheets.late + sheets.inGoal) / 5);
    EXPECT_GT(sheets.inGoal, 60 * 9) << "what the calls leave of the target is used";
}

// Answers the load of a target that is asked for large files by callers on slow links, and by other targets for short
// calls within theirs: a file that is still passed on keeps the target from nothing.
TEST(load, shortCallsBesideSlowDownloadsGetThrough)
{
    load_world world(6);
    load_kind file{request_class::lookup, 2, 12, milliseconds(110), milliseconds(800), milliseconds(2000)};
    file.transfer = milliseconds(600);
    const auto results = world.play(
        {file, {request_class::lookup, 1, 45, milliseconds(35), milliseconds(150), milliseconds(400)}}, seconds(60));
    print(results);
    const auto &files = results.at(2);
    const auto &calls = results.at(1);
    EXPECT_GT(calls.inGoal, calls.asked * 99 / 100);
    EXPECT_GT(files.inGoal + files.late, 60 * 4) << "files are passed on all the while";
}

// Answers no load at all: who is late already gets an idle target all the same.
TEST(load, aCallerThatIsLateAlreadyGetsAFreeSlot)
{
    const steady_time now{std::chrono::hours(1)};
    admission_state gate;
    gate.hasTarget = true;
    gate.goalBound = true;
    gate.limits.concurrency = 2;
    gate.announcedAt = now - seconds(60);
    gate.serviceMs = 160;
    gate.usualServiceMs = 160;
    admission_request request;
    request.goal = now - milliseconds(200);
    request.deadline = now + milliseconds(250);
    EXPECT_TRUE(admit(gate, request, now).admitted);
}

// Answers the load of a target that is asked for large files, more than its instance's link carries, beside short
// calls: files that are let in pass in time, and the link is used.
TEST(load, filesThatShareALinkPassInTimeOrAreRefusedAtOnce)
{
    load_world world(6);
    load_kind file{request_class::lookup, 2, 17, milliseconds(130), milliseconds(800), milliseconds(2000)};
    file.transfer = milliseconds(72);
    file.sharesLink = true;
    file.returns = true;
    const auto results = world.play(
        {file, {request_class::lookup, 1, 85, milliseconds(40), milliseconds(150), milliseconds(400)}}, seconds(60));
    print(results);
    const auto &files = results.at(2);
    const auto &calls = results.at(1);
    const double carried = 60 / 0.072;
    EXPECT_GT(calls.inGoal, calls.asked * 95 / 100);
    EXPECT_GT(files.inGoal, carried * 0.7);
    EXPECT_LT(files.late, files.inGoal / 10);
    EXPECT_LT(files.heldAndRefused, files.asked / 20);
}

// Answers the load of a target that is asked for a fifth more than it can do, by callers that come back when they are
// refused: what it can do goes to callers that can still be answered in time.
TEST(load, callersThatComeBackKeepNoOneElseFromBeingInTime)
{
    for (const double perSecond : {34.0, 45.0, 75.0}) {
        load_world world(6);
        load_kind lookup{request_class::lookup, 2, perSecond, milliseconds(160), milliseconds(500), milliseconds(1200)};
        lookup.returns = true;
        const auto results = world.play({lookup}, seconds(60));
        print(results);
        const auto &lookups = results.at(2);
        const double possible = std::min<double>(lookups.asked, 60 * 6 / 0.160);
        EXPECT_GT(lookups.inGoal, possible * 0.8) << perSecond;
        EXPECT_GT(lookups.inGoal + lookups.late, possible * 0.9) << perSecond;
    }
}

} // namespace quetzalspool::test
