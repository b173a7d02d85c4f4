/** @file reason_type.h Reasons for the outcome of a request, from a fixed list. */
#ifndef REASON_TYPE_H
#define REASON_TYPE_H

#include <string_view>

namespace quetzalspool {

/** A reason in the list. */
struct reason_row
{
    std::string_view word; ///< Identifier in responses, log lines and metrics.
    std::string_view meaning; ///< Description.
    std::string_view relatedEvents; ///< Log events that may explain the reason, separated by blanks; may be empty.
};

} // namespace quetzalspool

#endif // REASON_TYPE_H
