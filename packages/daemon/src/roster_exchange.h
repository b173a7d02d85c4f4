/** @file roster_exchange.h Changes of the store told from daemon to daemon, so that few of them ask the store. */
#ifndef ROSTER_EXCHANGE_H
#define ROSTER_EXCHANGE_H

#include "roster_control.h"

namespace quetzalspool {

/**
 * Asks other daemons for changes, for as long as the process runs. While none answers, the store is watched instead.
 * @param control Control state.
 * @param onChange Called after each answer.
 * @return An awaitable.
 */
asio::awaitable<void> pollUpstreams(roster_control &control, std::function<void()> onChange);

/**
 * Answers another daemon as soon as there is a change that it does not know, or after a while. Runs on the control
 * thread.
 * @param control Control state.
 * @param request Question.
 * @return The answer, or nothing if this daemon itself has not heard of the store lately.
 */
asio::awaitable<std::optional<changes_response>> handleChangesRequest(roster_control &control, changes_request request);

/**
 * Wakes the questions that wait, if there was a change.
 * @param control Control state.
 */
void wakeLongPolls(roster_control &control);

} // namespace quetzalspool

#endif // ROSTER_EXCHANGE_H
