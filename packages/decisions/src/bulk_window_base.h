/** @file bulk_window_base.h The part of an instance's link that large answers may use. */
#ifndef BULK_WINDOW_BASE_H
#define BULK_WINDOW_BASE_H

#include "base_type.h"

namespace quetzalspool {

/** Limits of the part. */
struct bulk_window_limits
{
    milliseconds delayGoal{25}; ///< Time by which large answers may delay what else is sent over the link.
    std::size_t minBytes = 32768; ///< Bytes that may always be under way.
    std::size_t maxBytes = 8388608; ///< Bytes under way at most.
    milliseconds deliveryTimeout{
        400}; ///< Bytes not delivered after this long wait for their reader, not for this link.
};

/** What is known of the link from the delivery of large answers. All answers of one thread share it. */
struct bulk_window
{
    bulk_window_limits limits; ///< Limits.
    double windowBytes = 65536; ///< Bytes of large answers that may be under way.
    std::size_t inFlightBytes = 0; ///< Bytes of large answers sent and not delivered.
    bool slowStart = true; ///< Whether no delay beyond the goal was seen yet.
};

/** What is known of the way to one other daemon. */
struct path_delay
{
    std::optional<std::chrono::microseconds> baseDelay; ///< Shortest time in which a delivery was confirmed.
};

/** Some bytes of a large answer whose delivery has been confirmed. */
struct delivery
{
    std::size_t bytes = 0; ///< Bytes.
    bool windowLimited = false; ///< Whether more waited for room when they were sent.
    steady_time sentAt{}; ///< When they were sent.
};

} // namespace quetzalspool

#endif // BULK_WINDOW_BASE_H
