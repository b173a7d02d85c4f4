/** @file tcp_keepalive.h Noticing connections whose other end fell silent without a reset. */
#ifndef TCP_KEEPALIVE_H
#define TCP_KEEPALIVE_H

#include "asio_type.h"

#include <netinet/tcp.h>

namespace quetzalspool {

/**
 * Makes the system break a connection whose other end acknowledges nothing, within some three seconds.
 * @param socket Connected socket.
 */
inline void enableKeepalive(tcp::socket &socket)
{
    using asio::detail::socket_option::integer;
    using idle_option = integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using interval_option = integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using count_option = integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using user_timeout_option = integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    constexpr int idleSeconds = 1; // Quiet time before the first probe.
    constexpr int intervalSeconds = 1; // Between two probes.
    constexpr int probeCount = 2; // Unanswered probes that break the connection.
    constexpr int userTimeoutMs = 2500; // Sent data may stay unacknowledged for this long.
    error_code ignored; // A system without these options notices later, by the time-outs of the calls.
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(idle_option(idleSeconds), ignored);
    socket.set_option(interval_option(intervalSeconds), ignored);
    socket.set_option(count_option(probeCount), ignored);
    socket.set_option(user_timeout_option(userTimeoutMs), ignored);
}

} // namespace quetzalspool

#endif // TCP_KEEPALIVE_H
