/** @file http_server.h A small HTTP server that buffers whole requests. */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "asio_type.h"
#include "http_type.h"

#include <functional>

namespace quetzalspool {

/** Sends the next chunk of a streamed response; returns false once the connection has failed. */
using chunk_writer = std::function<asio::awaitable<bool>(std::string)>;

/** Handles a request and returns the response. */
using http_handler = std::function<asio::awaitable<http_response>(http_request)>;

/** Streams the response if the path of the request is a streamed one; returns false otherwise. */
using http_stream_handler = std::function<asio::awaitable<bool>(const http_request &, chunk_writer)>;

/** Limits of a server and its handler of streamed paths. */
struct http_server_options
{
    std::uint32_t headerLimit = 8192; ///< Most bytes of all headers.
    std::uint64_t bodyLimit = 4194304; ///< Most bytes of a request body.
    milliseconds idleTimeout{60000}; ///< Idle connections are closed after this time.
    http_stream_handler streamHandler; ///< Handles streamed paths; may be empty.
};

/**
 * Opens a listening socket. Several threads may listen on the same port.
 * @param context Context of the acceptor.
 * @param at Address and port; port 0 selects a free one.
 * @param why Receives the reason if the socket can't be opened.
 * @return The acceptor, or nothing.
 */
std::optional<tcp::acceptor> listenOn(asio::io_context &context, const endpoint &at, last_reason &why);

/**
 * Accepts connections and serves their requests until the acceptor is closed.
 * @param acceptor Listening socket.
 * @param handler Handles requests.
 * @param options Limits and handler of streamed paths.
 * @return An awaitable.
 */
asio::awaitable<void> serveHttp(std::shared_ptr<tcp::acceptor> acceptor, http_handler handler,
                                http_server_options options);

} // namespace quetzalspool

#endif // HTTP_SERVER_H
