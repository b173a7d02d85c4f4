/** @file roster_exchange.h Changes of the store passed from daemon to daemon, so that few of them query it. */
#ifndef ROSTER_EXCHANGE_H
#define ROSTER_EXCHANGE_H

#include "roster_control.h"

namespace quetzalspool {

/** Result of polling an upstream daemon. */
enum class poll_result
{
    changed, ///< There were unknown changes.
    unchanged, ///< There was no unknown change.
    refused, ///< The other daemon has no fresh data, or its response could not be used.
    unresponsive, ///< There was no response.
};

/**
 * Polls one upstream daemon once.
 * @param control Control state.
 * @param at Its peer address.
 * @return Result; changes are applied.
 */
asio::awaitable<poll_result> pollUpstream(roster_control &control, endpoint at);

/**
 * Polls upstream daemons for changes until the process ends. While none responds, the store is watched instead.
 * @param control Control state.
 * @param onChange Called after each response.
 * @return An awaitable.
 */
asio::awaitable<void> pollUpstreams(roster_control &control, std::function<void()> onChange);

/**
 * Responds to a follower as soon as there is a change that it does not know, or when the long poll times out. Runs on
 * the control thread.
 * @param control Control state.
 * @param request What the follower knows already.
 * @return The changes, or nothing if the data of this daemon itself is not fresh, or the request does not fit its
 * prefixes.
 */
asio::awaitable<std::optional<changes_response>> handleChangesRequest(roster_control &control, changes_request request);

/**
 * Wakes waiting long polls if there was a change since the last call.
 * @param control Control state.
 */
void wakeLongPolls(roster_control &control);

} // namespace quetzalspool

#endif // ROSTER_EXCHANGE_H
