/** @file byte_metrics.cpp Metric of the bytes sent to other daemons and to the store. */
#include "byte_metrics.h"

namespace quetzalspool {

void showSentBytes(daemon_shared &shared)
{
    for (const auto kind : byteKinds) {
        for (const auto distance : byteDistances) {
            const auto name =
                std::string("sent_bytes_total{kind=\"") + nameOf(kind) + "\",distance=\"" + nameOf(distance) + "\"}";
            setCounter(*shared.metricsRegistry, name, *counterOf(shared.sentBytes, kind, distance));
        }
    }
}

} // namespace quetzalspool
