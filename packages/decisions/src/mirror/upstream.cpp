/** @file upstream.cpp Choice of the daemons from which a daemon requests store changes. */
#include "upstream_func.h"

#include <algorithm>
#include <xxhash.h>

namespace quetzalspool {

namespace {

constexpr std::size_t followersPerUpstream = 16; ///< Daemons of a failure domain per daemon that serves them.
constexpr std::size_t domainUpstreams = 2; ///< Daemons of the same failure domain that are tried before the region's.

using member_list = std::vector<const cell_member *>;

std::uint64_t hashOf(const instance_id &id, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(id.value.data(), id.value.size(), seed);
}

/** Lists the present members of this daemon's region that are not leaving, ordered by the hash of their ids. */
member_list regionMembers(const roster_state &state)
{
    member_list members;
    for (const auto &[id, seen] : state.nodes) {
        if (!seen.present || !seen.node || seen.node->member.leaving) {
            continue;
        }
        if (seen.node->member.region == state.self.member.region) {
            members.push_back(&seen.node->member);
        }
    }
    std::sort(members.begin(), members.end(),
              [](const auto *a, const auto *b) { return hashOf(a->id) < hashOf(b->id); });
    return members;
}

} // namespace

std::vector<endpoint> upstreamsOf(const roster_state &state)
{
    const auto &self = state.self.member;
    const auto members = regionMembers(state);
    if (members.empty() || members.front()->id == self.id) {
        return {};
    }
    const auto *regionReader = members.front();
    member_list domainMembers;
    for (const auto *member : members) {
        if (member->domain == self.domain && member != regionReader) {
            domainMembers.push_back(member);
        }
    }
    domainMembers.resize((domainMembers.size() + followersPerUpstream - 1) / followersPerUpstream);
    const bool servesDomain = std::any_of(domainMembers.begin(), domainMembers.end(),
                                          [&](const auto *member) { return member->id == self.id; });
    if (servesDomain) {
        return {peerEndpoint(*regionReader)};
    }
    // The order is seeded by the follower, so that followers spread evenly.
    std::sort(domainMembers.begin(), domainMembers.end(), [seed = hashOf(self.id)](const auto *a, const auto *b) {
        return hashOf(a->id, seed) < hashOf(b->id, seed);
    });
    std::vector<endpoint> upstreams;
    for (std::size_t index = 0; index < std::min(domainUpstreams, domainMembers.size()); ++index) {
        upstreams.push_back(peerEndpoint(*domainMembers[index]));
    }
    upstreams.push_back(peerEndpoint(*regionReader));
    return upstreams;
}

} // namespace quetzalspool
