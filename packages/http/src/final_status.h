/** @file final_status.h Status codes that a final response may have. */
#ifndef FINAL_STATUS_H
#define FINAL_STATUS_H

namespace quetzalspool {

constexpr unsigned firstFinalStatus = 200; ///< Lower status codes are interim responses or invalid.
constexpr unsigned lastFinalStatus = 599; ///< Higher status codes are invalid.

/**
 * Returns whether a final response may have a status code.
 * @param status Status code.
 * @return True for 200 to 599.
 */
constexpr bool isFinalStatus(unsigned status)
{
    return status >= firstFinalStatus && status <= lastFinalStatus;
}

} // namespace quetzalspool

#endif // FINAL_STATUS_H
