/** @file target_func.h HTTP/1.1 client for requests to targets, with streamed responses. */
#ifndef TARGET_FUNC_H
#define TARGET_FUNC_H

#include "asio_type.h"
#include "http_type.h"
#include "target_notice.h"

#include <memory>

namespace quetzalspool {

/** Pool of idle connections to targets. Not thread-safe: used by one thread. */
struct target_client;

/** A connection to a target with one request and its response. */
struct target_exchange;

/** How the responses of targets are interpreted. */
struct target_rules
{
    std::string notRun; ///< Header by which a target states that it did not run the request.
    std::string requestId; ///< Header that echoes the request's id; empty to skip the check.
    bool unframed = false; ///< Whether a response without a length may end when its connection closes.
    std::string limit; ///< Header with the requests per second that the target takes; empty if there is none.
    std::string leaving; ///< Header by which the target says that it is leaving; empty if there is none.
    std::string cold; ///< Header with the milliseconds for which the target is still cold; empty if there is none.
    std::string load; ///< Header by which the target states its load; empty if there is none.
};

/** Status and headers of a target's response. */
struct target_head
{
    unsigned status = 0; ///< Status code.
    std::vector<http_header> headers; ///< Headers, without hop-by-hop headers.
    std::optional<std::uint64_t> length; ///< Bytes of the body, if the target announced them.
    std::string notRun; ///< Why the target did not run the request; empty if it may have run it.
    target_notice notice; ///< What the response says about the target, also if it may belong to an earlier request.
};

/**
 * Returns whether the connection shows that the target may have restarted: it was refused or reset, or it ended before
 * a response was complete, or all idle connections to the target had been closed.
 * @param exchange Exchange.
 * @return True if it may have restarted.
 */
bool showsRestart(const target_exchange &exchange);

/**
 * Creates a client without connections.
 * @param rules How the targets' responses are interpreted.
 * @return The client.
 */
std::shared_ptr<target_client> makeTargetClient(target_rules rules);

/**
 * Reuses an idle connection to a target or opens a new one. A connection on which the target has refused the same
 * request is not reused for it: a second copy of that refusal would name the request too.
 * @param client Client.
 * @param address Target.
 * @param requestId Id of the request that will be sent; empty if the target does not echo it.
 * @param maxIdleTime Connections that were idle for longer are not reused, because the target may close them while a
 *                    request is on its way. 0 always opens a new one. Milliseconds.
 * @param timeout Time limit for connecting, in milliseconds.
 * @param why Receives the reason for a failure.
 * @return The exchange, or null; then nothing was sent.
 */
asio::awaitable<std::shared_ptr<target_exchange>> openTarget(std::shared_ptr<target_client> client, endpoint address,
                                                             std::string requestId, milliseconds maxIdleTime,
                                                             milliseconds timeout, last_reason &why);

/**
 * Sends a request. The target may run it from this call on, even if sending fails.
 * @param exchange Exchange.
 * @param request Request.
 * @param deadline When to give up sending.
 * @param why Receives the reason for a failure.
 * @return Whether the request was sent completely.
 */
asio::awaitable<bool> sendToTarget(std::shared_ptr<target_exchange> exchange, http_request request,
                                   steady_time deadline, last_reason &why);

/**
 * Reads the head of the response. Fails if the response echoes the id of another request: it answers an earlier
 * request, and the connection must not be used any more. Fails also if the response states that a request did not run,
 * and does not certainly mean this one.
 * @param exchange Exchange.
 * @param deadline When to give up reading.
 * @param why Receives the reason for a failure.
 * @return The head, or nothing after a failure.
 */
asio::awaitable<std::optional<target_head>> readTargetHead(std::shared_ptr<target_exchange> exchange,
                                                           steady_time deadline, last_reason &why);

/**
 * Reads the next part of the body.
 * @param exchange Exchange.
 * @param deadline When to give up reading.
 * @param why Receives the reason for a failure.
 * @return The part, empty at the end of a complete response; nothing if the response is truncated or late.
 */
asio::awaitable<std::optional<std::string>> readTargetPart(std::shared_ptr<target_exchange> exchange,
                                                           steady_time deadline, last_reason &why);

/**
 * Ends an exchange. The connection is kept for reuse if the response was read completely. Otherwise it is closed, so
 * that the target can see that nobody waits for the response.
 * @param client Client.
 * @param exchange Exchange.
 */
void closeTarget(target_client &client, const std::shared_ptr<target_exchange> &exchange);

/**
 * Tells whether a target has ended.
 * @param address Target.
 * @param timeout Time limit for connecting.
 * @return Whether it refuses connections; false also if nothing is known within the time limit.
 */
asio::awaitable<bool> refusesConnections(endpoint address, milliseconds timeout);

/**
 * Aborts an exchange from another coroutine on the same thread; pending reads and writes fail.
 * @param exchange Exchange.
 */
void cancelTarget(target_exchange &exchange);

} // namespace quetzalspool

#endif // TARGET_FUNC_H
