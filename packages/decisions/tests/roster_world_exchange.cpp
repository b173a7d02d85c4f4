/** @file roster_world_exchange.cpp How simulated daemons receive store changes: from the store or from each other. */
#include "roster_world_parts.h"
#include "upstream_func.h"

#include <algorithm>

namespace quetzalspool::test {

namespace {

constexpr milliseconds requestInterval{400}; ///< Time between two requests to other daemons.

/** Marks known nodes without an entry as missing, after a daemon has received all entries. */
void applyMissingEntries(roster_world &world, fake_node &node)
{
    std::vector<instance_id> missing;
    for (const auto &[id, seen] : node.roster.nodes) {
        if (findExisting(node.mirror, keyOf("nodes", id.value)) == nullptr && seen.marker <= node.mirror.revision) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        takeEntry(node.roster, id, std::nullopt, node.mirror.revision, world.now);
    }
    node.roster.listed = true;
}

/** Sends a message between two daemons. It may be lost, delayed or duplicated. */
void sendMessage(roster_world &world, std::size_t from, std::size_t to, const std::function<void()> &act)
{
    const auto run = world.nodes[to].run;
    const auto arrive = [&world, from, to, run, act] {
        const auto &node = world.nodes[to];
        const bool cut = world.now < node.cutFromPeersUntil || world.now < world.nodes[from].cutFromPeersUntil;
        if (node.up && node.run == run && !cut && world.now >= node.pausedUntil) {
            act();
        }
    };
    if (chance(world, world.loseMessages)) {
        return;
    }
    const bool late = chance(world, world.loseMessages);
    after(world, late ? milliseconds(world.random() % 6000) : milliseconds(1 + world.random() % 30), arrive);
    if (chance(world, world.loseMessages)) {
        after(world, milliseconds(world.random() % 6000), arrive);
    }
}

void applyResponse(roster_world &world, std::size_t index, const changes_response &response, steady_time sentAt)
{
    auto &node = world.nodes[index];
    deliverNews(world, node, applyUpdate(node.mirror, response.updates.front()));
    if (response.updates.front().snapshot) {
        applyMissingEntries(world, node);
    }
    const bool mirrorsMatch = mirrorDigest(node.mirror) == response.updates.front().digest;
    applyVerification(node.exchange, node.roster, response, mirrorsMatch, sentAt, world.now);
}

/** Responds to a request for changes from another daemon. */
void answerRequest(roster_world &world, std::size_t requester, std::size_t upstream, revision_number seen,
                   const std::string &id, steady_time sentAt)
{
    auto &node = world.nodes[upstream];
    node.exchange.lastRequestAt = world.now;
    if (!isFresh(node.exchange, world.now)) {
        return;
    }
    changes_response response;
    response.updates = {changesAfter(node.mirror, seen)};
    response.verifiedOffset = verifiedOffset(node.exchange, node.roster.timing, world.now);
    const auto *entry = findExisting(node.mirror, keyOf("nodes", id));
    response.entryRevision = entry == nullptr ? revision_number{} : entry->revision;
    response.watermarkOffset = watermarkOffset(node.exchange, world.now);
    sendMessage(world, upstream, requester,
                [&world, requester, response, sentAt] { applyResponse(world, requester, response, sentAt); });
}

} // namespace

void deliver(roster_world &world, fake_node &node, const std::string &key, const fake_value &value)
{
    last_reason why;
    const auto name = key.substr(key.find('/') + 1);
    if (key.starts_with("nodes/")) {
        takeEntry(node.roster, {name}, parseNode(value.text, why), {value.revision}, world.now);
    } else if (key.starts_with("markers/")) {
        takeMarker(node.roster, {name}, {value.revision});
    } else if (auto record = parseRuns(value.text, why)) {
        takeRuns(node.roster, {*record, {value.revision}});
    }
}

/** Delivers changes to the roster of a daemon. */
void deliverNews(roster_world &world, fake_node &node, const std::vector<key_change> &news)
{
    for (const auto &change : news) {
        if (!change.value.removed) {
            deliver(world, node, change.key, {change.value.text, change.value.revision.value, 0});
        } else if (change.key.starts_with("nodes/")) {
            const instance_id id{change.key.substr(change.key.find('/') + 1)};
            const auto seen = node.roster.nodes.find(id);
            if (seen == node.roster.nodes.end() || change.value.revision > seen->second.marker) {
                takeEntry(node.roster, id, std::nullopt, change.value.revision, world.now);
            }
        }
    }
}

std::vector<key_change> changesOf(const std::map<std::string, fake_value> &values, const std::string &prefix)
{
    std::vector<key_change> changes;
    for (const auto &[key, value] : values) {
        if (key.starts_with(prefix)) {
            changes.push_back({key, {value.text, {value.revision}, false}});
        }
    }
    return changes;
}

/** Reads all keys from the store, as watches and listings do, unless upstream daemons deliver the changes. */
void follow(roster_world &world, fake_node &node)
{
    if (isUpstreamCurrent(node.exchange, world.now)) {
        node.exchange.watchedSince.reset();
        return;
    }
    if (!node.exchange.watchedSince) {
        node.exchange.watchedSince = world.now;
    }
    if (!reaches(world, node) || world.now < node.watchDeafUntil || node.known == world.store.revision) {
        return;
    }
    ++world.storeReads;
    deliverNews(world, node, applyListing(node.mirror, "", changesOf(world.store.values, ""), {world.store.revision}));
    applyMissingEntries(world, node);
    node.known = world.store.revision;
}

/** Requests changes from an upstream daemon, if the next request is due. */
void ask(roster_world &world, std::size_t index)
{
    auto &node = world.nodes[index];
    if (!world.exchanges || !node.roster.listed || world.now < node.nextQuestion) {
        return;
    }
    node.nextQuestion = world.now + requestInterval;
    const auto upstreams = upstreamsOf(node.roster);
    if (upstreams.empty()) {
        clearUpstreamWatermark(node.exchange);
        return;
    }
    // Peer ports are numbered from 1 in the order of the nodes.
    const std::size_t upstream = upstreams[world.random() % upstreams.size()].port - 1U;
    const auto seen = resumeRevision(node.mirror);
    const auto id = node.roster.self.member.id.value;
    sendMessage(world, index, upstream, [&world, index, upstream, seen, id, sentAt = world.now] {
        answerRequest(world, index, upstream, seen, id, sentAt);
    });
}

} // namespace quetzalspool::test
