/** @file http_client.h Exchanges with an HTTP server, over kept connections. */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "asio_type.h"
#include "http_type.h"

#include <functional>
#include <memory>

namespace quetzalspool {

/** Kept connections of one thread. */
struct http_connection_pool;

/**
 * Makes an empty pool.
 * @return The pool.
 */
std::shared_ptr<http_connection_pool> makeHttpConnectionPool();

/**
 * Sends a request and reads the whole reply.
 * @param pool Kept connections.
 * @param to Server.
 * @param request Request; taken by value, since it must live as long as the exchange.
 * @param timeout Bound on the whole exchange.
 * @param why Receives the reason if there is no reply.
 * @return The reply, or nothing; then the server may or may not have acted.
 */
asio::awaitable<std::optional<http_response>> sendRequest(std::shared_ptr<http_connection_pool> pool, endpoint to,
                                                          http_request request, milliseconds timeout, last_reason &why);

/**
 * Sends a request and passes on each part of the reply's body until the server ends it.
 * @param to Server.
 * @param request Request.
 * @param idleTimeout Longest wait for the next part.
 * @param onChunk Takes each part; returning false ends the exchange.
 * @param why Receives the reason for the end.
 * @return An awaitable.
 */
asio::awaitable<void> streamResponse(endpoint to, http_request request, milliseconds idleTimeout,
                                     std::function<bool(std::string_view)> onChunk, last_reason &why);

} // namespace quetzalspool

#endif // HTTP_CLIENT_H
