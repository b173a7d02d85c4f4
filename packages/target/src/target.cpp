/** @file target.cpp HTTP/1.1 client that sends requests to targets and reuses idle connections. */
#include "target_func.h"

#include "elapsed_clock.h"
#include "final_status.h"
#include "http_convert.h"
#include "shared_body_http.h"
#include "stated_load.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace quetzalspool {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr milliseconds idleTimeout{4000}; ///< Connections that are idle for longer are closed.
constexpr std::size_t maxIdleConnections = 24; ///< Maximum idle connections per target.
constexpr std::size_t maxRefusedIds = 64; ///< A connection with as many refusals is not reused.
constexpr std::size_t partSize = 32768; ///< Bytes of a body per read.
constexpr std::size_t readAheadLimit = 131072; ///< Maximum buffered bytes of a head or of chunk framing. A faulty
                                               ///< target may send malformed bytes endlessly.
constexpr unsigned firstServerFailure = 500; ///< Status codes from here on are failures of the target.
constexpr unsigned misdirectedRequest = 421; ///< The wrong target received the request and did not run it.

} // namespace

struct target_exchange
{
    explicit target_exchange(const asio::any_io_executor &executor)
        : stream(executor)
    { }

    endpoint address; ///< Target.
    target_rules rules; ///< How its responses are interpreted.
    std::string requestId; ///< Id of the current request; empty if the target does not echo it.
    beast::tcp_stream stream; ///< Connection.
    beast::flat_buffer buffer{readAheadLimit}; ///< Received bytes that are not parsed yet.
    std::optional<http::response_parser<http::buffer_body>> parser; ///< Parser of the current response.
    std::set<std::string> refusedIds; ///< Ids of the requests that were refused on this connection.
    bool headOnly = false; ///< Whether the response has no body because of the request's method.
    bool reused = false; ///< Whether the connection has carried an earlier request.
    bool showsRestart = false; ///< Whether the target may have restarted.
    bool complete = false; ///< Whether the response was read completely.
    steady_time idleSince{}; ///< When the connection became idle.
};

struct target_client
{
    target_rules rules; ///< How the targets' responses are interpreted.
    std::map<endpoint, std::vector<std::shared_ptr<target_exchange>>> idleConnections; ///< By target, oldest first.
};

namespace {

/** Whether an idle connection is open and no unexpected bytes have arrived on it. */
bool isStillOpen(target_exchange &exchange)
{
    error_code code;
    auto &socket = exchange.stream.socket();
    socket.non_blocking(true, code);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block;
}

/**
 * Takes the most recently used idle connection on which the request was not refused, unless it was idle for too long.
 * Closes expired and broken ones.
 */
std::shared_ptr<target_exchange> takeIdleConnection(target_client &client, const endpoint &address,
                                                    const std::string &requestId, milliseconds maxIdleTime)
{
    auto &idleConnections = client.idleConnections[address];
    const auto now = elapsed_clock::now();
    std::erase_if(idleConnections, [&](const auto &exchange) { return now - exchange->idleSince >= idleTimeout; });
    for (auto at = idleConnections.size(); at > 0; --at) {
        const auto position = idleConnections.begin() + static_cast<std::ptrdiff_t>(at) - 1;
        if (now - (*position)->idleSince >= maxIdleTime) {
            return nullptr;
        }
        if ((*position)->refusedIds.contains(requestId)) {
            continue;
        }
        auto exchange = std::move(*position);
        idleConnections.erase(position);
        if (isStillOpen(*exchange)) {
            return exchange;
        }
    }
    return nullptr;
}

/** Whether there are idle connections to a target and it has closed all of them, as the end of its process does. */
bool allClosed(target_client &client, const endpoint &address)
{
    auto &idleConnections = client.idleConnections[address];
    return !idleConnections.empty()
        && std::none_of(idleConnections.begin(), idleConnections.end(),
                        [](const auto &exchange) { return isStillOpen(*exchange); });
}

/** Whether the connection failed because the other end closed or reset it. */
bool isClosedByTarget(const error_code &code)
{
    return code == asio::error::eof || code == asio::error::connection_reset || code == asio::error::connection_aborted
        || code == asio::error::broken_pipe || code == http::error::end_of_stream
        || code == http::error::partial_message;
}

/**
 * Whether a response certainly belongs to the current request: it names the request's id, or the connection has carried
 * no other request whose late response it could be. Targets that echo no ids are trusted to respond in order.
 */
bool certainlyBelongs(const target_exchange &exchange, const std::string &echoed)
{
    const bool named = !exchange.requestId.empty() && echoed == exchange.requestId;
    return named || !exchange.reused || exchange.rules.requestId.empty();
}

/** Parses a rate: a decimal number that is finite and not negative. */
std::optional<double> parseRate(std::string_view text)
{
    double rate = 0;
    const auto *end = text.data() + text.size();
    const auto [parsedTo, error] = std::from_chars(text.data(), end, rate);
    const bool valid = error == std::errc() && parsedTo == end && std::isfinite(rate) && rate >= 0;
    return valid ? std::optional(rate) : std::nullopt;
}

/** Parses a time in whole milliseconds; anything else says nothing. */
milliseconds parseColdTime(std::string_view text)
{
    std::uint32_t time = 0;
    const auto *end = text.data() + text.size();
    const auto [parsedTo, error] = std::from_chars(text.data(), end, time);
    return milliseconds(error == std::errc() && parsedTo == end ? time : 0);
}

/** Reads what the head of a response says about its target. */
target_notice readNotice(const target_rules &rules, const target_head &head, const http::response_header<> &message)
{
    target_notice notice;
    notice.succeeded = head.notRun.empty() && head.status < firstServerFailure;
    notice.leaving = !rules.leaving.empty() && findHeader(head.headers, rules.leaving) == "1";
    notice.coldFor = rules.cold.empty() ? milliseconds(0) : parseColdTime(findHeader(head.headers, rules.cold));
    notice.load = rules.load.empty() ? std::nullopt : parseStatedLoad(findHeader(head.headers, rules.load));
    if (rules.limit.empty() || message.find(rules.limit) == message.end()) {
        return notice;
    }
    const auto rate = parseRate(findHeader(head.headers, rules.limit));
    notice.limit = rate ? limit_statement::named : limit_statement::unreadable;
    notice.requestsPerSecond = rate.value_or(0);
    return notice;
}

} // namespace

bool showsRestart(const target_exchange &exchange)
{
    return exchange.showsRestart;
}

std::shared_ptr<target_client> makeTargetClient(target_rules rules)
{
    auto client = std::make_shared<target_client>();
    client->rules = std::move(rules);
    return client;
}

asio::awaitable<std::shared_ptr<target_exchange>> openTarget(std::shared_ptr<target_client> client, endpoint address,
                                                             std::string requestId, milliseconds maxIdleTime,
                                                             milliseconds timeout, last_reason &why)
{
    const bool wereClosed = allClosed(*client, address);
    auto exchange = takeIdleConnection(*client, address, requestId, maxIdleTime);
    if (exchange) {
        exchange->complete = false;
        exchange->reused = true;
        co_return exchange;
    }
    exchange = std::make_shared<target_exchange>(co_await asio::this_coro::executor);
    exchange->address = address;
    exchange->showsRestart = wereClosed;
    exchange->rules = client->rules;
    exchange->stream.expires_after(timeout);
    error_code code;
    co_await exchange->stream.async_connect(toAsioEndpoint<tcp>(address), redirectError(code));
    if (code) {
        failed(why, "connect to the target", toString(address), code.message());
        co_return nullptr;
    }
    exchange->stream.socket().set_option(tcp::no_delay(true), code);
    co_return exchange;
}

asio::awaitable<bool> sendToTarget(std::shared_ptr<target_exchange> exchange, http_request request,
                                   steady_time deadline, last_reason &why)
{
    http::request<shared_body_http> message;
    message.method_string(request.method);
    message.target(request.path);
    message.version(11);
    for (const auto &[name, value] : request.headers) {
        message.insert(name, value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, toString(exchange->address));
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    exchange->headOnly = request.method == "HEAD";
    exchange->requestId =
        exchange->rules.requestId.empty() ? "" : findHeader(request.headers, exchange->rules.requestId);
    exchange->stream.expires_at(elapsed_clock::forTimers(deadline));
    error_code code;
    co_await http::async_write(exchange->stream, message, redirectError(code));
    exchange->showsRestart = exchange->showsRestart || isClosedByTarget(code);
    if (code) {
        failed(why, "send to the target", toString(exchange->address), code.message());
    }
    co_return !code;
}

asio::awaitable<std::optional<target_head>> readTargetHead(std::shared_ptr<target_exchange> exchange,
                                                           steady_time deadline, last_reason &why)
{
    auto &parser = exchange->parser.emplace();
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.skip(exchange->headOnly);
    exchange->stream.expires_at(elapsed_clock::forTimers(deadline));
    error_code code;
    co_await http::async_read_header(exchange->stream, exchange->buffer, parser, redirectError(code));
    exchange->showsRestart = exchange->showsRestart || isClosedByTarget(code);
    if (code) {
        co_return failed(why, "read the target's response", toString(exchange->address), code.message());
    }
    if (!isFinalStatus(parser.get().result_int())) {
        co_return failed(why, "read the target's response", toString(exchange->address),
                         "status " + std::to_string(parser.get().result_int()) + " is not one of a final response");
    }
    if (parser.need_eof() && !exchange->headOnly && !exchange->rules.unframed) {
        co_return failed(why, "read the target's response", toString(exchange->address),
                         "neither Content-Length nor chunked encoding, so truncation could not be detected");
    }
    const auto &message = parser.get();
    const auto &idHeader = exchange->rules.requestId;
    const auto echoed = idHeader.empty() ? "" : std::string(message[idHeader]);
    if (!exchange->requestId.empty() && !echoed.empty() && echoed != exchange->requestId) {
        co_return failed(why, "read the target's response", toString(exchange->address),
                         "it is the answer to another request");
    }
    target_head head{message.result_int(), copyEndToEndHeaders(message), std::nullopt, "", {}};
    if (const auto length = parser.content_length()) {
        head.length = *length;
    }
    head.notRun = findHeader(head.headers, exchange->rules.notRun);
    if (head.status == misdirectedRequest && head.notRun.empty()) {
        head.notRun = "stale-grant";
    }
    if (!head.notRun.empty() && !certainlyBelongs(*exchange, echoed)) {
        co_return failed(why, "read the target's response", toString(exchange->address),
                         "it refuses a request that it does not name");
    }
    if (!head.notRun.empty() && !exchange->requestId.empty()) {
        exchange->refusedIds.insert(exchange->requestId);
    }
    head.notice = readNotice(exchange->rules, head, message);
    head.notice.succeeded = head.notice.succeeded && certainlyBelongs(*exchange, echoed);
    co_return head;
}

asio::awaitable<std::optional<std::string>> readTargetPart(std::shared_ptr<target_exchange> exchange,
                                                           steady_time deadline, last_reason &why)
{
    auto &parser = *exchange->parser;
    std::string part(partSize, '\0');
    while (!parser.is_done()) {
        // While bytes are always available, reads complete at once and their timer never expires.
        if (elapsed_clock::now() >= deadline) {
            co_return failed(why, "read the target's response", toString(exchange->address),
                             "response is incomplete at the deadline");
        }
        parser.get().body().data = part.data();
        parser.get().body().size = part.size();
        exchange->stream.expires_at(elapsed_clock::forTimers(deadline));
        error_code code;
        co_await http::async_read_some(exchange->stream, exchange->buffer, parser, redirectError(code));
        exchange->showsRestart = exchange->showsRestart || isClosedByTarget(code);
        if (code && code != http::error::need_buffer) {
            co_return failed(why, "read the target's response", toString(exchange->address), code.message());
        }
        const auto length = part.size() - parser.get().body().size;
        if (length > 0) {
            part.resize(length);
            co_return part;
        }
    }
    exchange->complete = true;
    co_return std::string();
}

void closeTarget(target_client &client, const std::shared_ptr<target_exchange> &exchange)
{
    const bool reusable = exchange->complete && exchange->parser && exchange->parser->keep_alive()
        && exchange->buffer.size() == 0 && exchange->refusedIds.size() < maxRefusedIds;
    if (reusable) {
        exchange->idleSince = elapsed_clock::now();
        exchange->stream.expires_never();
        auto &idleConnections = client.idleConnections[exchange->address];
        idleConnections.push_back(exchange);
        if (idleConnections.size() > maxIdleConnections) {
            idleConnections.erase(idleConnections.begin());
        }
        return;
    }
    cancelTarget(*exchange);
}

asio::awaitable<bool> refusesConnections(endpoint address, milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    error_code code;
    co_await stream.async_connect(toAsioEndpoint<tcp>(address), redirectError(code));
    co_return code == asio::error::connection_refused;
}

void cancelTarget(target_exchange &exchange)
{
    exchange.stream.close();
}

} // namespace quetzalspool
