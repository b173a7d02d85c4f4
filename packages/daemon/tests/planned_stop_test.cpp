/** @file planned_stop_test.cpp The last phase of a planned stop: what was taken is answered, the rest is never read. */
#include "planned_stop.h"

#include <gtest/gtest.h>

namespace quetzalspool::test {

TEST(plannedStop, aRequestTakenAfterTheLastCheckForRequestsIsAnswered)
{
    manual_stop stop;
    manual_caller caller(stop.daemon.callers());
    stop.serveOne(caller, "/first");
    stop.startDrain();
    stop.runUntilTime(true, beforeIdleEnd);
    stop.target.holds = true;
    caller.send(requestText("/late"));
    ASSERT_TRUE(stop.runUntil(false, [&] { return stop.target.executedCount("/late") == 1; }));
    stop.runUntilTime(false, afterIdleEnd);
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    EXPECT_FALSE(stop.daemon.drained) << "a request is at the target";
    stop.target.holds = false;
    stop.finishDrain({&caller});
    EXPECT_EQ(caller.responses(), 2U) << caller.received;
}

TEST(plannedStop, aRequestThatHasBegunToArriveIsAnswered)
{
    manual_stop stop;
    manual_caller caller(stop.daemon.callers());
    stop.serveOne(caller, "/first");
    stop.startDrain();
    stop.runUntilTime(true, beforeIdleEnd);
    const auto text = requestText("/split");
    caller.send(text.substr(0, 10));
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    EXPECT_FALSE(stop.daemon.drained) << "a part of a request was read";
    caller.send(text.substr(10));
    stop.finishDrain({&caller});
    EXPECT_EQ(caller.responses(), 2U) << caller.received;
    EXPECT_EQ(stop.target.executedCount("/split"), 1U);
}

TEST(plannedStop, idleConnectionsAreClosedBeforeTheEndAndNoLaterRequestIsExecuted)
{
    manual_stop stop;
    manual_caller idle(stop.daemon.callers());
    manual_caller fresh(stop.daemon.callers());
    manual_caller busy(stop.daemon.callers());
    stop.serveOne(idle, "/first");
    stop.serveOne(busy, "/second");
    stop.startDrain();
    stop.runUntilTime(true, beforeIdleEnd);
    stop.target.holds = true;
    busy.send(requestText("/busy"));
    ASSERT_TRUE(stop.runUntil(false, [&] { return stop.target.executedCount("/busy") == 1; }));
    stop.runUntilTime(false, afterIdleEnd);
    EXPECT_TRUE(stop.runUntil(
        true,
        [&] {
            idle.receive();
            fresh.receive();
            return idle.ended && fresh.ended;
        },
        seconds(1)))
        << "connections without a request stay open";
    idle.send(requestText("/later"));
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    stop.target.holds = false;
    stop.finishDrain({&idle, &busy});
    EXPECT_EQ(idle.responses(), 1U);
    EXPECT_EQ(stop.target.executedCount("/later"), 0U);
    EXPECT_EQ(busy.responses(), 2U) << busy.received;
}

TEST(plannedStop, aRequestThatArrivesAsIdleConnectionsAreClosedIsAnsweredOrNeverExecuted)
{
    manual_stop stop;
    manual_caller caller(stop.daemon.callers());
    stop.serveOne(caller, "/first");
    stop.startDrain();
    stop.runUntilTime(true, beforeIdleEnd);
    // Its bytes are on the socket, but the traffic thread does not run before the drain goes on.
    std::this_thread::sleep_until(clock::forTimers(stop.startedAt + afterIdleEnd));
    caller.send(requestText("/crossing"));
    stop.finishDrain({&caller});
    EXPECT_EQ(caller.responses(), 1 + stop.target.executedCount("/crossing")) << caller.received;
}

TEST(plannedStop, aRequestPipelinedBehindTheLastOneIsAnsweredOrNeverExecuted)
{
    for (const bool beforeTheStop : {true, false}) {
        manual_stop stop;
        manual_caller caller(stop.daemon.callers());
        stop.serveOne(caller, "/first");
        const auto begin = [&] {
            stop.target.holds = true;
            caller.send(requestText("/front") + requestText("/behind"));
            EXPECT_TRUE(stop.runUntil(false, [&] { return stop.target.executedCount("/front") == 1; }));
        };
        if (beforeTheStop) {
            begin();
        }
        stop.startDrain();
        stop.runUntilTime(true, beforeIdleEnd);
        if (!beforeTheStop) {
            begin();
        }
        stop.runUntilTime(true, afterIdleEnd);
        stop.target.holds = false;
        stop.finishDrain({&caller});
        EXPECT_EQ(caller.responses(), 2 + stop.target.executedCount("/behind")) << caller.received;
    }
}

TEST(plannedStop, aConnectionWhoseAcceptCompletesAsTheListenersCloseIsServed)
{
    manual_stop stop;
    manual_caller caller(stop.daemon.callers());
    caller.send(requestText("/accepted"));
    stop.startDrain();
    stop.control.poll(); // Posts the closing of the listeners; the traffic thread has not accepted the connection yet.
    stop.finishDrain({&caller});
    EXPECT_EQ(caller.responses(), stop.target.executedCount("/accepted")) << caller.received;
    EXPECT_TRUE(caller.ended);
}

TEST(plannedStop, aResponseThatAnotherDaemonHasNotReadYetIsWrittenToItsEnd)
{
    manual_stop stop;
    stop.target.body.assign(80000, 'b'); // More than may be in flight to a daemon that reads nothing.
    manual_peer peer;
    peer.start(stop.daemon.peers(), peerAttempt("/large", ""));
    EXPECT_TRUE(stop.runUntil(true, [&] {
        if (stop.target.executedCount("/large") == 0) {
            peer.context.poll();
        }
        return stop.target.executedCount("/large") == 1 && stop.daemon.shared.requestsInFlight == 0;
    }));
    stop.startDrain();
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    EXPECT_FALSE(stop.daemon.drained) << "a part of a response was not written";
    EXPECT_TRUE(stop.runUntil(true, [&] {
        peer.context.poll();
        return stop.daemon.drained;
    }));
    peer.context.run_for(seconds(1));
    ASSERT_TRUE(peer.response.has_value());
    EXPECT_EQ(peer.response->body, stop.target.body);
}

TEST(plannedStop, aRequestOfAnotherDaemonWhoseBodyIsStillArrivingIsAnswered)
{
    constexpr std::size_t bodyBytes = 4000000; // Many flow-control windows.
    manual_stop stop;
    manual_peer peer;
    peer.start(stop.daemon.peers(), peerAttempt("/body", std::string(bodyBytes, 'b')));
    for (int turn = 0; turn < 10; ++turn) {
        peer.context.poll();
        stop.runAll();
    }
    stop.startDrain();
    stop.runUntilTime(true, afterIdleEnd + milliseconds(100));
    EXPECT_FALSE(stop.daemon.drained) << "a part of a request was read";
    EXPECT_EQ(stop.target.executedCount("/body"), 0U);
    EXPECT_TRUE(stop.runUntil(true, [&] {
        peer.context.poll();
        return stop.daemon.drained;
    }));
    peer.context.run_for(seconds(1));
    EXPECT_EQ(stop.target.executedCount("/body"), 1U);
    ASSERT_TRUE(peer.response.has_value());
    EXPECT_EQ(peer.response->body, stop.target.body);
}

} // namespace quetzalspool::test
