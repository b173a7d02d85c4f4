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

} // namespace quetzalspool

#endif // CALLER_SERVER_H
