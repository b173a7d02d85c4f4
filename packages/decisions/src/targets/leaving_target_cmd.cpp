/** @file leaving_target_cmd.cpp Remembering leaving targets of other instances. */
#include "leaving_target_func.h"

#include <algorithm>
#include <cassert>

namespace quetzalspool {

namespace {

constexpr std::chrono::minutes retention{10}; ///< A target that has been leaving for this long has ended.

} // namespace

void recordLeavingTarget(leaving_targets &known, const instance_id &instance, const leaving_target &target,
                         steady_time now)
{
    assert(!target.incarnation.id.empty());
    std::erase_if(known, [&](const auto &entry) { return now - entry.second.since >= retention; });
    auto &entry = known[instance];
    const bool same = entry.incarnation == target.incarnation;
    entry = same ? leaving_target{entry.incarnation, std::min(entry.since, target.since)} : target;
}

std::optional<leaving_target> findLeavingTarget(const leaving_targets &known, const instance_id &instance)
{
    const auto found = known.find(instance);
    return found == known.end() ? std::nullopt : std::optional(found->second);
}

} // namespace quetzalspool
