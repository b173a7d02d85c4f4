/** @file shared_base.h State shared by the threads of a daemon. */
#ifndef SHARED_BASE_H
#define SHARED_BASE_H

#include "admission_control.h"
#include "asio_type.h"
#include "catalog_base.h"
#include "crash_registry.h"
#include "header_profile.h"
#include "http_type.h"
#include "metrics_func.h"
#include "mirror_type.h"
#include "routing_base.h"
#include "sent_bytes.h"
#include "settings_type.h"

#include <atomic>
#include <memory>

namespace quetzalspool {

/** An immutable copy of all documents, read when other daemons request documents. */
using catalog_snapshot = std::shared_ptr<const catalog_state>;

/** Shared state. Views are immutable and replaced atomically: traffic threads never wait for the control thread. */
struct daemon_shared
{
    daemon_settings settings; ///< Settings.
    header_profile names; ///< Header names of this deployment.
    incarnation_id incarnation; ///< Incarnation of this process.
    std::atomic<std::shared_ptr<const routing_view>> routing; ///< Current routing view.
    std::atomic<catalog_snapshot> catalog; ///< Current documents.
    admission_control admissionControl; ///< Admission control of the local target.
    std::shared_ptr<memory_meter> memory = std::make_shared<memory_meter>(); ///< Memory kept for others.
    std::atomic<std::uint64_t> targetBodyBytes = 0; ///< Bytes of the bodies that the local target holds.
    std::size_t maxCallers = std::numeric_limits<std::size_t>::max(); ///< Connections of callers for each thread.
    crash_registry crashRegistry; ///< Requests suspected of crashing targets.
    std::mutex leavingTargetsMutex; ///< Guards `leavingTargets`.
    leaving_targets
        leavingTargets; ///< Targets of other instances of which this daemon has heard that they are leaving.
    std::shared_ptr<metrics> metricsRegistry = makeMetrics(); ///< Metrics.
    std::atomic<bool> storeReachable = true; ///< Whether the store answered this daemon's last call.
    std::atomic<std::shared_ptr<const endpoint>>
        lastSender; ///< Peer address of the daemon that last forwarded a request here while the store did not answer;
                    ///< null before the first.
    std::function<asio::awaitable<std::optional<changes_response>>(changes_request)>
        handleChangesRequest; ///< Handles another daemon's request for changes of the store; null if not supported. Set
                              ///< before the threads start.
    std::function<asio::awaitable<http_response>(std::string)>
        answerWhere; ///< Answers a query of the admin port, given with its path, where a request would go. Set before
                     ///< the threads start.
    std::atomic<steady_time> stopDeadline{steady_time::max()}; ///< Latest deadline of a request in a planned stop.
    std::atomic<bool> stopping =
        false; ///< Whether the listeners are being closed, in the last phase of a planned stop.
    std::atomic<std::uint64_t> requestsInFlight =
        0; ///< Requests of callers, from their first byte on, and of peers in progress.
    std::shared_ptr<sent_bytes> sentBytes = std::make_shared<sent_bytes>(); ///< Bytes sent to daemons and the store.
    std::atomic<std::uint64_t> crossRegionBytes = 0; ///< Bytes of request and response bodies sent between regions.
};

} // namespace quetzalspool

#endif // SHARED_BASE_H
