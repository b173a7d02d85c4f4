/** @file caller_server.h HTTP server for callers. */
#ifndef CALLER_SERVER_H
#define CALLER_SERVER_H

#include "traffic_base.h"

namespace quetzalspool {

/**
 * Accepts callers until the acceptor is closed.
 * @param thread Traffic thread.
 * @return An awaitable that completes once the acceptor is closed.
 */
asio::awaitable<void> acceptCallers(traffic_thread &thread);

/**
 * Closes the connections of callers on which no byte of a request has arrived; the others are closed after their
 * response. To be called on the thread, in a planned stop.
 * @param thread Traffic thread.
 */
void closeIdleCallers(traffic_thread &thread);

} // namespace quetzalspool

#endif // CALLER_SERVER_H
