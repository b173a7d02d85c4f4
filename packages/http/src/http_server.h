/** @file http_server.h A small HTTP server for whole requests and replies. */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "asio_type.h"
#include "http_type.h"

#include <functional>

namespace quetzalspool {

/** Takes the next part of a streamed reply; returns false once the client is gone. */
using chunk_writer = std::function<asio::awaitable<bool>(std::string)>;

/** Answers one request. */
using http_handler = std::function<asio::awaitable<http_response>(http_request)>;

/** Answers a request part by part, if the path is one that streams; returns false if it is not. */
using http_stream_handler = std::function<asio::awaitable<bool>(const http_request &, chunk_writer)>;

/** Limits and behaviour of a server. */
struct http_server_options
{
    std::uint32_t headerLimit = 8192; ///< Bytes of all headers.
    std::uint64_t bodyLimit = 4194304; ///< Bytes of a body.
    milliseconds idleTimeout{60000}; ///< A connection without a request is closed after this long.
    http_stream_handler streamHandler; ///< Answers streamed paths; may be empty.
};

/**
 * Binds a listening socket.
 * @param context Where it runs.
 * @param at Address and port; port 0 takes a free one.
 * @param why Receives the reason if it can't be bound.
 * @return The acceptor, or nothing.
 */
std::optional<tcp::acceptor> listenOn(asio::io_context &context, const endpoint &at, last_reason &why);

/**
 * Accepts connections and answers their requests until the acceptor is closed.
 * @param acceptor Listening socket.
 * @param handler Answers requests.
 * @param options Limits.
 * @return An awaitable.
 */
asio::awaitable<void> serveHttp(std::shared_ptr<tcp::acceptor> acceptor, http_handler handler,
                                http_server_options options);

} // namespace quetzalspool

#endif // HTTP_SERVER_H
