/** @file datagrams.h UDP socket for datagrams between daemons. */
#ifndef DATAGRAMS_H
#define DATAGRAMS_H

#include "asio_type.h"
#include "settings_type.h"

#include <functional>
#include <span>

namespace quetzalspool {

/** Handles one datagram and its sender; must not block. */
using datagram_handler = std::function<void(std::string_view bytes, const udp::endpoint &from)>;

/**
 * Binds the socket for datagrams between daemons.
 * @param socket Socket, not yet open.
 * @param settings Settings, which give the address and the port.
 * @param why Receives the reason if it can't be bound.
 * @return Whether it is bound.
 */
bool bindDatagrams(udp::socket &socket, const daemon_settings &settings, last_reason &why);

/**
 * Receives datagrams until the socket is closed. Errors of single receives are logged and do not end the loop.
 * @param socket Bound socket.
 * @param buffer Receive buffer; longer datagrams are truncated.
 * @param handler Called for each datagram.
 * @return An awaitable.
 * @pre The socket and the buffer outlive the awaitable.
 */
asio::awaitable<void> receiveDatagrams(udp::socket &socket, std::span<char> buffer, datagram_handler handler);

} // namespace quetzalspool

#endif // DATAGRAMS_H
