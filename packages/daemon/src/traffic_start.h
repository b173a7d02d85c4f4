/** @file traffic_start.h Starting and stopping the threads that carry requests. */
#ifndef TRAFFIC_START_H
#define TRAFFIC_START_H

#include "traffic_base.h"

#include <thread>

namespace quetzalspool {

/** The threads that carry requests. */
struct traffic_threads
{
    std::vector<std::unique_ptr<traffic_thread>> states; ///< What each owns.
    std::vector<std::thread> threads; ///< The threads, once they run.
};

/**
 * Binds the listening sockets of all traffic threads.
 * @param shared Shared state with its settings and names set.
 * @param traffic Receives the threads' states.
 * @param why Receives the reason if something can't be bound.
 * @return Whether all are bound.
 */
bool prepareTraffic(daemon_shared &shared, traffic_threads &traffic, last_reason &why);

/**
 * Runs the threads.
 * @param traffic Threads.
 */
void runTraffic(traffic_threads &traffic);

/**
 * Closes the listening sockets, each on its own thread. Requests under way go on.
 * @param traffic Threads.
 */
void closeListeners(traffic_threads &traffic);

/**
 * Draws this run's number and puts empty views in place.
 * @param shared Shared state with its settings set.
 */
void initSharedState(daemon_shared &shared);

/**
 * Lists this daemon as it stands in records: names, run, addresses.
 * @param shared Shared state.
 * @return The member, without a target.
 */
cell_member describeSelf(const daemon_shared &shared);

/**
 * Waits until no request has been under way for a moment, then logs the end.
 * @param shared Shared state.
 * @param limit Latest moment.
 * @return An awaitable.
 */
asio::awaitable<void> awaitIdle(daemon_shared &shared, steady_time limit);

/**
 * Ends the threads.
 * @param traffic Threads.
 */
void stopTraffic(traffic_threads &traffic);

} // namespace quetzalspool

#endif // TRAFFIC_START_H
