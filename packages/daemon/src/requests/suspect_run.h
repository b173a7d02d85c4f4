/** @file suspect_run.h What is checked before a request runs at the local target, and recorded after it, because it may
 * crash the target. */
#ifndef SUSPECT_RUN_H
#define SUSPECT_RUN_H

#include "asio_type.h"
#include "outcome_type.h"
#include "shared_base.h"

namespace quetzalspool {

/**
 * Marks a request that may run only while no other suspect does.
 * @param shared Shared state.
 * @param request Request.
 * @param admissionRequest The request as admission control sees it; updated.
 * @param now Present time.
 * @return Outcome, if the request is quarantined and must not run at all.
 */
std::optional<request_outcome> checkSuspicion(daemon_shared &shared, const routed_request &request,
                                              admission_request &admissionRequest, steady_time now);

/**
 * Records whether the target survived a request that was handed to it. If the connection was lost, a target that takes
 * no connections has ended.
 * @param shared Shared state.
 * @param request Request.
 * @param id Id under which admission control knows it.
 * @param target Address of the target.
 * @param outcome How the exchange ended; updated if the target has ended.
 */
asio::awaitable<void> concludeRun(daemon_shared &shared, std::shared_ptr<const routed_request> request,
                                  std::uint64_t id, endpoint target, request_outcome &outcome);

/**
 * Finds out whether the target has ended, after a connection to it could not be made. Requests that were given up
 * before may have crashed it.
 * @param shared Shared state.
 * @param target Address of the target.
 */
asio::awaitable<void> checkTargetEnded(daemon_shared &shared, endpoint target);

} // namespace quetzalspool

#endif // SUSPECT_RUN_H
