/** @file traffic_start.h Start and stop of the traffic threads. */
#ifndef TRAFFIC_START_H
#define TRAFFIC_START_H

#include "traffic_base.h"

#include <thread>

namespace quetzalspool {

/** The traffic threads and their state. */
struct traffic_threads
{
    std::vector<std::unique_ptr<traffic_thread>> states; ///< State of each thread.
    std::vector<std::thread> threads; ///< The threads, once started.
};

/**
 * Creates the state of all traffic threads and binds their listening sockets.
 * @param shared Shared state with its settings and names set.
 * @param traffic Receives the threads' states.
 * @param why Receives the reason if a socket can't be bound.
 * @return Whether all sockets are bound.
 */
bool prepareTraffic(daemon_shared &shared, traffic_threads &traffic, last_reason &why);

/**
 * Starts the threads.
 * @param traffic Threads.
 */
void runTraffic(traffic_threads &traffic);

/**
 * Generates the incarnation id of this process and sets empty views.
 * @param shared Shared state with its settings set.
 */
void initSharedState(daemon_shared &shared);

/**
 * Describes this daemon as in records: names, incarnation, addresses.
 * @param shared Shared state.
 * @return The member, without a target.
 */
cell_member describeSelf(const daemon_shared &shared);

/**
 * The last phase of a planned stop: closes the listening sockets, waits until no request has been in progress for a
 * short time, and closes the connections of callers. Requests that have begun to arrive by then are answered first.
 * @param shared Shared state, with the latest deadline of a request in this stop; responses are written a little
 * longer.
 * @param traffic Threads.
 * @return An awaitable that completes when the threads may be stopped.
 */
asio::awaitable<void> drainTraffic(daemon_shared &shared, traffic_threads &traffic);

/**
 * Stops and joins the threads.
 * @param traffic Threads.
 */
void stopTraffic(traffic_threads &traffic);

} // namespace quetzalspool

#endif // TRAFFIC_START_H
