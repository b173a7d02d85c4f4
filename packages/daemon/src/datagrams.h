/** @file datagrams.h The socket for datagrams between daemons. */
#ifndef DATAGRAMS_H
#define DATAGRAMS_H

#include "asio_type.h"
#include "settings_type.h"

#include <functional>
#include <span>

namespace quetzalspool {

/** Takes one datagram and where it came from; must not wait. */
using datagram_handler = std::function<void(std::string_view bytes, const udp::endpoint &from)>;

/**
 * Binds the socket for datagrams between daemons.
 * @param socket Socket, closed as yet.
 * @param settings Settings.
 * @param why Receives the reason if it can't be bound.
 * @return Whether it is bound.
 */
bool bindDatagrams(udp::socket &socket, const daemon_settings &settings, last_reason &why);

/**
 * Receives datagrams until the socket is closed. What can't be received is logged; the next one may be.
 * @param socket Socket, bound.
 * @param buffer Where a datagram is received; what is longer is cut.
 * @param take Called for each datagram.
 * @return An awaitable.
 * @pre Socket and buffer outlive it.
 */
asio::awaitable<void> receiveDatagrams(udp::socket &socket, std::span<char> buffer, datagram_handler handler);

} // namespace quetzalspool

#endif // DATAGRAMS_H
