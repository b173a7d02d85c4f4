/** @file bulk_window_base.h Congestion window for large responses over an instance's link. */
#ifndef BULK_WINDOW_BASE_H
#define BULK_WINDOW_BASE_H

#include "base_type.h"

namespace quetzalspool {

/** Limits of the window. */
struct bulk_window_limits
{
    milliseconds delayGoal{25}; ///< Queueing delay that large responses may add to other traffic on the link.
    std::size_t minBytes = 32768; ///< Minimum window.
    std::size_t maxBytes = 8388608; ///< Maximum window.
    milliseconds deliveryTimeout{400}; ///< Bytes unacknowledged for this long wait for their reader, not for the link.
};

/** Congestion window, derived from the delivery of large responses. All responses of one thread share it. */
struct bulk_window
{
    bulk_window_limits limits; ///< Limits.
    double windowBytes = 65536; ///< Current window: bytes of large responses that may be in flight.
    std::size_t inFlightBytes = 0; ///< Bytes of large responses sent and not acknowledged.
    bool slowStart = true; ///< Whether the window still grows exponentially: no delay beyond the goal was measured yet.
};

/** Delay of the path to one other daemon. */
struct path_delay
{
    std::optional<std::chrono::microseconds> baseDelay; ///< Shortest time from sending to acknowledgement.
};

/** One frame of a large response, from sending to acknowledgement. */
struct delivery
{
    std::size_t bytes = 0; ///< Bytes.
    bool windowLimited = false; ///< Whether more bytes were waiting for the window when it was sent.
    steady_time sentAt{}; ///< When it was sent.
};

} // namespace quetzalspool

#endif // BULK_WINDOW_BASE_H
