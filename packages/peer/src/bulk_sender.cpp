/** @file bulk_sender.cpp Large answers of one thread on their way over the instance's link. */
#include "bulk_sender.h"

#include "bulk_window_func.h"
#include "elapsed_clock.h"
#include "h2_session.h"

#include <boost/endian/conversion.hpp>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr std::size_t pieceBytes = 16384; ///< Most bytes of one frame of data.

void pumpSoon(const std::shared_ptr<bulk_sender> &sender);

void submitPing(h2_session &session, std::uint64_t number)
{
    std::uint8_t payload[sizeof number];
    boost::endian::store_big_u64(payload, number);
    nghttp2_submit_ping(session.session, NGHTTP2_FLAG_NONE, payload);
}

/** Holds large answers back from a reader until it gives a sign of life, and asks for one. */
void markSilent(const std::shared_ptr<h2_session> &session, std::uint64_t number)
{
    if (!session->silent && !session->dead) {
        session->silent = true;
        submitPing(*session, number);
        flush(session);
    }
}

/**
 * Forgets pieces that have been under way for so long that it is not the link they wait for. Their readers get no more
 * until they confirm something: others may use the link.
 */
void dropSilent(bulk_sender &sender, steady_time now)
{
    while (!sender.pieces.empty()) {
        const auto oldest = sender.pieces.begin();
        if (now - oldest->second.sent.sentAt < sender.share.limits.deliveryTimeout) {
            return;
        }
        releaseBytes(sender.share, oldest->second.sent.bytes);
        if (const auto session = oldest->second.session.lock()) {
            markSilent(session, oldest->first);
        }
        sender.pieces.erase(oldest);
    }
}

/** Looks again once the oldest piece no longer counts, in case nothing else happens until then. */
void awaitSilence(const std::shared_ptr<bulk_sender> &sender)
{
    if (sender->waiting.empty() || sender->pieces.empty()) {
        return;
    }
    const auto until = sender->pieces.begin()->second.sent.sentAt + sender->share.limits.deliveryTimeout;
    sender->timer.expires_at(clock::forTimers(until));
    sender->timer.async_wait([weak = std::weak_ptr(sender)](error_code code) {
        const auto held = weak.lock();
        if (!code && held) {
            pumpSoon(held);
        }
    });
}

/** Gives a permit for one piece. */
void givePermit(bulk_sender &sender, const std::shared_ptr<h2_session> &session, h2_stream &stream, steady_time now)
{
    const auto left = stream.outgoing.size() - stream.outgoingSent;
    const bool limited = !sender.waiting.empty() || left > pieceBytes;
    stream.bulkPermit = sender.nextNumber++;
    sender.pieces[stream.bulkPermit] = {session, {pieceBytes, limited, now}};
    recordSent(sender.share, pieceBytes);
    stream.outgoingDeferred = false;
    nghttp2_session_resume_data(session->session, stream.id);
    flush(session);
}

void pump(const std::shared_ptr<bulk_sender> &sender)
{
    const auto now = clock::now();
    dropSilent(*sender, now);
    auto next = sender->waiting.begin();
    while (canSend(sender->share) && next != sender->waiting.end()) {
        const auto session = next->second.session.lock();
        const auto stream = next->second.stream.lock();
        if (session && session->silent) {
            ++next;
            continue;
        }
        next = sender->waiting.erase(next);
        if (session && stream && !session->dead && !stream->closed) {
            givePermit(*sender, session, *stream, now);
        }
    }
    awaitSilence(sender);
}

/** The library must not be called again from within its own calls. */
void pumpSoon(const std::shared_ptr<bulk_sender> &sender)
{
    if (sender->posted) {
        return;
    }
    sender->posted = true;
    asio::post(sender->timer.get_executor(), [sender] {
        sender->posted = false;
        pump(sender);
    });
}

} // namespace

void beginBulk(bulk_sender &sender, h2_stream &stream)
{
    stream.bulkOrder = sender.nextNumber++;
}

bool mayReadBulk(h2_session &session, h2_stream &stream)
{
    if (stream.bulkPermit != 0) {
        return true;
    }
    session.bulk->waiting[stream.bulkOrder] = {session.weak_from_this(), stream.weak_from_this()};
    pumpSoon(session.bulk);
    return false;
}

void noteBulkRead(h2_session &session, h2_stream &stream, std::size_t bytes, steady_time now)
{
    const auto number = std::exchange(stream.bulkPermit, 0);
    const auto piece = session.bulk->pieces.find(number);
    if (piece == session.bulk->pieces.end()) {
        return; // The session took its time; the permit no longer counts.
    }
    releaseBytes(session.bulk->share, piece->second.sent.bytes - bytes);
    piece->second.sent.bytes = bytes;
    piece->second.sent.sentAt = now;
    submitPing(session, number);
}

void noteBulkDelivered(h2_session &session, std::uint64_t number, steady_time now)
{
    session.silent = false;
    pumpSoon(session.bulk);
    const auto piece = session.bulk->pieces.find(number);
    if (piece == session.bulk->pieces.end() || piece->second.session.lock().get() != &session) {
        return; // Another kind of ping, or one that no longer counts.
    }
    recordDelivery(session.bulk->share, session.path, piece->second.sent, now);
    session.bulk->pieces.erase(piece);
}

void endBulk(h2_session &session, h2_stream &stream)
{
    if (!session.bulk || stream.bulkOrder == 0) {
        return;
    }
    session.bulk->waiting.erase(stream.bulkOrder);
    const auto piece = session.bulk->pieces.find(std::exchange(stream.bulkPermit, 0));
    if (piece != session.bulk->pieces.end()) {
        releaseBytes(session.bulk->share, piece->second.sent.bytes);
        session.bulk->pieces.erase(piece);
        pumpSoon(session.bulk);
    }
}

void endBulkSession(h2_session &session)
{
    if (!session.bulk) {
        return;
    }
    std::erase_if(session.bulk->pieces, [&](const auto &entry) {
        const bool own = entry.second.session.lock().get() == &session;
        if (own) {
            releaseBytes(session.bulk->share, entry.second.sent.bytes);
        }
        return own;
    });
    pumpSoon(session.bulk);
}

} // namespace quetzalspool
