/** @file scope_filter_cmd.cpp Which targets may serve a request at all, by region and by drained failure domain. */
#include "scope_filter_func.h"

#include "allowed_regions_func.h"
#include "drained_domains_func.h"
#include "routing_func.h"

#include <algorithm>

namespace quetzalspool {

target_scope scopeOfOwner(const routing_view &view, const cell_member &owner, const allowed_regions &allowed,
                          steady_time now)
{
    if (!allowsRegion(allowed, owner.region)) {
        return target_scope::not_allowed;
    }
    return isDrainOver(view.drained, owner.domain, now) ? target_scope::drained : target_scope::open;
}

target_scope keepInScope(const routing_view &view, const allowed_regions &allowed,
                         std::vector<const cell_member *> &members)
{
    if (members.empty()) {
        return target_scope::open;
    }
    std::erase_if(members, [&](const auto *member) { return !allowsRegion(allowed, member->region); });
    if (members.empty()) {
        return target_scope::not_allowed;
    }
    std::erase_if(members, [&](const auto *member) { return isDrained(view.drained, member->domain); });
    return members.empty() ? target_scope::drained : target_scope::open;
}

target_scope scopeOfUnowned(const routing_view &view, const pool_id &pool, const allowed_regions &allowed)
{
    if (!allowed.restricted && view.drained.since.empty()) {
        return target_scope::open;
    }
    auto members = membersOf(view, pool);
    const auto scope = keepInScope(view, allowed, members);
    return members.empty() && allowed.restricted && scope == target_scope::open ? target_scope::not_allowed : scope;
}

std::size_t countUntried(const std::vector<const cell_member *> &members, const std::set<instance_id> &tried)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto *member) { return !tried.contains(member->id); }));
}

const char *nameOf(target_scope scope)
{
    switch (scope) {
    case target_scope::not_allowed:
        return "no-allowed-target";
    case target_scope::drained:
        return "domain-drained";
    default:
        return "";
    }
}

} // namespace quetzalspool
