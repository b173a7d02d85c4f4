/** @file bulk_sender.cpp Flow control of the large responses of one thread. */
#include "bulk_sender.h"

#include "bulk_window_func.h"
#include "elapsed_clock.h"
#include "h2_session.h"

#include <boost/endian/conversion.hpp>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr std::size_t maxFrameBytes = 16384; ///< Most payload bytes of a DATA frame.

void scheduleGrants(const std::shared_ptr<bulk_sender> &sender);

void submitPing(h2_session &session, std::uint64_t number)
{
    std::uint8_t payload[sizeof number];
    boost::endian::store_big_u64(payload, number);
    nghttp2_submit_ping(session.session, NGHTTP2_FLAG_NONE, payload);
}

/** Suspends the bulk responses to a daemon until it acknowledges a ping, and sends that ping. */
void markUnresponsive(const std::shared_ptr<h2_session> &session, std::uint64_t number)
{
    if (!session->unresponsive && !session->transportClosed) {
        session->unresponsive = true;
        submitPing(*session, number);
        flush(session);
    }
}

/**
 * Releases frames that were not acknowledged in time: the receiving daemon, not the link, is taken to delay them. Their
 * sessions get no permits until a ping is acknowledged, so that other daemons can use the link.
 */
void expireFrames(bulk_sender &sender, steady_time now)
{
    while (!sender.frames.empty()) {
        const auto oldest = sender.frames.begin();
        if (now - oldest->second.sent.sentAt < sender.window.limits.deliveryTimeout) {
            return;
        }
        releaseBytes(sender.window, oldest->second.sent.bytes);
        if (const auto session = oldest->second.session.lock()) {
            markUnresponsive(session, oldest->first);
        }
        sender.frames.erase(oldest);
    }
}

/** Schedules the next expiry of a frame, in case no other event grants permits before. */
void scheduleExpiry(const std::shared_ptr<bulk_sender> &sender)
{
    if (sender->waiters.empty() || sender->frames.empty()) {
        return;
    }
    const auto until = sender->frames.begin()->second.sent.sentAt + sender->window.limits.deliveryTimeout;
    sender->timer.expires_at(clock::forTimers(until));
    sender->timer.async_wait([weak = std::weak_ptr(sender)](error_code code) {
        const auto locked = weak.lock();
        if (!code && locked) {
            scheduleGrants(locked);
        }
    });
}

/** Grants a permit for one frame and resumes its stream. */
void grantPermit(bulk_sender &sender, const std::shared_ptr<h2_session> &session, h2_stream &stream, steady_time now)
{
    const auto left = stream.outgoing.size() - stream.outgoingSent;
    const bool limited = !sender.waiters.empty() || left > maxFrameBytes;
    stream.bulkPermit = sender.nextNumber++;
    sender.frames[stream.bulkPermit] = {session, {maxFrameBytes, limited, now}};
    recordSent(sender.window, maxFrameBytes);
    stream.outgoingDeferred = false;
    nghttp2_session_resume_data(session->session, stream.id);
    flush(session);
}

void grantPermits(const std::shared_ptr<bulk_sender> &sender)
{
    const auto now = clock::now();
    expireFrames(*sender, now);
    auto next = sender->waiters.begin();
    while (canSend(sender->window) && next != sender->waiters.end()) {
        const auto session = next->second.session.lock();
        const auto stream = next->second.stream.lock();
        if (session && session->unresponsive) {
            ++next;
            continue;
        }
        next = sender->waiters.erase(next);
        if (session && stream && !session->transportClosed && !stream->closed) {
            grantPermit(*sender, session, *stream, now);
        }
    }
    scheduleExpiry(sender);
}

/** Posts grantPermits: callers may run in callbacks of nghttp2, which must not be called again from there. */
void scheduleGrants(const std::shared_ptr<bulk_sender> &sender)
{
    if (sender->grantScheduled) {
        return;
    }
    sender->grantScheduled = true;
    asio::post(sender->timer.get_executor(), [sender] {
        sender->grantScheduled = false;
        grantPermits(sender);
    });
}

} // namespace

void beginBulk(bulk_sender &sender, h2_stream &stream)
{
    stream.bulkOrder = sender.nextNumber++;
}

bool acquirePermit(h2_session &session, h2_stream &stream)
{
    if (stream.bulkPermit != 0) {
        return true;
    }
    session.bulk->waiters[stream.bulkOrder] = {session.weak_from_this(), stream.weak_from_this()};
    scheduleGrants(session.bulk);
    return false;
}

void recordFrameSent(h2_session &session, h2_stream &stream, std::size_t bytes, steady_time now)
{
    const auto number = std::exchange(stream.bulkPermit, 0);
    const auto frame = session.bulk->frames.find(number);
    if (frame == session.bulk->frames.end()) {
        return; // The permit expired before the frame was sent.
    }
    releaseBytes(session.bulk->window, frame->second.sent.bytes - bytes);
    frame->second.sent.bytes = bytes;
    frame->second.sent.sentAt = now;
    submitPing(session, number);
}

void recordFrameAcknowledged(h2_session &session, std::uint64_t number, steady_time now)
{
    session.unresponsive = false;
    scheduleGrants(session.bulk);
    const auto frame = session.bulk->frames.find(number);
    if (frame == session.bulk->frames.end() || frame->second.session.lock().get() != &session) {
        return; // A ping without a frame, or the frame has expired.
    }
    recordDelivery(session.bulk->window, session.path, frame->second.sent, now);
    session.bulk->frames.erase(frame);
}

void removeBulkStream(h2_session &session, h2_stream &stream)
{
    if (!session.bulk || stream.bulkOrder == 0) {
        return;
    }
    session.bulk->waiters.erase(stream.bulkOrder);
    const auto frame = session.bulk->frames.find(std::exchange(stream.bulkPermit, 0));
    if (frame != session.bulk->frames.end()) {
        releaseBytes(session.bulk->window, frame->second.sent.bytes);
        session.bulk->frames.erase(frame);
        scheduleGrants(session.bulk);
    }
}

void removeBulkSession(h2_session &session)
{
    if (!session.bulk) {
        return;
    }
    std::erase_if(session.bulk->frames, [&](const auto &entry) {
        const bool own = entry.second.session.lock().get() == &session;
        if (own) {
            releaseBytes(session.bulk->window, entry.second.sent.bytes);
        }
        return own;
    });
    scheduleGrants(session.bulk);
}

} // namespace quetzalspool
