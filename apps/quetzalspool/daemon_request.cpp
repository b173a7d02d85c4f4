/** @file daemon_request.cpp Sends a request to the admin port of a daemon. */
#include "client_type.h"
#include "http_client.h"

namespace quetzalspool {

namespace {

constexpr milliseconds responseTimeout{15000};

} // namespace

std::optional<daemon_response> requestDaemon(const endpoint &address, const std::string &method,
                                             const std::string &path, const nlohmann::json &body, last_reason &why)
{
    asio::io_context context{1};
    std::optional<http_response> response;
    http_request request{method, path, {{"Content-Type", "application/json"}}, body.is_null() ? "" : body.dump()};
    auto send = [&]() -> asio::awaitable<void> {
        response = co_await sendRequest(makeHttpConnectionPool(), address, request, responseTimeout, why);
    };
    asio::co_spawn(context, send, asio::detached);
    context.run();
    if (!response) {
        return std::nullopt;
    }
    auto parsed = nlohmann::json::parse(response->body, nullptr, false);
    if (parsed.is_discarded()) {
        parsed = response->body;
    }
    return daemon_response{response->status, std::move(parsed)};
}

} // namespace quetzalspool
