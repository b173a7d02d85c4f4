/** @file caller_server.cpp The end that callers talk to. */
#include "caller_server.h"

#include "caller_request.h"
#include "caller_retry_func.h"
#include "elapsed_clock.h"
#include "http_convert.h"
#include "log_func.h"
#include "request_router.h"
#include "routing_func.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <limits>
#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using clock = elapsed_clock;

constexpr unsigned unavailable = 503; ///< Not run; come back later.
constexpr milliseconds noTablesRetry{300}; ///< When to come back while this daemon knows no tables yet.
constexpr std::size_t readAhead = 4096; ///< Bytes asked for at first; most requests fit.
constexpr std::size_t readAheadLimit = 131072; ///< Bytes read ahead at most, beyond the longest head.
constexpr std::chrono::seconds readTimeout{30}; ///< Bound on receiving one request.

/** One caller's connection. */
struct caller_connection
{
    explicit caller_connection(tcp::socket socket)
        : stream(std::move(socket))
    { }

    beast::tcp_stream stream; ///< Transport.
    const header_profile *names = nullptr; ///< Header names.
    beast::flat_buffer buffer; ///< Bytes read ahead.
    std::string address; ///< IP address of the caller.
    bool keepAlive = true; ///< Whether another request may follow.
    bool chunked = false; ///< Whether the present answer is chunked.
    bool broken = false; ///< Whether an answer broke off or could not be written.
    bool headOnly = false; ///< Whether the present answer has no body by its method.
};

/** Whether the caller has closed its end. Looks without reading. */
bool callerGone(caller_connection &connection)
{
    error_code code;
    char byte = 0;
    auto &socket = connection.stream.socket();
    socket.non_blocking(true, code);
    const auto length = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return connection.broken || (length == 0 && code != asio::error::would_block);
}

asio::awaitable<bool> writeHead(std::shared_ptr<caller_connection> connection, unsigned status,
                                std::vector<http_header> headers, std::optional<std::uint64_t> length,
                                steady_time until)
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
    connection->stream.expires_at(elapsed_clock::forTimers(until));
    error_code code;
    http::response_serializer<http::empty_body> serializer{message};
    co_await http::async_write_header(connection->stream, serializer, redirectError(code));
    connection->broken = connection->broken || code;
    co_return !code;
}

asio::awaitable<bool> writePart(std::shared_ptr<caller_connection> connection, std::string part, steady_time until)
{
    if (connection->headOnly) {
        co_return true;
    }
    error_code code;
    connection->stream.expires_at(elapsed_clock::forTimers(until));
    if (connection->chunked) {
        co_await asio::async_write(connection->stream, http::make_chunk(asio::buffer(part)), redirectError(code));
    } else {
        co_await asio::async_write(connection->stream, asio::buffer(part), redirectError(code));
    }
    connection->broken = connection->broken || code;
    co_return !code;
}

std::shared_ptr<answer_sink> sinkTo(const std::shared_ptr<caller_connection> &connection, steady_time until)
{
    auto sink = std::make_shared<answer_sink>();
    sink->head = [connection, until](unsigned status, std::vector<http_header> headers,
                                     std::optional<std::uint64_t> length) {
        return writeHead(connection, status, std::move(headers), length, until);
    };
    sink->part = [connection, until](std::string part) { return writePart(connection, std::move(part), until); };
    sink->end = [connection](bool whole) { connection->broken = connection->broken || !whole; };
    sink->abandoned = [connection] { return callerGone(*connection); };
    return sink;
}

asio::awaitable<void> writeReply(std::shared_ptr<caller_connection> connection, http_response reply)
{
    http::response<http::string_body> message;
    message.result(reply.status);
    message.version(11);
    message.keep_alive(connection->keepAlive);
    for (const auto &[name, value] : reply.headers) {
        message.insert(name, value);
    }
    message.body() = std::move(reply.body);
    message.prepare_payload();
    if (connection->headOnly) {
        message.body().clear();
    }
    connection->stream.expires_after(readTimeout);
    error_code code;
    co_await http::async_write(connection->stream, message, redirectError(code));
    connection->broken = connection->broken || code;
}

unsigned statusOf(const request_outcome &outcome)
{
    if (outcome.result == attempt_result::not_run) {
        return 503;
    }
    return outcome.text == "duplicate" ? 409 : 504;
}

void addNamed(http_response &reply, const std::string &name, std::string value)
{
    if (!name.empty()) {
        reply.headers.emplace_back(name, std::move(value));
    }
}

/** When to come back, in seconds: with a fraction if callers take one, else rounded up. */
std::string retryText(const header_profile &names, milliseconds wait)
{
    wait = std::max(wait, milliseconds(1));
    if (!names.fractionalRetryAfter) {
        return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(wait).count());
    return text;
}

/** The reply for a request that got no answer from a target. */
http_response replyFor(const header_profile &names, const request_outcome &outcome)
{
    const nlohmann::json body{
        {"outcome", nameOf(outcome.result)}, {"reason", outcome.text}, {"retry_after_ms", outcome.retryAfter.count()}};
    auto reply = jsonResponse(statusOf(outcome), body.dump() + "\n");
    addNamed(reply, names.outcome, nameOf(outcome.result));
    addNamed(reply, names.reason, outcome.text);
    if (outcome.result == attempt_result::not_run) {
        reply.headers.emplace_back("Retry-After", retryText(names, outcome.retryAfter));
        addNamed(reply, names.retryAfterMs, std::to_string(outcome.retryAfter.count()));
    }
    return reply;
}

http_response refusalReply(const header_profile &names, const caller_refusal &refused)
{
    const nlohmann::json body{{"outcome", "not-run"}, {"reason", refused.reason}};
    auto reply = jsonResponse(refused.status, body.dump() + "\n");
    addNamed(reply, names.outcome, "not-run");
    addNamed(reply, names.reason, refused.reason);
    if (refused.status == unavailable) {
        reply.headers.emplace_back("Retry-After", retryText(names, noTablesRetry));
    }
    return reply;
}

using caller_parser = http::request_parser<http::string_body>;

/** Reads the body within the route's limit. */
asio::awaitable<bool> readBody(std::shared_ptr<caller_connection> connection, std::shared_ptr<caller_parser> parser,
                               std::uint64_t limit, caller_refusal &refused)
{
    error_code code;
    parser->body_limit(limit);
    const auto length = parser->content_length();
    if (length && *length > limit) {
        refused = {413, "body-too-large"};
        co_return false;
    }
    if (beast::iequals(parser->get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> go{http::status::continue_, 11};
        co_await http::async_write(connection->stream, go, redirectError(code));
    }
    co_await http::async_read(connection->stream, connection->buffer, *parser, redirectError(code));
    if (code) {
        refused =
            code == http::error::body_limit ? caller_refusal{413, "body-too-large"} : caller_refusal{400, "bad-body"};
    }
    co_return !code;
}

/** Checks everything that can be checked before the body, reads it, and finds the key. */
asio::awaitable<std::optional<routed_request>> acceptRequest(traffic_thread &thread,
                                                             std::shared_ptr<caller_connection> connection,
                                                             std::shared_ptr<caller_parser> parser,
                                                             caller_refusal &refused)
{
    const auto view = thread.shared->routing.load();
    const std::string path(parser->get().target());
    const std::string host(parser->get()[http::field::host]);
    const auto *found = findRoute(*view, host, path);
    if (found == nullptr) {
        const bool waits = thread.shared->settings.roster && !view->table;
        refused = waits ? caller_refusal{unavailable, "no-tables-yet"} : caller_refusal{404, "no-route"};
        co_return std::nullopt;
    }
    const auto route = *found;
    if (!mayUse(route, connection->address)) {
        refused = {403, "caller-not-allowed"};
        co_return std::nullopt;
    }
    const bool read = co_await readBody(connection, parser, route.maxBody, refused);
    if (!read) {
        connection->keepAlive = false;
        co_return std::nullopt;
    }
    auto message = parser->release();
    http_request request{std::string(message.method_string()), path, copyEndToEndHeaders(message),
                         std::move(message.body())};
    auto key = findKey(route, request, refused);
    if (!key) {
        co_return std::nullopt;
    }
    const auto freshId = std::to_string(thread.random()) + "-" + std::to_string(thread.random());
    const auto &settings = thread.shared->settings;
    const auto now = clock::now();
    const auto named = deadlineNamed(request, thread.shared->names);
    const auto askedBefore = named ? estimateRetryAge(thread.callerAges, route.name, *named, now) : milliseconds(0);
    const request_origin origin{thread.shared->names,
                                settings.roster ? settings.roster->pool : pool_id{},
                                freshId,
                                thread.random(),
                                askedBefore,
                                now};
    auto routed = makeRouted(route, std::move(request), std::move(*key), origin);
    // What comes during a planned stop is answered before the process has to end. Late in the stop, what might not be
    // is not begun: a caller on a kept connection may come back on another one.
    const auto until = thread.shared->answersUntil.load();
    if (thread.shared->leaving && routed.deadline > until) {
        refused = {unavailable, "leaving"};
        co_return std::nullopt;
    }
    routed.deadline = std::min(routed.deadline, until);
    co_return routed;
}

/** Counts and logs the end of a request. */
void recordEnd(traffic_thread &thread, const request_note &note, const request_outcome &outcome)
{
    const auto now = clock::now();
    countRequest(*thread.shared->numbers, note, outcome, now);
    logRequest(thread.lines, note, outcome, now);
    if (outcome.result != attempt_result::answered && !note.route.empty()) {
        expectRetry(thread.callerAges, note.route, now);
    }
}

/** Serves one request whose headers have been read. */
asio::awaitable<void> serveRequest(traffic_thread &thread, std::shared_ptr<caller_connection> connection,
                                   std::shared_ptr<caller_parser> parser)
{
    request_note note;
    note.arrivedAt = clock::now();
    note.id = std::string(parser->get()[thread.shared->names.requestId]);
    caller_refusal refused;
    auto request = co_await acceptRequest(thread, connection, parser, refused);
    if (!request) {
        request_outcome outcome;
        outcome.text = refused.reason;
        recordEnd(thread, note, outcome);
        auto reply = refusalReply(thread.shared->names, refused);
        // Unread parts of the request would be taken for the next one.
        connection->keepAlive = connection->keepAlive && parser->is_done();
        co_await writeReply(connection, std::move(reply));
        co_return;
    }
    connection->headOnly = request->http.method == "HEAD";
    const auto sink = sinkTo(connection, request->deadline);
    note.id = request->id;
    note.route = request->route;
    note.pool = request->pool;
    note.goal = request->goal;
    const auto outcome = co_await routeRequest(thread, std::move(*request), sink, note);
    note.callerLeft = callerGone(*connection);
    if (outcome.result != attempt_result::answered && !connection->broken) {
        auto reply = replyFor(thread.shared->names, outcome);
        co_await writeReply(connection, std::move(reply));
    } else if (outcome.result == attempt_result::answered && outcome.whole && connection->chunked
               && !connection->headOnly && !connection->broken) {
        error_code code;
        co_await asio::async_write(connection->stream, http::make_chunk_last(), redirectError(code));
        connection->broken = connection->broken || code;
    }
    recordEnd(thread, note, outcome);
}

/** Closes a connection; a broken answer is reset, so that nobody takes its end for a whole one. */
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

asio::awaitable<void> refuseFraming(std::shared_ptr<caller_connection> connection, error_code code)
{
    connection->keepAlive = false;
    const bool tooLong = code == http::error::header_limit;
    auto reply = refusalReply(*connection->names,
                              tooLong ? caller_refusal{431, "headers-too-large"}
                                      : caller_refusal{400, "bad-request: " + code.message()});
    co_await writeReply(connection, std::move(reply));
}

caller_limits limitsOf(const daemon_shared &shared)
{
    const auto view = shared.routing.load();
    return view->table ? view->table->rows.limits : caller_limits{};
}

/** Reads the head of a request: the connection may be idle before its first byte, then the head may take less long. */
asio::awaitable<error_code> readRequestHead(std::shared_ptr<caller_connection> connection,
                                            std::shared_ptr<caller_parser> parser, caller_limits limits)
{
    error_code code;
    if (connection->buffer.size() == 0) {
        connection->stream.expires_after(limits.idleTime);
        const auto length =
            co_await connection->stream.async_read_some(connection->buffer.prepare(readAhead), redirectError(code));
        connection->buffer.commit(length);
    }
    if (code == asio::error::eof) {
        co_return http::error::end_of_stream;
    }
    if (!code) {
        connection->stream.expires_after(limits.headerTime);
        co_await http::async_read_header(connection->stream, connection->buffer, *parser, redirectError(code));
    }
    co_return code;
}

asio::awaitable<void> serveCaller(traffic_thread &thread, tcp::socket socket)
{
    auto connection = std::make_shared<caller_connection>(std::move(socket));
    connection->names = &thread.shared->names;
    error_code code;
    connection->stream.socket().set_option(tcp::no_delay(true), code);
    const auto remote = connection->stream.socket().remote_endpoint(code);
    connection->address = remote.address().to_string();
    while (connection->keepAlive && !connection->broken) {
        const auto parser = std::make_shared<caller_parser>();
        const auto limits = limitsOf(*thread.shared);
        parser->header_limit(limits.headerBytes);
        connection->buffer.max_size(limits.headerBytes + readAheadLimit);
        parser->body_limit(std::numeric_limits<std::uint64_t>::max()); // The route's limit is checked once it is known.
        code = co_await readRequestHead(connection, parser, limits);
        if (code == http::error::end_of_stream || (code && connection->buffer.size() == 0 && !parser->got_some())) {
            break;
        }
        if (code) {
            co_await refuseFraming(connection, code);
            break;
        }
        connection->stream.expires_after(readTimeout);
        connection->keepAlive = parser->get().keep_alive() && !thread.shared->leaving;
        connection->headOnly = parser->get().method() == http::verb::head;
        ++thread.shared->requestsOpen;
        co_await serveRequest(thread, connection, parser);
        --thread.shared->requestsOpen;
    }
    closeConnection(*connection);
}

} // namespace

asio::awaitable<void> acceptCallers(traffic_thread &thread)
{
    const auto acceptor = thread.callers;
    while (acceptor->is_open()) {
        error_code code;
        auto socket = co_await acceptor->async_accept(redirectError(code));
        if (!code) {
            asio::co_spawn(thread.context, serveCaller(thread, std::move(socket)), asio::detached);
        } else if (code == asio::error::operation_aborted) {
            break;
        } else {
            co_await sleepFor(milliseconds(10));
        }
    }
}

} // namespace quetzalspool
