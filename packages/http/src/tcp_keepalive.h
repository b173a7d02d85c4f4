/** @file tcp_keepalive.h Detection of connections whose peer vanished without a reset. */
#ifndef TCP_KEEPALIVE_H
#define TCP_KEEPALIVE_H

#include "asio_type.h"

#include <netinet/tcp.h>

namespace quetzalspool {

/**
 * Makes the kernel reset a connection within about three seconds after the peer stopped acknowledging.
 * @param socket Connected socket.
 */
inline void enableKeepalive(tcp::socket &socket)
{
    using asio::detail::socket_option::integer;
    using idle_option = integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using interval_option = integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using count_option = integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using user_timeout_option = integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    constexpr int idleSeconds = 1; // Idle time before the first probe.
    constexpr int intervalSeconds = 1; // Time between probes.
    constexpr int probeCount = 2; // Unacknowledged probes that reset the connection.
    constexpr int userTimeoutMs = 2500; // Time for which sent data may stay unacknowledged.
    error_code ignored; // Without these options the timeouts of the calls detect it, later.
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(idle_option(idleSeconds), ignored);
    socket.set_option(interval_option(intervalSeconds), ignored);
    socket.set_option(count_option(probeCount), ignored);
    socket.set_option(user_timeout_option(userTimeoutMs), ignored);
}

} // namespace quetzalspool

#endif // TCP_KEEPALIVE_H
