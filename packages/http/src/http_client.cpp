/** @file http_client.cpp HTTP client with persistent connections. */
#include "http_client.h"

#include "http_convert.h"
#include "tcp_keepalive.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/core.hpp>
#include <limits>
#include <map>

namespace quetzalspool {

namespace beast = boost::beast;
namespace http = beast::http;

struct http_connection_pool
{
    std::map<endpoint, std::vector<std::unique_ptr<beast::tcp_stream>>> idle; ///< Idle connections by server.
    byte_counter sent; ///< Counts the bytes sent; null for none.
};

namespace {

constexpr std::size_t maxIdlePerServer = 8; ///< Most idle connections kept per server.
constexpr std::uint64_t maxResponseBytes = 64ULL * 1024 * 1024; ///< Most bytes of a buffered response body.

http::request<http::string_body> toBeast(const http_request &request, const endpoint &to)
{
    http::request<http::string_body> out;
    out.method_string(request.method);
    out.target(request.path);
    out.version(11);
    out.set(http::field::host, toString(to));
    for (const auto &[name, value] : request.headers) {
        out.set(name, value);
    }
    out.body() = request.body;
    out.prepare_payload();
    return out;
}

/** Tells whether an idle connection is still open: it has neither data nor an end of stream to read. */
bool isReusable(beast::tcp_stream &stream)
{
    error_code code;
    stream.socket().non_blocking(true, code);
    char byte = 0;
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block;
}

std::unique_ptr<beast::tcp_stream> takeIdleConnection(http_connection_pool &pool, const endpoint &to)
{
    auto &idleStreams = pool.idle[to];
    while (!idleStreams.empty()) {
        auto stream = std::move(idleStreams.back());
        idleStreams.pop_back();
        if (isReusable(*stream)) {
            return stream;
        }
    }
    return nullptr;
}

asio::awaitable<std::unique_ptr<beast::tcp_stream>> connectTo(endpoint to, milliseconds timeout, error_code &code)
{
    auto stream = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
    stream->expires_after(timeout);
    co_await stream->async_connect(toAsioEndpoint<tcp>(to), redirectError(code));
    if (!code) {
        error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
        enableKeepalive(stream->socket());
    }
    co_return stream;
}

} // namespace

std::string findHeader(const std::vector<http_header> &headers, const std::string &name)
{
    for (const auto &header : headers) {
        if (boost::algorithm::iequals(header.first, name)) {
            return header.second;
        }
    }
    return {};
}

http_response jsonResponse(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::shared_ptr<http_connection_pool> makeHttpConnectionPool(byte_counter sent)
{
    auto pool = std::make_shared<http_connection_pool>();
    pool->sent = std::move(sent);
    return pool;
}

asio::awaitable<std::optional<http_response>> sendRequest(std::shared_ptr<http_connection_pool> pool, endpoint to,
                                                          http_request request, milliseconds timeout, last_reason &why)
{
    error_code code;
    auto stream = takeIdleConnection(*pool, to);
    if (!stream) {
        stream = co_await connectTo(to, timeout, code);
        if (code) {
            co_return failed(why, "connect", toString(to), code.message());
        }
    }
    stream->expires_after(timeout);
    const auto message = toBeast(request, to);
    countBytes(pool->sent, co_await http::async_write(*stream, message, redirectError(code)));
    if (code) {
        co_return failed(why, "send " + request.path, toString(to), code.message());
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    co_await http::async_read(*stream, buffer, parser, redirectError(code));
    if (code) {
        co_return failed(why, "read the response to " + request.path, toString(to), code.message());
    }
    auto &idleStreams = pool->idle[to];
    if (parser.get().keep_alive() && idleStreams.size() < maxIdlePerServer) {
        idleStreams.push_back(std::move(stream));
    }
    auto received = parser.release();
    co_return http_response{received.result_int(), copyEndToEndHeaders(received), std::move(received.body())};
}

asio::awaitable<void> streamResponse(endpoint to, http_request request, milliseconds idleTimeout,
                                     std::function<bool(std::string_view)> onChunk, last_reason &why, byte_counter sent)
{
    error_code code;
    auto stream = co_await connectTo(to, idleTimeout, code);
    if (code) {
        failed(why, "connect", toString(to), code.message());
        co_return;
    }
    const auto message = toBeast(request, to);
    countBytes(sent, co_await http::async_write(*stream, message, redirectError(code)));
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (!code) {
        co_await http::async_read_header(*stream, buffer, parser, redirectError(code));
    }
    std::string chunk(16384, '\0');
    while (!code && !parser.is_done()) {
        stream->expires_after(idleTimeout);
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        co_await http::async_read_some(*stream, buffer, parser, redirectError(code));
        if (code == http::error::need_buffer) {
            code = {};
        }
        const auto length = chunk.size() - parser.get().body().size;
        if (!code && length > 0 && !onChunk(std::string_view(chunk.data(), length))) {
            co_return;
        }
    }
    failed(why, "read the streamed response to " + request.path, toString(to),
           code ? code.message() : "the server ended the response");
}

} // namespace quetzalspool
