/** @file target_func.h Handing requests to a target over HTTP/1.1, with streamed answers. */
#ifndef TARGET_FUNC_H
#define TARGET_FUNC_H

#include "asio_type.h"
#include "http_type.h"

#include <memory>

namespace quetzalspool {

/** Kept connections to targets. Belongs to one thread. */
struct target_client;

/** One exchange with a target. */
struct target_exchange;

/** Names by which a target's answers are understood. */
struct target_rules
{
    std::string notRun; ///< Header of the contract's refusal.
    std::string requestId; ///< Header that echoes the request's id; empty if it is not checked.
    bool unframed = false; ///< Whether an answer may end with its connection, without a length.
};

/** The head of a target's answer. */
struct target_head
{
    unsigned status = 0; ///< Status code.
    std::vector<http_header> headers; ///< Headers, without those of the connection.
    std::optional<std::uint64_t> length; ///< Bytes of the body, if the target said.
    std::string notRun; ///< Reason given with the contract's refusal; empty if it is none.
};

/**
 * Makes a client without connections.
 * @param rules Names in the targets' answers.
 * @return The client.
 */
std::shared_ptr<target_client> makeTargetClient(target_rules rules);

/**
 * Gets a connection to a target.
 * @param client Client.
 * @param address Target.
 * @param maxIdleTime A kept connection that was idle for longer is not used: the target may close it while a request
 *                   is on its way. 0 always makes a new one.
 * @param timeout Bound on connecting.
 * @param why Receives the reason.
 * @return The exchange, or null; then nothing was sent.
 */
asio::awaitable<std::shared_ptr<target_exchange>> openTarget(std::shared_ptr<target_client> client, endpoint address,
                                                             milliseconds maxIdleTime, milliseconds timeout,
                                                             last_reason &why);

/**
 * Sends a request. From the call on, the target may run it.
 * @param exchange Exchange.
 * @param request Request.
 * @param deadline Latest moment.
 * @param why Receives the reason.
 * @return Whether it was sent whole.
 */
asio::awaitable<bool> sendToTarget(std::shared_ptr<target_exchange> exchange, http_request request,
                                   steady_time deadline, last_reason &why);

/**
 * Waits for the head of the answer. One that bears another request's id belongs to an earlier request: the connection
 * is then of no use.
 * @param exchange Exchange.
 * @param deadline Latest moment.
 * @param why Receives the reason.
 * @return The head, or nothing.
 */
asio::awaitable<std::optional<target_head>> readTargetHead(std::shared_ptr<target_exchange> exchange,
                                                           steady_time deadline, last_reason &why);

/**
 * Waits for a part of the body.
 * @param exchange Exchange.
 * @param deadline Latest moment.
 * @param why Receives the reason.
 * @return The part, empty at the whole answer's end; nothing if the answer broke off.
 */
asio::awaitable<std::optional<std::string>> readTargetPart(std::shared_ptr<target_exchange> exchange,
                                                           steady_time deadline, last_reason &why);

/**
 * Ends an exchange. A connection whose answer was read whole is kept; any other is closed, which tells the target
 * that nobody waits any longer.
 * @param client Client.
 * @param exchange Exchange.
 */
void closeTarget(target_client &client, const std::shared_ptr<target_exchange> &exchange);

/**
 * Breaks an exchange off from elsewhere on the same thread; its reader gets an error.
 * @param exchange Exchange.
 */
void cancelTarget(target_exchange &exchange);

} // namespace quetzalspool

#endif // TARGET_FUNC_H
