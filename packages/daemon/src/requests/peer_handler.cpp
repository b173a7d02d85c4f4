/** @file peer_handler.cpp Handlers of requests from other daemons. */
#include "peer_handler.h"

#include "caller_eviction.h"
#include "document_wire.h"
#include "elapsed_clock.h"
#include "local_attempt.h"
#include "mirror_func.h"
#include "peer_wire.h"
#include "request_count.h"
#include "speed_exchange.h"

#include <sstream>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr unsigned gatewayTimeout = 504; ///< Status if the store did not answer, or changes are not available.
constexpr std::uint64_t bulkThreshold =
    16384; ///< Bytes of a body that are sent without the flow control of bulk responses.

/** Adds the header that tells that the local target is leaving, if it is. */
void addLeavingHeader(daemon_shared &shared, std::vector<http_header> &headers)
{
    if (const auto leaving = currentLeavingTarget(shared.admissionControl)) {
        headers.emplace_back(leavingHeader, encodeLeavingTarget(*leaving, clock::now()));
    }
}

/** Marks a response as one that another daemon has to read, while a part of it is sent. */
struct unsent_mark
{
    unsent_mark(traffic_thread &markedAt, std::shared_ptr<peer_responder> responder)
        : thread(markedAt)
        , response{std::move(responder), clock::now()}
    {
        thread.unsentResponses.insert(&response);
    }
    ~unsent_mark()
    {
        thread.unsentResponses.erase(&response);
    }
    unsent_mark(const unsent_mark &) = delete;
    unsent_mark &operator=(const unsent_mark &) = delete;

    traffic_thread &thread; ///< Traffic thread.
    unsent_response response; ///< Response.
};

asio::awaitable<bool> sendMarkedChunk(traffic_thread &thread, std::shared_ptr<peer_responder> responder,
                                      std::string chunk)
{
    const unsent_mark mark(thread, responder);
    co_return co_await sendBodyChunk(responder, std::move(chunk));
}

/** Makes a sink that sends a response to another daemon. A body of unknown length becomes a bulk response once it
 * exceeds the threshold.
 */
std::shared_ptr<response_sink> makePeerSink(traffic_thread &thread,
                                            const std::shared_ptr<const routed_request> &request,
                                            const std::shared_ptr<peer_responder> &responder)
{
    auto sink = std::make_shared<response_sink>();
    const auto bytes = std::make_shared<std::uint64_t>(0);
    auto &shared = *thread.shared;
    sink->writeHead = [&shared, request, responder](unsigned status, std::vector<http_header> headers,
                                                    std::optional<std::uint64_t> length) -> asio::awaitable<bool> {
        if (length.value_or(0) > bulkThreshold) {
            sendAsBulk(*responder);
        }
        const auto speed = currentSpeed(shared, *request);
        auto encoded = encodeResponseHeaders(headers, length, speed.loadPerSlot, speed.serviceMs);
        addLeavingHeader(shared, encoded);
        sendResponseHead(*responder, status, std::move(encoded));
        co_return !isCancelled(*responder);
    };
    sink->writeChunk = [&thread, responder, bytes](std::string chunk) {
        *bytes += chunk.size();
        if (*bytes > bulkThreshold) {
            sendAsBulk(*responder);
        }
        return sendMarkedChunk(thread, responder, std::move(chunk));
    };
    sink->finish = [responder](bool complete) { complete ? endResponse(*responder) : abortResponse(*responder); };
    sink->isCancelled = [responder] { return isCancelled(*responder); };
    return sink;
}

/**
 * Records the daemon that forwarded a request while the store does not answer: a daemon that has just started knows no
 * other daemon through which it could reach the store.
 */
void recordSender(daemon_shared &shared, const peer_request &message)
{
    if (shared.storeReachable) {
        return;
    }
    const auto sender = parseEndpoint(findHeader(message.headers, senderHeader));
    if (sender) {
        shared.lastSender.store(std::make_shared<const endpoint>(*sender));
    }
}

/** Applies what the sender remembers of this daemon's target: the run before may have told it. */
void applyReminder(daemon_shared &shared, const peer_request &message)
{
    const auto now = clock::now();
    const auto leaving = decodeLeavingTarget(findHeader(message.headers, leavingHeader), now);
    if (leaving && applyLeavingReminder(shared.admissionControl, *leaving, now)) {
        logReminder(*leaving, now);
    }
}

asio::awaitable<void> handleAttempt(traffic_thread &thread, peer_request message,
                                    std::shared_ptr<peer_responder> responder)
{
    recordSender(*thread.shared, message);
    applyReminder(*thread.shared, message);
    auto request = decodeRequest(std::move(message), thread.shared->names, clock::now());
    request_outcome outcome{attempt_result::not_run, refusal::none, "bad-message"};
    const bool decoded = request.has_value();
    const auto held = std::make_shared<routed_request>(decoded ? std::move(*request) : routed_request());
    if (decoded) {
        held->fingerprint = fingerprintOf(*held, thread.shared->names);
        recordNews(thread.shared->crashRegistry, {held->fingerprint, held->crashes}, clock::now());
        // The attempt refuses the request if there is no room.
        co_await makeMemoryRoom(thread, 0, 0);
        const auto sink = makePeerSink(thread, held, responder);
        outcome = co_await attemptLocally(*thread.shared, thread.targetClient, held, sink);
    }
    if (outcome.result != attempt_result::answered) {
        const auto speed = currentSpeed(*thread.shared, *held);
        outcome.loadPerSlot = speed.loadPerSlot;
        outcome.serviceMs = speed.serviceMs;
        auto encoded = encodeOutcome(outcome);
        addLeavingHeader(*thread.shared, encoded);
        sendEmptyResponse(*responder, 200, std::move(encoded));
    }
}

/**
 * Relays a call to the store for another daemon. If the store doesn't answer this daemon either, the call fails at
 * once, so that an outage does not multiply the calls.
 */
asio::awaitable<void> handleStoreCall(traffic_thread &thread, peer_request request,
                                      std::shared_ptr<peer_responder> responder)
{
    last_reason why;
    std::optional<http_response> response;
    if (thread.shared->storeReachable) {
        http_request call{findHeader(request.headers, "qs-method"),
                          findHeader(request.headers, "qs-path"),
                          {},
                          std::move(request.body)};
        if (!call.body.empty()) {
            call.headers.emplace_back("Content-Type", findHeader(request.headers, "qs-content-type"));
        }
        const milliseconds timeout(std::atoll(findHeader(request.headers, "qs-deadline-ms").c_str()));
        response = co_await sendRequest(thread.storePool, thread.shared->settings.store, std::move(call), timeout, why);
    }
    const auto headers = response ? encodeStoreHeaders(response->headers) : std::vector<http_header>();
    sendResponseHead(*responder, response ? response->status : gatewayTimeout, headers);
    if (response && !response->body.empty()) {
        co_await sendBodyChunk(responder, std::move(response->body));
    }
    endResponse(*responder);
}

/** Parses a request for changes; if the header is missing, it names no prefix. */
changes_request parseChangesRequest(const peer_request &request)
{
    changes_request changesRequest;
    changesRequest.node.value = findHeader(request.headers, "qs-node");
    std::istringstream revisions(findHeader(request.headers, "qs-seen"));
    for (std::string item; std::getline(revisions, item, ',');) {
        changesRequest.revisions.push_back({std::atoll(item.c_str())});
    }
    changesRequest.restoresPacked = findHeader(request.headers, "qs-packed") == "1";
    changesRequest.readsPackedUpdates = findHeader(request.headers, "qs-packs") == "1";
    changesRequest.knowsEras = !findHeader(request.headers, "qs-era").empty();
    const auto version = findHeader(request.headers, "qs-version");
    if (!version.empty()) {
        changesRequest.version = std::strtoull(version.c_str(), nullptr, 10);
    }
    return changesRequest;
}

/** Sends another daemon the changes of the store that it requests. */
asio::awaitable<void> handleChanges(traffic_thread &thread, peer_request request,
                                    std::shared_ptr<peer_responder> responder)
{
    const auto &handler = thread.shared->handleChangesRequest;
    std::optional<changes_response> response;
    if (handler) {
        auto changesRequest = parseChangesRequest(request);
        response = co_await handler(std::move(changesRequest));
    }
    sendResponseHead(*responder, response ? 200 : gatewayTimeout, {});
    if (response) {
        auto body = encodeChanges(*response);
        co_await sendBodyChunk(responder, std::move(body));
    }
    endResponse(*responder);
}

} // namespace

asio::awaitable<void> handlePeerRequest(traffic_thread &thread, peer_request request,
                                        std::shared_ptr<peer_responder> responder)
{
    if (request.path == attemptPath) {
        const request_count inFlight(*thread.shared);
        co_await handleAttempt(thread, std::move(request), responder);
        co_return;
    }
    if (request.path == cancelPath) {
        const incarnation_id incarnation{std::strtoull(findHeader(request.headers, "qs-run").c_str(), nullptr, 10)};
        const bool cancelled = cancelLocalAttempt(*thread.shared, incarnation, findHeader(request.headers, "qs-id"),
                                                  findHeader(request.headers, "qs-attempt"));
        sendEmptyResponse(*responder, 200, {{"qs-cancelled", cancelled ? "1" : "0"}});
        co_return;
    }
    if (request.path == changesPath) {
        co_await handleChanges(thread, std::move(request), responder);
        co_return;
    }
    if (request.path == storePath) {
        co_await handleStoreCall(thread, std::move(request), responder);
        co_return;
    }
    const auto body = handleDocumentRequest(*thread.shared->catalog.load(), request, clock::now());
    sendResponseHead(*responder, body ? 200 : 400, {});
    if (body) {
        co_await sendBodyChunk(responder, *body);
    }
    endResponse(*responder);
}

bool isControlPath(const std::string &path)
{
    return path != attemptPath && path != cancelPath;
}

} // namespace quetzalspool
