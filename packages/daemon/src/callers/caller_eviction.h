/** @file caller_eviction.h Room for requests of callers: memory and connections, at the expense of stalled callers. */
#ifndef CALLER_EVICTION_H
#define CALLER_EVICTION_H

#include "caller_connection.h"
#include "traffic_base.h"

namespace quetzalspool {

/** Bytes charged for a connection: socket, coroutine and the buffer of a head. */
constexpr std::uint64_t connectionBytes = 8192;

/**
 * Makes room in the memory of the process, if needed by evicting callers that have made no progress for longest: one of
 * this thread, then one of each other thread while there is no room.
 * @param thread Traffic thread.
 * @param more Bytes that a request needs now.
 * @param total Bytes that the request has then taken.
 * @return Whether there is room; the bytes are not charged yet.
 */
asio::awaitable<bool> makeMemoryRoom(traffic_thread &thread, std::uint64_t more, std::uint64_t total);

/**
 * Makes room for one more connection, if needed by closing the one that was idle for longest.
 * @param thread Traffic thread.
 * @return Whether there is room.
 */
bool makeConnectionRoom(traffic_thread &thread);

} // namespace quetzalspool

#endif // CALLER_EVICTION_H
