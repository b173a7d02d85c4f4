/** @file http_client.h HTTP client with persistent connections. */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "asio_type.h"
#include "http_type.h"
#include "sent_bytes.h"

#include <functional>
#include <memory>

namespace quetzalspool {

/** Idle persistent connections of one thread, by server. */
struct http_connection_pool;

/**
 * Makes an empty connection pool. It must end before the io_context in which its requests run.
 * @param sent Counts the bytes sent on its connections; null for none.
 * @return The pool.
 */
std::shared_ptr<http_connection_pool> makeHttpConnectionPool(byte_counter sent = nullptr);

/**
 * Sends a request and reads the whole response.
 * @param pool Connection pool.
 * @param to Server.
 * @param request Request; passed by value, since it must outlive the coroutine.
 * @param timeout Time limit for connecting, and again for sending and reading.
 * @param why Receives the reason if there is no response.
 * @return The response, or nothing; then the server may or may not have executed the request.
 */
asio::awaitable<std::optional<http_response>> sendRequest(std::shared_ptr<http_connection_pool> pool, endpoint to,
                                                          http_request request, milliseconds timeout, last_reason &why);

/**
 * Sends a request and passes each chunk of the response body to a callback until the server ends the response.
 * @param to Server.
 * @param request Request.
 * @param idleTimeout Longest wait for the next chunk.
 * @param onChunk Called with each chunk; returning false closes the connection.
 * @param why Receives the reason why the response ended, unless onChunk ended it.
 * @param sent Counts the bytes sent; null for none.
 * @return An awaitable.
 */
asio::awaitable<void> streamResponse(endpoint to, http_request request, milliseconds idleTimeout,
                                     std::function<bool(std::string_view)> onChunk, last_reason &why,
                                     byte_counter sent = nullptr);

} // namespace quetzalspool

#endif // HTTP_CLIENT_H
