/** @file roster_world_exchange.cpp How the daemons of a world hear of the store: from itself, or from each other. */
#include "roster_world_parts.h"
#include "upstream_func.h"

#include <algorithm>

namespace quetzalspool::test {

namespace {

constexpr milliseconds questionInterval{400}; ///< Between two questions to another daemon.

/** Tells a daemon which of the known nodes are missing, once it knows all entries. */
void deliverMissing(roster_world &world, fake_node &node)
{
    std::vector<instance_id> missing;
    for (const auto &[id, seen] : node.roster.nodes) {
        if (findExisting(node.mirror, keyOf("nodes", id.value)) == nullptr && seen.marker <= node.mirror.seen) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        takeEntry(node.roster, id, std::nullopt, node.mirror.seen, world.now);
    }
    node.roster.listed = true;
}

/** Carries a message between two daemons; it may get lost, come late, or come twice. */
void carry(roster_world &world, std::size_t from, std::size_t to, const std::function<void()> &act)
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

void takeAnswer(roster_world &world, std::size_t index, const changes_answer &answer, steady_time sentAt)
{
    auto &node = world.nodes[index];
    deliverNews(world, node, takeUpdate(node.mirror, answer.updates.front()));
    if (answer.updates.front().whole) {
        deliverMissing(world, node);
    }
    const bool same = digestOf(node.mirror) == answer.updates.front().digest;
    takeProof(node.exchange, node.roster, answer, same, sentAt, world.now);
}

/** Answers a question from another daemon. */
void answerQuestion(roster_world &world, std::size_t asker, std::size_t asked, revision_number seen,
                    const std::string &id, steady_time sentAt)
{
    auto &node = world.nodes[asked];
    node.exchange.askedAt = world.now;
    if (!isFresh(node.exchange, world.now)) {
        return;
    }
    changes_answer answer;
    answer.updates = {changesAfter(node.mirror, seen)};
    answer.verifiedAfter = verifiedAfter(node.exchange, node.roster.timing, world.now);
    const auto *entry = findExisting(node.mirror, keyOf("nodes", id));
    answer.entry = entry == nullptr ? revision_number{} : entry->revision;
    answer.knownAfter = knownAfter(node.exchange, world.now);
    carry(world, asked, asker, [&world, asker, answer, sentAt] { takeAnswer(world, asker, answer, sentAt); });
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

/** Delivers what is news to a daemon. */
void deliverNews(roster_world &world, fake_node &node, const std::vector<key_change> &news)
{
    for (const auto &change : news) {
        if (!change.now.removed) {
            deliver(world, node, change.key, {change.now.text, change.now.revision.value, 0});
        } else if (change.key.starts_with("nodes/")) {
            const instance_id id{change.key.substr(change.key.find('/') + 1)};
            const auto seen = node.roster.nodes.find(id);
            if (seen == node.roster.nodes.end() || change.now.revision > seen->second.marker) {
                takeEntry(node.roster, id, std::nullopt, change.now.revision, world.now);
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
void follow(roster_world &world, fake_node &node)
{
    if (isTold(node.exchange, world.now)) {
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
    deliverNews(world, node, takeWhole(node.mirror, "", changesOf(world.store.values, ""), {world.store.revision}));
    deliverMissing(world, node);
    node.known = world.store.revision;
}

/** Asks another daemon for changes, if it is time to. */
void ask(roster_world &world, std::size_t index)
{
    auto &node = world.nodes[index];
    if (!world.exchanges || !node.roster.listed || world.now < node.nextQuestion) {
        return;
    }
    node.nextQuestion = world.now + questionInterval;
    const auto upstreams = upstreamsOf(node.roster);
    if (upstreams.empty()) {
        endTold(node.exchange);
        return;
    }
    // Peer ports count up from 1 in the order of the nodes.
    const std::size_t asked = upstreams[world.random() % upstreams.size()].port - 1U;
    const auto seen = askAfter(node.mirror);
    const auto id = node.roster.self.member.id.value;
    carry(world, index, asked, [&world, index, asked, seen, id, sentAt = world.now] {
        answerQuestion(world, index, asked, seen, id, sentAt);
    });
}

} // namespace quetzalspool::test
