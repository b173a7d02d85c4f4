/** @file peer_handler.cpp Answering other daemons: runs, cancellations, documents. */
#include "peer_handler.h"

#include "admission_func.h"
#include "documents.h"
#include "elapsed_clock.h"
#include "local_attempt.h"
#include "mirror_func.h"
#include "peer_wire.h"

#include <sstream>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr unsigned noAnswer = 504; ///< The store did not answer.
constexpr std::uint64_t smallAnswer = 16384; ///< Bytes of a body that are sent at once, whatever else is under way.

double busyNow(daemon_shared &shared)
{
    const std::lock_guard lock(shared.admission.mutex);
    return loadPerSlot(shared.admission.admission);
}

/** A sink that passes an answer back to another daemon. A body whose length is not known is large once it proves so. */
std::shared_ptr<answer_sink> sinkTo(daemon_shared &shared, const std::shared_ptr<peer_responder> &responder)
{
    auto sink = std::make_shared<answer_sink>();
    const auto bytes = std::make_shared<std::uint64_t>(0);
    sink->head = [&shared, responder](unsigned status, std::vector<http_header> headers,
                                      std::optional<std::uint64_t> length) -> asio::awaitable<bool> {
        if (length.value_or(0) > smallAnswer) {
            sendAsBulk(*responder);
        }
        sendResponseHead(*responder, status, answerHeaders(headers, length, busyNow(shared)));
        co_return !isCancelled(*responder);
    };
    sink->part = [responder, bytes](std::string part) {
        *bytes += part.size();
        if (*bytes > smallAnswer) {
            sendAsBulk(*responder);
        }
        return sendBodyChunk(responder, std::move(part));
    };
    sink->end = [responder](bool whole) { whole ? endResponse(*responder) : abortResponse(*responder); };
    sink->abandoned = [responder] { return isCancelled(*responder); };
    return sink;
}

/**
 * Remembers who passed a request on, while the store does not answer here: a daemon that has just started then knows
 * nobody else through whom to reach the store.
 */
void noteNeighbour(daemon_shared &shared, const peer_request &message)
{
    if (shared.storeHeard) {
        return;
    }
    const auto sender = parseEndpoint(findHeader(message.headers, senderHeader));
    if (sender) {
        shared.neighbour.store(std::make_shared<const endpoint>(*sender));
    }
}

asio::awaitable<void> answerRun(traffic_thread &thread, peer_request message, std::shared_ptr<peer_responder> responder)
{
    noteNeighbour(*thread.shared, message);
    auto request = fromPeer(std::move(message), clock::now());
    request_outcome outcome{attempt_result::not_run, refusal::none, "bad-message"};
    if (request) {
        const auto held = std::make_shared<routed_request>(std::move(*request));
        outcome = co_await runLocally(*thread.shared, thread.targets, held, sinkTo(*thread.shared, responder));
    }
    if (outcome.result != attempt_result::answered) {
        outcome.busy = busyNow(*thread.shared);
        sendResponseHead(*responder, 200, outcomeHeaders(outcome));
        endResponse(*responder);
    }
}

/**
 * Makes a call to the store for another daemon. One that has lost the store itself says so at once, so that an outage
 * does not multiply the calls.
 */
asio::awaitable<void> answerRelay(traffic_thread &thread, peer_request request,
                                  std::shared_ptr<peer_responder> responder)
{
    last_reason why;
    std::optional<http_response> reply;
    if (thread.shared->storeHeard) {
        http_request call{findHeader(request.headers, "qs-method"),
                          findHeader(request.headers, "qs-path"),
                          {},
                          std::move(request.body)};
        if (!call.body.empty()) {
            call.headers.emplace_back("Content-Type", findHeader(request.headers, "qs-content-type"));
        }
        const milliseconds timeout(std::atoll(findHeader(request.headers, "qs-deadline-ms").c_str()));
        reply = co_await sendRequest(thread.storePool, thread.shared->settings.store, std::move(call), timeout, why);
    }
    sendResponseHead(*responder, reply ? reply->status : noAnswer, {});
    if (reply && !reply->body.empty()) {
        co_await sendBodyChunk(responder, std::move(reply->body));
    }
    endResponse(*responder);
}

/** Reads a question for changes; what can't be read names no prefix. */
changes_request questionFrom(const peer_request &request)
{
    changes_request question{{findHeader(request.headers, "qs-node")}, {}};
    std::istringstream seen(findHeader(request.headers, "qs-seen"));
    for (std::string part; std::getline(seen, part, ',');) {
        question.revisions.push_back({std::atoll(part.c_str())});
    }
    return question;
}

/** Tells another daemon of changes of the store. */
asio::awaitable<void> answerQuestion(traffic_thread &thread, peer_request request,
                                     std::shared_ptr<peer_responder> responder)
{
    const auto &answers = thread.shared->answerChanges;
    std::optional<changes_response> answer;
    if (answers) {
        auto question = questionFrom(request);
        answer = co_await answers(std::move(question));
    }
    sendResponseHead(*responder, answer ? 200 : noAnswer, {});
    if (answer) {
        auto body = encodeChanges(*answer);
        co_await sendBodyChunk(responder, std::move(body));
    }
    endResponse(*responder);
}

} // namespace

asio::awaitable<void> answerPeer(traffic_thread &thread, peer_request request,
                                 std::shared_ptr<peer_responder> responder)
{
    if (request.path == runPath) {
        ++thread.shared->requestsOpen;
        co_await answerRun(thread, std::move(request), responder);
        --thread.shared->requestsOpen;
        co_return;
    }
    if (request.path == cancelPath) {
        const incarnation_id run{std::strtoull(findHeader(request.headers, "qs-run").c_str(), nullptr, 10)};
        const bool proved = cancelLocally(*thread.shared, run, findHeader(request.headers, "qs-id"),
                                          findHeader(request.headers, "qs-attempt"));
        sendResponseHead(*responder, 200, {{"qs-cancelled", proved ? "1" : "0"}});
        endResponse(*responder);
        co_return;
    }
    if (request.path == changesPath) {
        co_await answerQuestion(thread, std::move(request), responder);
        co_return;
    }
    if (request.path == storePath) {
        co_await answerRelay(thread, std::move(request), responder);
        co_return;
    }
    const auto body = answerDocuments(*thread.shared->catalog.load(), request);
    sendResponseHead(*responder, body ? 200 : 400, {});
    if (body) {
        co_await sendBodyChunk(responder, *body);
    }
    endResponse(*responder);
}

} // namespace quetzalspool
