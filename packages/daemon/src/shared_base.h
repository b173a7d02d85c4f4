/** @file shared_base.h What the threads of a daemon share. */
#ifndef SHARED_BASE_H
#define SHARED_BASE_H

#include "admission_control.h"
#include "asio_type.h"
#include "catalog_base.h"
#include "header_profile.h"
#include "metrics_func.h"
#include "mirror_type.h"
#include "routing_base.h"
#include "settings_type.h"

#include <atomic>
#include <memory>

namespace quetzalspool {

/** An immutable copy of all documents, for answering other daemons. */
using catalog_snapshot = std::shared_ptr<const catalog_state>;

/** Shared state. Views are replaced whole; traffic threads never wait for the control thread. */
struct daemon_shared
{
    daemon_settings settings; ///< Settings.
    header_profile names; ///< Header names of this deployment.
    incarnation_id incarnation; ///< This run.
    std::atomic<std::shared_ptr<const routing_view>> routing; ///< Present view.
    std::atomic<catalog_snapshot> catalog; ///< Present documents.
    admission_control admissionControl; ///< Admission beside the target.
    std::shared_ptr<metrics> metricsRegistry = makeMetrics(); ///< Metrics.
    std::atomic<bool> storeReachable = true; ///< Whether the store answered the last call made from here.
    std::atomic<std::shared_ptr<const endpoint>> lastSender; ///< Where the daemon listens for others that last passed a
                                                             ///< request to this one; null before the first.
    std::function<asio::awaitable<std::optional<changes_response>>(changes_request)>
        handleChangesRequest; ///< Tells another daemon of changes of the store; null where that is not done. Set before
                              ///< threads start.
    std::atomic<steady_time> stopDeadline{steady_time::max()}; ///< In a planned stop: requests are answered by then.
    std::atomic<bool> stopping = false; ///< Whether a planned stop is under way.
    std::atomic<std::uint64_t> requestsInFlight = 0; ///< Callers' requests and peers' requests under way.
    std::atomic<std::uint64_t> crossRegionBytes =
        0; ///< Bytes of bodies, requests and answers, exchanged with other regions.
};

} // namespace quetzalspool

#endif // SHARED_BASE_H
