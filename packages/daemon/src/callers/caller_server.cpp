/** @file caller_server.cpp HTTP server for callers. */
#include "caller_server.h"

#include "call_follower.h"
#include "caller_connection.h"
#include "caller_eviction.h"
#include "caller_request.h"
#include "caller_response.h"
#include "caller_retry_func.h"
#include "elapsed_clock.h"
#include "http_convert.h"
#include "log_func.h"
#include "request_count.h"
#include "request_router.h"
#include "routing_func.h"
#include "shared_body_http.h"

#include <boost/beast/http.hpp>
#include <limits>
#include <netinet/tcp.h>

namespace quetzalspool {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using clock = elapsed_clock;

constexpr std::size_t readAhead = 4096; ///< Size of the first read, in bytes; most requests fit.
constexpr std::uint32_t requestLineLimit = 8192; ///< Bytes of a request line, which the limit of headers doesn't count.
constexpr std::size_t bodyReadAhead = 16384; ///< Bytes of a body per read.
constexpr std::uint64_t requestBytes = 16384; ///< Bytes charged for a request beside its body.
constexpr int unsentBytes = 131072; ///< Bytes of a response that the kernel keeps beyond those in flight. Without this
                                    ///< limit it takes megabytes for each caller that does not read.
constexpr std::size_t readAheadLimit = 131072; ///< Maximum bytes buffered beyond the longest head.

using caller_parser = http::request_parser<shared_body_http>;

/** Parses the bytes read ahead, as far as they are complete. */
void parseReadAhead(caller_connection &connection, caller_parser &parser, error_code &code)
{
    auto &buffer = connection.buffer;
    while (!code && !parser.is_done() && buffer.size() > 0) {
        const auto used = parser.put(buffer.data(), code);
        buffer.consume(used);
        if (code == http::error::need_more || (!code && used == 0)) {
            code = {};
            return;
        }
    }
}

/** Reads the next bytes of a body, for which there must be room in the memory. */
asio::awaitable<bool> readBodyPart(traffic_thread &thread, std::shared_ptr<caller_connection> connection,
                                   std::shared_ptr<caller_parser> parser, error_code &code, caller_refusal &rejection)
{
    auto &buffer = connection->buffer;
    if (buffer.size() + bodyReadAhead > buffer.max_size()) {
        code = http::error::buffer_overflow; // A chunk extension or a trailer without end.
        co_return true;
    }
    auto &body = parser->get().body();
    const auto total = body.size() + bodyReadAhead;
    const bool room = co_await makeMemoryRoom(thread, bodyReadAhead, total);
    if (!room) {
        rejection = {serviceUnavailable, "memory-full"};
        co_return false;
    }
    connection->held = total;
    connection->lastProgress = clock::now();
    const auto length = co_await connection->stream.async_read_some(buffer.prepare(bodyReadAhead), redirectError(code));
    connection->held = 0;
    buffer.commit(length);
    if (connection->evicted) {
        rejection = {408, "stalled"};
    }
    co_return !connection->evicted;
}

/** Reads the body, up to the route's limit. */
asio::awaitable<bool> readBody(traffic_thread &thread, std::shared_ptr<caller_connection> connection,
                               std::shared_ptr<caller_parser> parser, std::uint64_t limit, caller_refusal &rejection)
{
    error_code code;
    parser->body_limit(limit);
    parser->eager(true);
    parser->get().body().chargeTo(thread.shared->memory);
    const auto length = parser->content_length();
    if (length && *length > limit) {
        rejection = {413, "body-too-large"};
        co_return false;
    }
    if (beast::iequals(parser->get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> go{http::status::continue_, 11};
        co_await http::async_write(connection->stream, go, redirectError(code));
    }
    const memory_charge readAheadCharge(thread.shared->memory, parser->is_done() ? 0 : bodyReadAhead);
    parseReadAhead(*connection, *parser, code);
    while (!code && !parser->is_done()) {
        const bool received = co_await readBodyPart(thread, connection, parser, code, rejection);
        if (!received) {
            parser->get().body() = {}; // The refusal may take long to write.
            co_return false;
        }
        if (!code) {
            parseReadAhead(*connection, *parser, code);
        }
    }
    if (connection->buffer.size() == 0 && connection->buffer.capacity() > readAhead) {
        connection->buffer.shrink_to_fit();
    }
    if (code) {
        rejection =
            code == http::error::body_limit ? caller_refusal{413, "body-too-large"} : caller_refusal{400, "bad-body"};
        parser->get().body() = {};
    }
    co_return !code;
}

/** Whether the limits for callers are those of tables that the daemon has not received yet. */
bool awaitsLimits(const daemon_shared &shared, const routing_view &view)
{
    return shared.settings.roster && !view.table;
}

/** Validates the headers, then reads the body and finds the key. */
asio::awaitable<std::optional<routed_request>> acceptRequest(traffic_thread &thread,
                                                             std::shared_ptr<const routing_view> view,
                                                             std::shared_ptr<caller_connection> connection,
                                                             std::shared_ptr<caller_parser> parser,
                                                             caller_refusal &rejection)
{
    const std::string hostHeader(parser->get()[http::field::host]);
    const auto target = parseTarget(std::string(parser->get().target()), hostHeader);
    const auto *found = findRoute(*view, target.host, target.path);
    if (found == nullptr) {
        rejection = refusalWithoutRoute(hasRoutes(*view, thread.shared->settings.roster.has_value()));
        co_return std::nullopt;
    }
    auto route = *found;
    if (!isCallerAllowed(route, connection->address)) {
        rejection = {403, "caller-not-allowed"};
        co_return std::nullopt;
    }
    const bool read = co_await readBody(thread, connection, parser, route.maxBody, rejection);
    if (!read) {
        connection->keepAlive = false;
        co_return std::nullopt;
    }
    auto message = parser->release();
    if (target.host != hostHeader) {
        message.set(http::field::host, target.host);
    }
    http_request request{std::string(message.method_string()), target.path, copyEndToEndHeaders(message),
                         std::move(message.body())};
    auto resolved = resolveKey(route, *view, request, rejection);
    if (!resolved) {
        co_return std::nullopt;
    }
    route = std::move(resolved->route);
    const auto generatedId = makeRequestId(thread.random);
    const auto &settings = thread.shared->settings;
    const auto now = clock::now();
    const auto callerDeadline = requestedDeadline(request, thread.shared->names);
    // The deadlines of calls vary with the time that their target has left: a short one doesn't mean a retry.
    const auto callRank = rankIfCall(*thread.shared, findHeader(request.headers, thread.shared->names.requestId));
    const auto retryAge = callerDeadline && !callRank
        ? estimateRetryAge(thread.callerRetries, route.name, *callerDeadline, now)
        : milliseconds(0);
    const request_origin origin{thread.shared->names,
                                settings.roster ? settings.roster->pool : pool_id{},
                                generatedId,
                                thread.random(),
                                retryAge,
                                now};
    auto routed = makeRoutedRequest(route, std::move(request), std::move(resolved->key), origin);
    routed.host = target.host;
    markCall(*thread.shared, routed, callRank, retryAge);
    // Requests that arrive during a planned stop must end before the process does. Late in the stop, those that might
    // not are refused: a caller on a persistent connection can retry on another one.
    const auto stopDeadline = thread.shared->stopDeadline.load();
    if (thread.shared->stopping && routed.deadline > stopDeadline) {
        rejection = {serviceUnavailable, "leaving"};
        co_return std::nullopt;
    }
    routed.deadline = std::min(routed.deadline, stopDeadline);
    co_return routed;
}

/** Updates metrics and the log at the end of a request. */
void recordRequestEnd(traffic_thread &thread, const request_trace &trace, const request_outcome &outcome)
{
    const auto now = clock::now();
    countRequest(*thread.shared->metricsRegistry, trace, outcome, now);
    logRequest(thread.logBudget, trace, outcome, now);
    recordCallEnd(*thread.shared, trace, outcome, now);
    if (outcome.result != attempt_result::answered && !trace.route.empty() && !trace.call) {
        expectRetry(thread.callerRetries, trace.route, now);
    }
}

/** Serves one request after its headers were read. */
asio::awaitable<void> serveRequest(traffic_thread &thread, std::shared_ptr<caller_connection> connection,
                                   std::shared_ptr<caller_parser> parser)
{
    request_trace trace;
    trace.arrivedAt = clock::now();
    trace.id = std::string(parser->get()[thread.shared->names.requestId]);
    auto view = thread.shared->routing.load();
    trace.tables = tablesVersion(*view);
    caller_refusal rejection;
    const memory_charge charge(thread.shared->memory, requestBytes);
    std::optional<routed_request> request;
    const bool room = co_await makeMemoryRoom(thread, 0, requestBytes);
    if (room) {
        request = co_await acceptRequest(thread, std::move(view), connection, parser, rejection);
    } else {
        connection->keepAlive = false;
        rejection = {serviceUnavailable, "memory-full"};
    }
    if (!request) {
        request_outcome outcome;
        outcome.reasonText = rejection.reason;
        recordRequestEnd(thread, trace, outcome);
        auto response = refusalResponse(thread.shared->names, rejection);
        // The unread rest of the request would be parsed as the next one.
        connection->keepAlive = connection->keepAlive && parser->is_done();
        connection->unread = !parser->is_done();
        co_await writeResponse(connection, std::move(response));
        co_return;
    }
    connection->headOnly = request->http.method == "HEAD";
    const auto sink = makeCallerSink(connection, request->deadline);
    trace.id = request->id;
    trace.route = request->route;
    trace.pool = request->pool;
    trace.goal = request->goal;
    trace.call = request->call;
    const auto outcome = co_await routeRequest(thread, std::move(*request), sink, trace);
    trace.callerDisconnected = isDisconnected(*connection);
    if (outcome.result != attempt_result::answered && !connection->broken) {
        auto response = failureResponse(thread.shared->names, outcome);
        co_await writeResponse(connection, std::move(response));
    } else if (outcome.result == attempt_result::answered && outcome.complete) {
        co_await writeLastChunk(connection);
    }
    recordRequestEnd(thread, trace, outcome);
}

/** Why a request whose headers could not be read is refused. */
caller_refusal headRefusal(bool evicted, bool limitsUnknown, error_code code)
{
    if (evicted) {
        return {408, "stalled"};
    }
    if (code != http::error::header_limit) {
        return {400, "bad-request: " + code.message()};
    }
    // The tables may allow more than the limit that holds before them.
    return limitsUnknown ? caller_refusal{serviceUnavailable, "no-tables-yet"}
                         : caller_refusal{431, "headers-too-large"};
}

/** Refuses a request whose headers could not be read within the limits of a view. */
asio::awaitable<void> refuseMalformed(traffic_thread &thread, std::shared_ptr<caller_connection> connection,
                                      std::shared_ptr<const routing_view> view, error_code code)
{
    connection->keepAlive = false;
    const auto rejection = headRefusal(connection->evicted, awaitsLimits(*thread.shared, *view), code);
    request_trace trace;
    trace.arrivedAt = clock::now();
    trace.tables = tablesVersion(*view);
    trace.callerDisconnected = isDisconnected(*connection);
    request_outcome outcome;
    outcome.reasonText = rejection.reason;
    recordRequestEnd(thread, trace, outcome);
    auto response = refusalResponse(thread.shared->names, rejection);
    co_await writeResponse(connection, std::move(response));
}

caller_limits limitsOf(const routing_view &view)
{
    return view.table ? view.table->rows.limits : caller_limits{};
}

/**
 * Waits for the first byte of a request. Returns false if the connection has ended or is to be closed. A request whose
 * bytes have arrived when idle connections are closed is still read.
 */
asio::awaitable<bool> awaitRequest(traffic_thread &thread, std::shared_ptr<caller_connection> connection,
                                   milliseconds idleTime)
{
    auto &stream = connection->stream;
    error_code code;
    while (connection->buffer.size() == 0 && !connection->evicted
           && (!thread.callersClosing || stream.socket().available(code) > 0)) {
        stream.expires_after(idleTime);
        connection->awaitingRequest = true;
        connection->lastProgress = clock::now();
        const auto length = co_await stream.async_read_some(connection->buffer.prepare(readAhead), redirectError(code));
        connection->awaitingRequest = false;
        connection->buffer.commit(length);
        if (code && code != asio::error::operation_aborted) {
            break;
        }
    }
    co_return connection->buffer.size() > 0 && !connection->evicted;
}

/** Bytes of the headers of a request, with their separators and line ends. */
std::size_t headerBytes(const http::request_header<> &head)
{
    constexpr std::size_t separators = 4; // ": " and CRLF.
    std::size_t bytes = 0;
    for (const auto &field : head) {
        bytes += field.name_string().size() + field.value().size() + separators;
    }
    return bytes;
}

/** Reads one request and serves it. Its head must arrive within the header timeout. */
asio::awaitable<void> readAndServe(traffic_thread &thread, std::shared_ptr<caller_connection> connection)
{
    auto view = thread.shared->routing.load();
    const auto limits = limitsOf(*view);
    const auto parser = std::make_shared<caller_parser>();
    const auto headLimit = std::uint64_t{requestLineLimit} + limits.headerBytes;
    parser->header_limit(
        static_cast<std::uint32_t>(std::min<std::uint64_t>(headLimit, std::numeric_limits<std::uint32_t>::max())));
    parser->body_limit(
        std::numeric_limits<std::uint64_t>::max()); // The route's limit is applied once the route is known.
    connection->buffer.max_size(headLimit + readAheadLimit);
    connection->stream.expires_after(limits.headerTime);
    connection->held = connectionBytes;
    connection->lastProgress = clock::now();
    error_code code;
    co_await http::async_read_header(connection->stream, connection->buffer, *parser, redirectError(code));
    connection->held = 0;
    if (code == http::error::end_of_stream || (code && connection->buffer.size() == 0 && !parser->got_some())) {
        connection->keepAlive = false;
        co_return;
    }
    if (!code && headerBytes(parser->get()) > limits.headerBytes) {
        code = http::error::header_limit;
    }
    if (code) {
        co_await refuseMalformed(thread, connection, std::move(view), code);
        co_return;
    }
    view.reset(); // A request may last longer than its tables.
    connection->stream.expires_after(callerTransferTimeout);
    connection->keepAlive = parser->get().keep_alive() && !thread.shared->stopping;
    connection->headOnly = parser->get().method() == http::verb::head;
    co_await serveRequest(thread, connection, parser);
}

/** Serves the requests of a connection until it is to be closed. */
asio::awaitable<void> serveRequests(traffic_thread &thread, std::shared_ptr<caller_connection> connection)
{
    while (connection->keepAlive && !connection->broken) {
        const auto idleTime = limitsOf(*thread.shared->routing.load()).idleTime;
        const bool begun = co_await awaitRequest(thread, connection, idleTime);
        if (!begun) {
            break;
        }
        const request_count inFlight(*thread.shared);
        co_await readAndServe(thread, connection);
    }
    if (connection->unread) {
        co_await discardUnread(connection);
    }
}

asio::awaitable<void> serveCaller(traffic_thread &thread, std::shared_ptr<caller_connection> connection)
{
    // An error in one request must not leave its connection open, which its caller would wait for.
    try {
        co_await serveRequests(thread, connection);
    } catch (const std::exception &error) {
        logEvent(log_level::error, "caller-connection-failed", {{"reason", error.what()}});
        connection->broken = true;
    }
    closeConnection(*connection);
    thread.callers.erase(connection);
}

/** Starts serving a connection that was just accepted. */
void startCaller(traffic_thread &thread, tcp::socket socket)
{
    auto connection = std::make_shared<caller_connection>(std::move(socket));
    connection->names = &thread.shared->names;
    connection->lastProgress = clock::now();
    connection->charge.chargeTo(thread.shared->memory);
    connection->charge.add(connectionBytes);
    error_code code;
    using unsent_limit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
    connection->stream.socket().set_option(tcp::no_delay(true), code);
    connection->stream.socket().set_option(unsent_limit(unsentBytes), code);
    const auto remote = connection->stream.socket().remote_endpoint(code);
    connection->address = remote.address().to_string();
    thread.callers.insert(connection);
    asio::co_spawn(thread.context, serveCaller(thread, connection), asio::detached);
}

} // namespace

asio::awaitable<void> acceptCallers(traffic_thread &thread)
{
    const auto acceptor = thread.callerAcceptor;
    while (acceptor->is_open()) {
        error_code code;
        auto socket = co_await acceptor->async_accept(redirectError(code));
        if (!code && !makeConnectionRoom(thread)) {
            socket.close(code);
        } else if (!code) {
            startCaller(thread, std::move(socket));
        } else if (code == asio::error::operation_aborted) {
            break;
        } else {
            co_await sleepFor(milliseconds(10));
        }
    }
}

void closeIdleCallers(traffic_thread &thread)
{
    thread.callersClosing = true;
    for (const auto &connection : thread.callers) {
        if (connection->awaitingRequest) {
            connection->stream.cancel();
        }
    }
}

} // namespace quetzalspool
