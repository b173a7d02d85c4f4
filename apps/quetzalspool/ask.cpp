/** @file ask.cpp Asking a daemon and waiting for its answer. */
#include "client_type.h"
#include "http_client.h"

namespace quetzalspool {

namespace {

constexpr milliseconds answerTimeout{15000};

} // namespace

std::optional<daemon_answer> askDaemon(const endpoint &at, const std::string &method, const std::string &path,
                                       const nlohmann::json &body, last_reason &why)
{
    asio::io_context context{1};
    std::optional<http_response> reply;
    http_request request{method, path, {{"Content-Type", "application/json"}}, body.is_null() ? "" : body.dump()};
    auto ask = [&]() -> asio::awaitable<void> {
        reply = co_await sendRequest(makeHttpConnectionPool(), at, request, answerTimeout, why);
    };
    asio::co_spawn(context, ask, asio::detached);
    context.run();
    if (!reply) {
        return std::nullopt;
    }
    auto parsed = nlohmann::json::parse(reply->body, nullptr, false);
    if (parsed.is_discarded()) {
        parsed = reply->body;
    }
    return daemon_answer{reply->status, std::move(parsed)};
}

} // namespace quetzalspool
