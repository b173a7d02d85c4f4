/**
 * @file bulk_sender.h Large answers of one thread on their way over the instance's link. Internal to the package.
 *
 * A large answer is sent in pieces, each after a permit. A ping follows each piece: its acknowledgement shows that the
 * other daemon has read everything before it. Small answers and everything else need no permit.
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

/** A piece that has a permit, or was sent and is not known to be delivered. */
struct bulk_frame
{
    std::weak_ptr<h2_session> session; ///< Whose piece.
    delivery sent; ///< Bytes and moment; those of the permit until it is sent.
};

/** A large answer that waits for a permit. */
struct bulk_waiter
{
    std::weak_ptr<h2_session> session; ///< Session.
    std::weak_ptr<h2_stream> stream; ///< Stream.
};

/** All large answers of one thread. */
struct bulk_sender
{
    explicit bulk_sender(const asio::any_io_executor &executor)
        : timer(executor)
    { }

    bulk_window window; ///< Decisions.
    std::map<std::uint64_t, bulk_waiter> waiters; ///< By order: the answer that began first is finished first.
    std::map<std::uint64_t, bulk_frame> frames; ///< By number, oldest first.
    std::uint64_t nextNumber = 1; ///< Number of the next answer or piece.
    asio::steady_timer timer; ///< Ends when the oldest piece no longer counts.
    bool grantScheduled = false; ///< Whether permits are about to be given.
};

/**
 * Makes an answer one that is sent with permits.
 * @param sender Sender.
 * @param stream Its stream.
 */
void beginBulk(bulk_sender &sender, h2_stream &stream);

/**
 * Tells whether an answer has a permit to send a piece; if not, it gets one later and is resumed then.
 * @param session Session.
 * @param stream Its stream.
 * @return Whether it may be sent now.
 */
bool acquirePermit(h2_session &session, h2_stream &stream);

/**
 * Notes that a piece is handed to the session; a ping follows it.
 * @param session Session.
 * @param stream Its stream, which had a permit.
 * @param bytes Bytes of the piece.
 * @param now Present time.
 */
void recordFrameSent(h2_session &session, h2_stream &stream, std::size_t bytes, steady_time now);

/**
 * Takes the acknowledgement of a ping.
 * @param session Session.
 * @param number Number of the piece before it.
 * @param now Present time.
 */
void recordFrameAcknowledged(h2_session &session, std::uint64_t number, steady_time now);

/**
 * Takes back the permit of an answer that has ended.
 * @param session Session.
 * @param stream Its stream.
 */
void removeBulkStream(h2_session &session, h2_stream &stream);

/**
 * Forgets the pieces of a session that has ended.
 * @param session Session.
 */
void removeBulkSession(h2_session &session);

} // namespace quetzalspool

#endif // BULK_SENDER_H
