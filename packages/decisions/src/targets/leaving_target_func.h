/** @file leaving_target_func.h Remembering leaving targets of other instances. A daemon that is started again no longer
 * knows that its target is leaving; the daemons that have heard it from the run before tell it with their requests. */
#ifndef LEAVING_TARGET_FUNC_H
#define LEAVING_TARGET_FUNC_H

#include "leaving_target_base.h"

namespace quetzalspool {

/**
 * Records a leaving target. Forgets targets that have been leaving for so long that they have ended.
 * @param known Leaving targets known so far.
 * @param instance Instance beside which it runs.
 * @param target Leaving target.
 * @param now Present time.
 */
void recordLeavingTarget(leaving_targets &known, const instance_id &instance, const leaving_target &target,
                         steady_time now);

/**
 * Finds the leaving target beside an instance.
 * @param known Leaving targets known so far.
 * @param instance Instance.
 * @return The target, or nothing if none is known.
 */
std::optional<leaving_target> findLeavingTarget(const leaving_targets &known, const instance_id &instance);

} // namespace quetzalspool

#endif // LEAVING_TARGET_FUNC_H
