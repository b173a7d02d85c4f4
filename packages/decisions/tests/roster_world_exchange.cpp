/** @file roster_world_exchange.cpp How the daemons of a world hear of the store: from itself, or from each other. */
#include "roster_world_parts.h"
#include "upstream_func.h"

#include <algorithm>

namespace quetzalspool::test {

namespace {

constexpr milliseconds questionInterval{400}; ///< Between two questions to another daemon.

/** Tells a daemon which of the known nodes are missing, once it knows all entries. */
void deliverMissing(roster_simulation &simulation, fake_node &node)
{
    std::vector<instance_id> missing;
    for (const auto &[id, seen] : node.roster.nodes) {
        if (findExisting(node.mirror, keyOf("nodes", id.value)) == nullptr && seen.marker <= node.mirror.seen) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        applyEntry(node.roster, id, std::nullopt, node.mirror.seen, simulation.now);
    }
    node.roster.listed = true;
}

/** Carries a message between two daemons; it may get lost, come late, or come twice. */
void carry(roster_simulation &simulation, std::size_t from, std::size_t to, const std::function<void()> &act)
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

void takeAnswer(roster_simulation &simulation, std::size_t index, const changes_answer &answer, steady_time sentAt)
{
    auto &node = simulation.nodes[index];
    deliverChanges(simulation, node, takeUpdate(node.mirror, answer.updates.front()));
    if (answer.updates.front().whole) {
        deliverMissing(simulation, node);
    }
    const bool same = digestOf(node.mirror) == answer.updates.front().digest;
    takeProof(node.exchange, node.roster, answer, same, sentAt, simulation.now);
}

/** Answers a question from another daemon. */
void answerQuestion(roster_simulation &simulation, std::size_t asker, std::size_t asked, revision_number seen,
                    const std::string &id, steady_time sentAt)
{
    auto &node = simulation.nodes[asked];
    node.exchange.askedAt = simulation.now;
    if (!isFresh(node.exchange, simulation.now)) {
        return;
    }
    changes_answer answer;
    answer.updates = {changesAfter(node.mirror, seen)};
    answer.verifiedAfter = verifiedAfter(node.exchange, node.roster.timing, simulation.now);
    const auto *entry = findExisting(node.mirror, keyOf("nodes", id));
    answer.entry = entry == nullptr ? revision_number{} : entry->revision;
    answer.knownAfter = knownAfter(node.exchange, simulation.now);
    carry(simulation, asked, asker,
          [&simulation, asker, answer, sentAt] { takeAnswer(simulation, asker, answer, sentAt); });
}

} // namespace

void deliverValue(roster_simulation &simulation, fake_node &node, const std::string &key, const fake_value &value)
{
    last_reason why;
    const auto name = key.substr(key.find('/') + 1);
    if (key.starts_with("nodes/")) {
        applyEntry(node.roster, {name}, parseNode(value.text, why), {value.revision}, simulation.now);
    } else if (key.starts_with("markers/")) {
        applyMarker(node.roster, {name}, {value.revision});
    } else if (auto record = parseOwnership(value.text, why)) {
        applyOwnership(node.roster, {*record, {value.revision}});
    }
}

/** Delivers what is news to a daemon. */
void deliverChanges(roster_simulation &simulation, fake_node &node, const std::vector<key_change> &news)
{
    for (const auto &change : news) {
        if (!change.now.removed) {
            deliverValue(simulation, node, change.key, {change.now.text, change.now.revision.value, 0});
        } else if (change.key.starts_with("nodes/")) {
            const instance_id id{change.key.substr(change.key.find('/') + 1)};
            const auto seen = node.roster.nodes.find(id);
            if (seen == node.roster.nodes.end() || change.now.revision > seen->second.marker) {
                applyEntry(node.roster, id, std::nullopt, change.now.revision, simulation.now);
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

/** What the watch and lists tell: everything present, and that known entries are missing. */
void followStore(roster_simulation &simulation, fake_node &node)
{
    if (isTold(node.exchange, simulation.now)) {
        node.exchange.watchedSince.reset();
        return;
    }
    if (!node.exchange.watchedSince) {
        node.exchange.watchedSince = simulation.now;
    }
    if (!reachesStore(simulation, node) || simulation.now < node.watchStalledUntil
        || node.watchedRevision == simulation.store.revision) {
        return;
    }
    ++simulation.storeReads;
    deliverChanges(simulation, node,
                   takeWhole(node.mirror, "", changesOf(simulation.store.values, ""), {simulation.store.revision}));
    deliverMissing(simulation, node);
    node.watchedRevision = simulation.store.revision;
}

/** Asks another daemon for changes, if it is time to. */
void pollPeer(roster_simulation &simulation, std::size_t index)
{
    auto &node = simulation.nodes[index];
    if (!simulation.peerExchange || !node.roster.listed || simulation.now < node.nextPeerRequest) {
        return;
    }
    node.nextPeerRequest = simulation.now + questionInterval;
    const auto upstreams = upstreamsOf(node.roster);
    if (upstreams.empty()) {
        endTold(node.exchange);
        return;
    }
    // Peer ports count up from 1 in the order of the nodes.
    const std::size_t asked = upstreams[simulation.random() % upstreams.size()].port - 1U;
    const auto seen = askAfter(node.mirror);
    const auto id = node.roster.self.member.id.value;
    carry(simulation, index, asked, [&simulation, index, asked, seen, id, sentAt = simulation.now] {
        answerQuestion(simulation, index, asked, seen, id, sentAt);
    });
}

} // namespace quetzalspool::test
