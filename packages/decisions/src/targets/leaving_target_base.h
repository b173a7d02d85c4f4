/** @file leaving_target_base.h Targets that are leaving, as far as a daemon has heard of them. */
#ifndef LEAVING_TARGET_BASE_H
#define LEAVING_TARGET_BASE_H

#include "roster_type.h"

#include <map>

namespace quetzalspool {

/** An incarnation of a target that is leaving. */
struct leaving_target
{
    target_incarnation incarnation; ///< Incarnation; its id is not empty.
    steady_time since{}; ///< When it was first known to be leaving.

    bool operator==(const leaving_target &) const = default;
};

/** The last leaving target beside each instance of which this daemon has heard. */
using leaving_targets = std::map<instance_id, leaving_target>;

} // namespace quetzalspool

#endif // LEAVING_TARGET_BASE_H
