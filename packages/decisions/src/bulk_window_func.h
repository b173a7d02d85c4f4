/**
 * @file bulk_window_func.h Decisions about the part of an instance's link that large answers may use.
 *
 * The load: large answers of a target to many callers fill the link of its instance, and small ones, which others wait
 * for with a slot in hand, stand behind them. How fast the link is, nobody tells: the time in which deliveries are
 * confirmed shows when a queue builds up before it, and the bytes under way follow that, as in RFC 6817.
 */
#ifndef BULK_WINDOW_FUNC_H
#define BULK_WINDOW_FUNC_H

#include "bulk_window_base.h"

namespace quetzalspool {

/**
 * Tells whether another piece of a large answer may be sent.
 * @param window Share.
 * @return Whether there is room.
 */
bool canSend(const bulk_window &window);

/**
 * Notes that a piece is sent.
 * @param window Share.
 * @param bytes Its bytes.
 */
void recordSent(bulk_window &window, std::size_t bytes);

/**
 * Notes that bytes are no longer under way, without any word about the link: their connection has ended, they were not
 * sent after all, or their reader is silent.
 * @param window Share.
 * @param bytes Bytes.
 */
void releaseBytes(bulk_window &window, std::size_t bytes);

/**
 * Notes that the other daemon has confirmed a piece, and adapts the share.
 * @param window Share.
 * @param path Way to that daemon.
 * @param frame The piece.
 * @param now Present time.
 */
void recordDelivery(bulk_window &window, path_delay &path, const delivery &frame, steady_time now);

} // namespace quetzalspool

#endif // BULK_WINDOW_FUNC_H
