/**
 * @file bulk_window_func.h Congestion control for large responses over an instance's link.
 *
 * Large responses of a target can fill the link of its instance and delay small responses, for which other targets wait
 * while they occupy a slot. The capacity of the link is not known: an increase of the acknowledgement time shows that a
 * queue builds up before it, and the window follows that delay as in RFC 6817 (LEDBAT).
 */
#ifndef BULK_WINDOW_FUNC_H
#define BULK_WINDOW_FUNC_H

#include "bulk_window_base.h"

namespace quetzalspool {

/**
 * Returns whether another frame of a large response may be sent.
 * @param window Window.
 * @return True if fewer bytes are in flight than the window allows.
 */
bool canSend(const bulk_window &window);

/**
 * Counts a frame as in flight.
 * @param window Window.
 * @param bytes Size of the frame in bytes.
 */
void recordSent(bulk_window &window, std::size_t bytes);

/**
 * Removes bytes from those in flight without adapting the window, since nothing was learnt about the link: their
 * connection has ended, they were not sent after all, or their reader is unresponsive.
 * @param window Window.
 * @param bytes Bytes.
 */
void releaseBytes(bulk_window &window, std::size_t bytes);

/**
 * Removes an acknowledged frame from the bytes in flight and adapts the window to its delay.
 * @param window Window.
 * @param path Path to the daemon that acknowledged it.
 * @param frame Frame.
 * @param now Present time.
 */
void recordDelivery(bulk_window &window, path_delay &path, const delivery &frame, steady_time now);

} // namespace quetzalspool

#endif // BULK_WINDOW_FUNC_H
