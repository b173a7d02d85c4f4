/** @file roster_simulation_exchange.cpp How simulated daemons receive store changes: from the store or from each other.
 */
#include "roster_simulation_internal.h"
#include "upstream_func.h"

#include <algorithm>

namespace quetzalspool::test {

namespace {

constexpr milliseconds requestInterval{400}; ///< Time between two requests to other daemons.

/** Marks known nodes without an entry as missing, after a daemon has received all entries. */
void applyMissingEntries(roster_simulation &simulation, fake_node &node)
{
    std::vector<instance_id> missing;
    for (const auto &[id, seen] : node.roster.nodes) {
        if (findExisting(node.mirror, keyOf("nodes", id.value)) == nullptr && seen.marker <= node.mirror.revision) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        applyEntry(node.roster, id, std::nullopt, node.mirror.revision, simulation.now);
    }
    node.roster.listed = true;
}

/** Sends a message between two daemons. It may be lost, delayed or duplicated. */
void sendMessage(roster_simulation &simulation, std::size_t from, std::size_t to, const std::function<void()> &act)
{
    const auto run = simulation.nodes[to].run;
    const auto arrive = [&simulation, from, to, run, act] {
        const auto &node = simulation.nodes[to];
        const bool cut = simulation.now < node.peersUnreachableUntil
            || simulation.now < simulation.nodes[from].peersUnreachableUntil;
        if (node.up && node.run == run && !cut && simulation.now >= node.pausedUntil) {
            act();
        }
    };
    if (chance(simulation, simulation.messageLossRate)) {
        return;
    }
    const bool late = chance(simulation, simulation.messageLossRate);
    after(simulation, late ? milliseconds(simulation.random() % 6000) : milliseconds(1 + simulation.random() % 30),
          arrive);
    if (chance(simulation, simulation.messageLossRate)) {
        after(simulation, milliseconds(simulation.random() % 6000), arrive);
    }
}

void applyResponse(roster_simulation &simulation, std::size_t index, const changes_response &response,
                   steady_time sentAt)
{
    auto &node = simulation.nodes[index];
    const auto era = eraOf(response.updates.front().revision);
    if (era < node.roster.era) {
        return;
    }
    observeEra(simulation, node, era);
    const bool complete = response.updates.front().snapshot || eraOf(node.mirror.revision) < era;
    deliverChanges(simulation, node, applyUpdate(node.mirror, response.updates.front()));
    if (complete) {
        applyMissingEntries(simulation, node);
    }
    const bool mirrorsMatch = mirrorDigest(node.mirror) == response.updates.front().digest;
    applyVerification(node.exchange, node.roster, response, mirrorsMatch, sentAt, simulation.now);
}

/** Responds to a request for changes from another daemon. */
void answerRequest(roster_simulation &simulation, std::size_t requester, std::size_t upstream, revision_number seen,
                   const std::string &id, steady_time sentAt)
{
    auto &node = simulation.nodes[upstream];
    node.exchange.lastRequestAt = simulation.now;
    if (!isFresh(node.exchange, simulation.now)) {
        return;
    }
    changes_response response;
    response.updates = {changesAfter(node.mirror, seen)};
    packUpdate(node.mirror, response.updates.front(), seen);
    response.verifiedOffset = verifiedOffset(node.exchange, node.roster.timing, simulation.now);
    const auto *entry = findExisting(node.mirror, keyOf("nodes", id));
    response.entryRevision = entry == nullptr ? revision_number{} : entry->revision;
    response.watermarkOffset = watermarkOffset(node.exchange, simulation.now);
    sendMessage(simulation, upstream, requester,
                [&simulation, requester, response, sentAt] { applyResponse(simulation, requester, response, sentAt); });
}

} // namespace

void deliverValue(roster_simulation &simulation, fake_node &node, const std::string &key, const mirrored_value &value)
{
    last_reason why;
    const auto name = key.substr(key.find('/') + 1);
    if (key.starts_with("nodes/")) {
        if (auto entry = parseNode(value.text, why)) {
            applyEntry(node.roster, {name}, std::move(entry), value.revision, simulation.now);
        } else {
            applyUnreadableEntry(node.roster, {name}, value.revision, simulation.now);
        }
    } else if (key.starts_with("markers/")) {
        applyMarker(node.roster, {name}, value.revision);
    } else if (auto record = parseOwnership(value.text, why)) {
        applyOwnership(node.roster, {*record, value.revision});
    } else {
        applyUnreadableOwnership(node.roster, {name}, value.revision);
    }
}

/** Delivers changes to the roster of a daemon. */
void deliverChanges(roster_simulation &simulation, fake_node &node, const std::vector<key_change> &news)
{
    for (const auto &change : news) {
        if (!change.value.removed) {
            deliverValue(simulation, node, change.key, change.value);
        } else if (change.key.starts_with("nodes/")) {
            const instance_id id{change.key.substr(change.key.find('/') + 1)};
            const auto seen = node.roster.nodes.find(id);
            if (seen == node.roster.nodes.end() || change.value.revision > seen->second.marker) {
                applyEntry(node.roster, id, std::nullopt, change.value.revision, simulation.now);
            }
        }
    }
}

std::vector<key_change> changesOf(const roster_simulation &simulation, const std::string &prefix)
{
    std::vector<key_change> changes;
    for (const auto &[key, value] : simulation.store.values) {
        if (key.starts_with(prefix)) {
            changes.push_back({key, {value.text, position(simulation, value.revision), false}});
        }
    }
    return changes;
}

/** Reads all keys from the store, as watches and listings do, unless upstream daemons deliver the changes. */
void followStore(roster_simulation &simulation, fake_node &node)
{
    if (isUpstreamCurrent(node.exchange, simulation.now)) {
        node.exchange.watchedSince.reset();
        return;
    }
    if (!node.exchange.watchedSince) {
        node.exchange.watchedSince = simulation.now;
        confirmSoon(node.exchange, node.roster, simulation.now);
    }
    if (!reachesStore(simulation, node) || simulation.now < node.watchStalledUntil
        || node.watchedRevision == position(simulation, simulation.store.revision)) {
        return;
    }
    ++simulation.storeReads;
    observeEra(simulation, node, simulation.store.era);
    node.watchedRevision = position(simulation, simulation.store.revision);
    deliverChanges(simulation, node, applyListing(node.mirror, "", changesOf(simulation, ""), node.watchedRevision));
    applyMissingEntries(simulation, node);
}

/** Requests changes from an upstream daemon, if the next request is due. */
void pollPeer(roster_simulation &simulation, std::size_t index)
{
    auto &node = simulation.nodes[index];
    if (!simulation.peerExchange || !node.roster.listed || simulation.now < node.nextPeerRequest) {
        return;
    }
    node.nextPeerRequest = simulation.now + requestInterval;
    const auto upstreams = upstreamsOf(node.roster);
    if (upstreams.empty()) {
        clearUpstreamWatermark(node.exchange);
        return;
    }
    // Peer ports are numbered from 1 in the order of the nodes.
    const std::size_t upstream = upstreams[simulation.random() % upstreams.size()].port - 1U;
    const auto seen = resumeRevision(node.mirror);
    const auto id = node.roster.self.member.id.value;
    sendMessage(simulation, index, upstream, [&simulation, index, upstream, seen, id, sentAt = simulation.now] {
        answerRequest(simulation, index, upstream, seen, id, sentAt);
    });
}

} // namespace quetzalspool::test
