/** @file entry.h The end that callers talk to. */
#ifndef ENTRY_H
#define ENTRY_H

#include "traffic_base.h"

namespace quetzalspool {

/**
 * Accepts callers until the acceptor is closed.
 * @param thread Traffic thread.
 * @return An awaitable.
 */
asio::awaitable<void> acceptCallers(traffic_thread &thread);

} // namespace quetzalspool

#endif // ENTRY_H
