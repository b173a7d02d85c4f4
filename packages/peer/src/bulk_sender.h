/**
 * @file bulk_sender.h Flow control of the large responses of one thread. Internal to the package.
 *
 * The instance's link carries large (bulk) responses beside everything else. Each DATA frame of a bulk response needs a
 * permit, and a ping follows it: the acknowledgement of the ping shows that the other daemon has read everything before
 * it. Small responses and all other frames need no permit.
 */
#ifndef BULK_SENDER_H
#define BULK_SENDER_H

#include "asio_type.h"
#include "bulk_window_base.h"

#include <map>
#include <memory>

namespace quetzalspool {

struct h2_session;
struct h2_stream;

/** A DATA frame that has a permit, or was sent and is not acknowledged yet. */
struct bulk_frame
{
    std::weak_ptr<h2_session> session; ///< Session that sends the frame.
    delivery sent; ///< Bytes and time of sending; of the permit until the frame is sent.
};

/** A bulk response that waits for a permit. */
struct bulk_waiter
{
    std::weak_ptr<h2_session> session; ///< Session.
    std::weak_ptr<h2_stream> stream; ///< Stream.
};

/** Flow control of all bulk responses of one thread. */
struct bulk_sender
{
    explicit bulk_sender(const asio::any_io_executor &executor)
        : timer(executor)
    { }

    bulk_window window; ///< Bytes that may be in flight.
    std::map<std::uint64_t, bulk_waiter> waiters; ///< Waiting responses, served in the order in which they began.
    std::map<std::uint64_t, bulk_frame> frames; ///< Frames in flight by number, oldest first.
    std::uint64_t nextNumber = 1; ///< Number of the next response or frame.
    asio::steady_timer timer; ///< Expires with the oldest frame.
    bool grantScheduled = false; ///< Whether a call of grantPermits is posted.
};

/**
 * Marks a response as a bulk response, whose DATA frames need permits.
 * @param sender Flow control of the thread.
 * @param stream Stream of the response.
 */
void beginBulk(bulk_sender &sender, h2_stream &stream);

/**
 * Tells whether a bulk response has a permit for a frame. If not, queues the response: its stream is resumed when the
 * permit is granted.
 * @param session Session.
 * @param stream Stream of the response.
 * @return Whether a frame may be sent now.
 */
bool acquirePermit(h2_session &session, h2_stream &stream);

/**
 * Records that a frame was passed to the session, uses up its permit, and submits the ping that follows the frame.
 * @param session Session.
 * @param stream Stream of the response, which has a permit.
 * @param bytes Payload bytes of the frame.
 * @param now Current time.
 */
void recordFrameSent(h2_session &session, h2_stream &stream, std::size_t bytes, steady_time now);

/**
 * Handles the acknowledgement of a ping: the session is responsive, and the frame before the ping was delivered.
 * @param session Session.
 * @param number Number in the payload of the ping: that of the frame before it.
 * @param now Current time.
 */
void recordFrameAcknowledged(h2_session &session, std::uint64_t number, steady_time now);

/**
 * Removes a response that has ended from the queue and releases its unused permit.
 * @param session Session.
 * @param stream Stream of the response.
 */
void removeBulkStream(h2_session &session, h2_stream &stream);

/**
 * Releases the frames in flight of a session that has ended.
 * @param session Session.
 */
void removeBulkSession(h2_session &session);

} // namespace quetzalspool

#endif // BULK_SENDER_H
