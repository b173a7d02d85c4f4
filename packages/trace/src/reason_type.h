/** @file reason_type.h Why a request ended as it did, as one word of a fixed list. */
#ifndef REASON_TYPE_H
#define REASON_TYPE_H

#include <string_view>

namespace quetzalspool {

/** One reason. */
struct reason_row
{
    std::string_view word; ///< The word, as it stands in answers, log lines and metrics.
    std::string_view meaning; ///< What it says about the request.
    std::string_view relatedEvents; ///< Lines that tell more: names of events, separated by blanks; may be empty.
};

} // namespace quetzalspool

#endif // REASON_TYPE_H
