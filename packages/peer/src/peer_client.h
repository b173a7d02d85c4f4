/** @file peer_client.h The end that asks other daemons. */
#ifndef PEER_CLIENT_H
#define PEER_CLIENT_H

#include "asio_type.h"
#include "peer_type.h"

#include <memory>

namespace quetzalspool {

/** Sessions to other daemons, one each. Belongs to one thread. */
struct peer_client;

/** A request under way. */
struct peer_call;

/**
 * Makes a client without sessions.
 * @param executor Where it runs.
 * @return The client.
 */
std::shared_ptr<peer_client> makePeerClient(asio::any_io_executor executor);

/** How an attempt to open a call ended. */
struct opened_call
{
    std::shared_ptr<peer_call> call; ///< The call, or null if it could not be opened; then nothing was sent.
    last_reason why; ///< Why not.
};

/**
 * Sends a request.
 * @param client Client.
 * @param to Peer port of the other daemon.
 * @param request Request.
 * @param connectTimeout Bound on connecting.
 * @return The call.
 */
asio::awaitable<opened_call> openCall(std::shared_ptr<peer_client> client, endpoint to, peer_request request,
                                      milliseconds connectTimeout);

/**
 * Waits for the head of the answer.
 * @param call Call.
 * @param until Latest moment.
 * @return The head, or nothing; then classifyFailure tells what is known.
 */
asio::awaitable<std::optional<peer_response_head>> readResponseHead(std::shared_ptr<peer_call> call, steady_time until);

/**
 * Waits for a part of the body.
 * @param call Call.
 * @param until Latest moment.
 * @return The part, empty at the whole answer's end; nothing if the answer broke off.
 */
asio::awaitable<std::optional<std::string>> readBodyChunk(std::shared_ptr<peer_call> call, steady_time until);

/**
 * Reads a whole answer.
 * @param call Call.
 * @param until Latest moment.
 * @return Status, headers and body, or nothing if it did not come whole.
 */
asio::awaitable<std::optional<http_response>> readResponse(std::shared_ptr<peer_call> call, steady_time until);

/**
 * Tells what is known about a request that got no answer.
 * @param call Call.
 * @return Whether it is proved not processed.
 */
peer_failure classifyFailure(const peer_call &call);

/**
 * Tells whether a call can bring nothing more.
 * @param call Call.
 * @return Whether its stream is closed.
 */
bool isClosed(const peer_call &call);

/**
 * Tells whether the other daemon gives no sign of life: it, its instance or the way there may be gone.
 * @param call Call.
 * @return Whether it left a question for a sign of life unanswered.
 */
bool isPeerUnresponsive(const peer_call &call);

/**
 * Gives a request up.
 * @param call Call.
 */
void cancelCall(peer_call &call);

/**
 * Bytes carried so far.
 * @param client Client.
 * @return Bytes in both directions.
 */
std::uint64_t transferredBytes(const peer_client &client);

} // namespace quetzalspool

#endif // PEER_CLIENT_H
