/** @file server.cpp Application servers: requests, slots and answers. */
#include "store.h"

#include <algorithm>

namespace review {

namespace {

constexpr milliseconds queueCheckInterval{5}; ///< Interval of the checks for a free slot.

response_message refuse(const request_message &request, unsigned status, bool named)
{
    response_message out{http::int_to_status(status), 11};
    if (named) {
        out.set("X-Request-Id", request["X-Request-Id"]);
    }
    out.set("X-Not-Executed", "1");
    out.prepare_payload();
    return out;
}

std::string textOf(beast::string_view text)
{
    return {text.data(), text.size()};
}

/** Runs a request: waits for a slot, works, answers. */
asio::awaitable<response_message> run(world &in, std::shared_ptr<app_server> server, const request_message &request)
{
    const auto id = textOf(request["X-Request-Id"]);
    if (id.empty()) {
        co_return refuse(request, 400, false);
    }
    const auto expected = textOf(request["X-Expected-Instance"]);
    if (!expected.empty() && expected != server->id) {
        auto out = refuse(request, 421, true);
        out.set("X-Instance-Id", server->id);
        co_return out;
    }
    if (server->running >= server->slots && server->waiting >= server->queue) {
        co_return refuse(request, 503, true);
    }
    const auto key = keyOf(request);
    if (server->sharded && !holdsKey(*server, key)) {
        co_return refuse(request, 421, true);
    }
    server->keys.atWork.push_back(key);
    ++server->waiting;
    while (server->running >= server->slots) {
        co_await sleepFor(queueCheckInterval);
    }
    --server->waiting;
    ++server->running;
    in.runs.push_back({server->id, id, clock::now()});
    note(in,
         {{"event", "run"},
          {"server", server->id},
          {"request", id},
          {"method", textOf(request.method_string())},
          {"key", key}});
    co_await sleepFor(server->work);
    --server->running;
    auto &atWork = server->keys.atWork;
    atWork.erase(std::find(atWork.begin(), atWork.end(), key));
    note(in, {{"event", "run-end"}, {"server", server->id}, {"request", id}});
    response_message out{http::status::ok, 11};
    out.set("X-Request-Id", id);
    out.set("X-Response-Signature", "signed-by-" + server->id);
    out.set("X-Server-Load",
            std::to_string(server->running) + "," + std::to_string(server->waiting) + ","
                + std::to_string(server->slots));
    if (server->leaving) {
        out.set("Server-Leaving", "1");
    }
    out.body() = "answer of " + server->id + " to " + id;
    out.prepare_payload();
    co_return out;
}

asio::awaitable<void> serve(world &in, std::shared_ptr<app_server> server, tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    error_code code;
    stream.socket().set_option(tcp::no_delay(true), code);
    for (;;) {
        request_message request;
        co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return;
        }
        const auto response = co_await run(in, server, request);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return;
        }
    }
}

asio::awaitable<void> accept(world &in, std::shared_ptr<app_server> server, std::shared_ptr<tcp::acceptor> acceptor)
{
    for (;;) {
        error_code code;
        auto socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, code));
        if (!code) {
            asio::co_spawn(in.context, serve(in, server, std::move(socket)), asio::detached);
        }
    }
}

} // namespace

void listenForRequests(world &in, const std::shared_ptr<app_server> &server)
{
    const tcp::endpoint at(asio::ip::address_v4::loopback(), server->port);
    const auto acceptor = std::make_shared<tcp::acceptor>(in.context, at);
    asio::co_spawn(in.context, accept(in, server, acceptor), asio::detached);
}

} // namespace review
