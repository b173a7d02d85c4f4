/** @file caller_connection.cpp Connection of a caller and the responses written to it. */
#include "caller_connection.h"

#include "elapsed_clock.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace quetzalspool {

namespace http = boost::beast::http;

namespace {

constexpr milliseconds discardTime{500}; ///< Time in which bytes are dropped after a refusal.
constexpr std::size_t discardedBytes = 1048576; ///< Most bytes dropped after a refusal.
constexpr std::size_t discardPart = 4096; ///< Bytes per read.
constexpr std::uint64_t unreadBytes = 131072; ///< Bytes that a response takes that its caller does not read.

/** Marks a connection as one whose caller has to read, while a part of a response is written. */
struct write_mark
{
    explicit write_mark(caller_connection &marked)
        : connection(marked)
    {
        connection.held = unreadBytes;
        connection.lastProgress = elapsed_clock::now();
    }
    ~write_mark()
    {
        connection.held = 0;
    }
    write_mark(const write_mark &) = delete;
    write_mark &operator=(const write_mark &) = delete;

    caller_connection &connection; ///< Connection.
};

asio::awaitable<bool> writeResponseHead(std::shared_ptr<caller_connection> connection, unsigned status,
                                        std::vector<http_header> headers, std::optional<std::uint64_t> length,
                                        steady_time deadline)
{
    http::response<http::empty_body> message;
    message.result(status);
    message.version(11);
    message.keep_alive(connection->keepAlive);
    for (const auto &[name, value] : headers) {
        message.insert(name, value);
    }
    if (!connection->names->outcome.empty()) {
        message.set(connection->names->outcome, "answered");
    }
    const bool bodiless = status == 204 || status == 304 || status < 200;
    connection->chunked = !length && !bodiless;
    if (length) {
        message.content_length(*length);
    } else if (!bodiless) {
        message.chunked(true);
    }
    connection->stream.expires_at(elapsed_clock::forTimers(deadline));
    error_code code;
    http::response_serializer<http::empty_body> serializer{message};
    co_await http::async_write_header(connection->stream, serializer, redirectError(code));
    connection->broken = connection->broken || code;
    co_return !code;
}

asio::awaitable<bool> writeBodyChunk(std::shared_ptr<caller_connection> connection, std::string chunk,
                                     steady_time deadline)
{
    if (connection->headOnly) {
        co_return true;
    }
    error_code code;
    const write_mark mark(*connection);
    connection->stream.expires_at(elapsed_clock::forTimers(deadline));
    if (connection->chunked) {
        co_await asio::async_write(connection->stream, http::make_chunk(asio::buffer(chunk)), redirectError(code));
    } else {
        co_await asio::async_write(connection->stream, asio::buffer(chunk), redirectError(code));
    }
    connection->broken = connection->broken || code;
    co_return !code;
}

} // namespace

bool isDisconnected(caller_connection &connection)
{
    error_code code;
    char byte = 0;
    auto &socket = connection.stream.socket();
    socket.non_blocking(true, code);
    const auto length = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return connection.broken || (length == 0 && code != asio::error::would_block);
}

std::shared_ptr<response_sink> makeCallerSink(const std::shared_ptr<caller_connection> &connection,
                                              steady_time deadline)
{
    auto sink = std::make_shared<response_sink>();
    sink->writeHead = [connection, deadline](unsigned status, std::vector<http_header> headers,
                                             std::optional<std::uint64_t> length) {
        return writeResponseHead(connection, status, std::move(headers), length, deadline);
    };
    sink->writeChunk = [connection, deadline](std::string chunk) {
        return writeBodyChunk(connection, std::move(chunk), deadline);
    };
    sink->finish = [connection](bool complete) { connection->broken = connection->broken || !complete; };
    sink->isCancelled = [connection] { return isDisconnected(*connection); };
    return sink;
}

asio::awaitable<void> writeLastChunk(std::shared_ptr<caller_connection> connection)
{
    if (!connection->chunked || connection->headOnly || connection->broken) {
        co_return;
    }
    error_code code;
    co_await asio::async_write(connection->stream, http::make_chunk_last(), redirectError(code));
    connection->broken = connection->broken || code;
}

asio::awaitable<void> writeResponse(std::shared_ptr<caller_connection> connection, http_response response)
{
    http::response<http::string_body> message;
    message.result(response.status);
    message.version(11);
    message.keep_alive(connection->keepAlive);
    for (const auto &[name, value] : response.headers) {
        message.insert(name, value);
    }
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (connection->headOnly) {
        message.body().clear();
    }
    connection->stream.expires_after(callerTransferTimeout);
    error_code code;
    co_await http::async_write(connection->stream, message, redirectError(code));
    connection->broken = connection->broken || code;
}

asio::awaitable<void> discardUnread(std::shared_ptr<caller_connection> connection)
{
    if (connection->broken) {
        co_return;
    }
    error_code code;
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, code);
    connection->stream.expires_after(discardTime);
    std::size_t left = discardedBytes;
    code = {};
    while (!code && left > 0) {
        connection->buffer.clear();
        const auto length = co_await connection->stream.async_read_some(
            connection->buffer.prepare(std::min(left, discardPart)), redirectError(code));
        left -= length;
    }
}

void closeConnection(caller_connection &connection)
{
    error_code ignored;
    auto &socket = connection.stream.socket();
    if (connection.broken) {
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    } else {
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    socket.close(ignored);
}

} // namespace quetzalspool
