/** @file http_server.cpp A small HTTP server that buffers whole requests. */
#include "http_server.h"

#include "http_convert.h"

#include <boost/beast/core.hpp>

namespace quetzalspool {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr int listenBacklog = 512; ///< Most connections that wait to be accepted.

http::response<http::string_body> toBeast(http_response response, bool keepAlive)
{
    http::response<http::string_body> out;
    out.result(response.status);
    out.version(11);
    out.keep_alive(keepAlive);
    for (const auto &[name, value] : response.headers) {
        out.insert(name, value);
    }
    out.body() = std::move(response.body);
    out.prepare_payload();
    return out;
}

unsigned statusOf(const error_code &code)
{
    if (code == http::error::header_limit) {
        return 431;
    }
    return code == http::error::body_limit ? 413 : 400;
}

/** Lets the stream handler send a chunked response, if it handles the path. Returns whether it does. */
asio::awaitable<bool> tryStream(beast::tcp_stream &stream, const http_request &request,
                                const http_stream_handler &streamHandler)
{
    if (!streamHandler) {
        co_return false;
    }
    bool started = false;
    chunk_writer write = [&](std::string chunk) -> asio::awaitable<bool> {
        error_code code;
        stream.expires_never();
        if (!started) {
            started = true;
            http::response<http::empty_body> header{http::status::ok, 11};
            header.chunked(true);
            http::response_serializer<http::empty_body> serializer{header};
            co_await http::async_write_header(stream, serializer, redirectError(code));
        }
        if (!code) {
            co_await asio::async_write(stream, http::make_chunk(asio::buffer(chunk)), redirectError(code));
        }
        co_return !code;
    };
    co_return co_await streamHandler(request, write);
}

asio::awaitable<void> serveConnection(tcp::socket socket, http_handler handler, http_server_options options)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    error_code code;
    stream.socket().set_option(tcp::no_delay(true), code);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(options.headerLimit);
        parser.body_limit(options.bodyLimit);
        stream.expires_after(options.idleTimeout);
        co_await http::async_read(stream, buffer, parser, redirectError(code));
        if (code) {
            if (code.category() == http::make_error_code(http::error::bad_method).category()
                && code != http::error::end_of_stream && code != http::error::partial_message) {
                auto refusal = toBeast(jsonResponse(statusOf(code), R"({"error":")" + code.message() + "\"}"), false);
                co_await http::async_write(stream, refusal, redirectError(code));
            }
            break;
        }
        const bool keepAlive = parser.keep_alive();
        auto message = parser.release();
        http_request request{std::string(message.method_string()), std::string(message.target()),
                             copyEndToEndHeaders(message), message.body()};
        if (co_await tryStream(stream, request, options.streamHandler)) {
            break;
        }
        auto response = toBeast(co_await handler(std::move(request)), keepAlive);
        stream.expires_after(options.idleTimeout);
        co_await http::async_write(stream, response, redirectError(code));
        if (code || !keepAlive) {
            break;
        }
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, code);
}

} // namespace

std::optional<tcp::acceptor> listenOn(asio::io_context &context, const endpoint &at, last_reason &why)
{
    tcp::acceptor acceptor(context);
    error_code code;
    const auto where = toAsioEndpoint<tcp>(at);
    acceptor.open(where.protocol(), code);
    if (!code) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    }
    if (!code) {
        // Each traffic thread has its own acceptor on the same port.
        using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        acceptor.set_option(reuse_port(true), code);
    }
    if (!code) {
        acceptor.bind(where, code);
    }
    if (!code) {
        acceptor.listen(listenBacklog, code);
    }
    if (code) {
        return failed(why, "listen", toString(at), code.message());
    }
    return acceptor;
}

asio::awaitable<void> serveHttp(std::shared_ptr<tcp::acceptor> acceptor, http_handler handler,
                                http_server_options options)
{
    while (acceptor->is_open()) {
        error_code code;
        auto socket = co_await acceptor->async_accept(redirectError(code));
        if (!code) {
            asio::co_spawn(acceptor->get_executor(), serveConnection(std::move(socket), handler, options),
                           asio::detached);
        } else if (code == asio::error::operation_aborted) {
            break;
        } else {
            co_await sleepFor(milliseconds(10)); // Out of file descriptors: wait for connections to end.
        }
    }
}

} // namespace quetzalspool
