/** @file roster_world.cpp Daemons with targets over a fake store with leases. */
#include "roster_world_parts.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace quetzalspool::test {

namespace {

constexpr milliseconds step{10}; ///< Length of one step.
constexpr milliseconds reportInterval{870}; ///< Between two reports of a target.
constexpr milliseconds quickReport{80}; ///< Report after slots were given back.
constexpr milliseconds legTime{3}; ///< One way to the store.
constexpr milliseconds callLimit{900}; ///< After this a call counts as unanswered.
const pool_id pool{"p"};

void put(roster_world &world, const std::string &key, const std::string &text, std::int64_t lease)
{
    world.store.values[key] = {text, world.store.revision, lease};
}

void endLeases(roster_world &world)
{
    for (auto lease = world.store.leases.begin(); lease != world.store.leases.end();) {
        if (lease->second.endsAt > world.now) {
            ++lease;
            continue;
        }
        std::erase_if(world.store.values, [&](const auto &entry) { return entry.second.lease == lease->first; });
        ++world.store.revision;
        lease = world.store.leases.erase(lease);
    }
}

std::int64_t revisionOf(const roster_world &world, const std::string &key)
{
    const auto found = world.store.values.find(key);
    return found == world.store.values.end() ? 0 : found->second.revision;
}

/** A call: the request travels, the store acts, the answer travels. Any of the legs may fail. */
void callStore(roster_world &world, std::size_t index, std::function<std::function<void()>()> act,
               std::function<void()> unanswered)
{
    const auto run = world.nodes[index].run;
    const auto done = std::make_shared<bool>(false);
    const auto current = [&world, index, run, done] {
        return world.nodes[index].run == run && world.nodes[index].up && !*done;
    };
    after(world, callLimit, [current, done, unanswered] {
        if (current()) {
            *done = true;
            unanswered();
        }
    });
    const bool late = chance(world, world.lateWrites);
    after(world, late ? milliseconds(1000 + world.random() % 5000) : legTime, [&world, index, act, current, done] {
        if (!reaches(world, world.nodes[index])) {
            return;
        }
        const auto answer = act();
        if (chance(world, world.loseAnswers)) {
            return;
        }
        after(world, legTime, [&world, index, answer, current, done] {
            if (current() && world.now >= world.nodes[index].cutUntil) {
                *done = true;
                answer();
            }
        });
    });
}

void perform(roster_world &world, std::size_t index, roster_action action);

void enter(roster_world &world, std::size_t index, const enter_action &action)
{
    auto &node = world.nodes[index];
    const auto sentAt = world.now;
    const auto id = node.roster.self.member.id.value;
    const auto act = [&world, index, action, sentAt, id]() -> std::function<void()> {
        auto &at = world.nodes[index];
        auto &store = world.store;
        const auto marker = keyOf("markers", id);
        const auto entry = keyOf("nodes", id);
        const bool good = revisionOf(world, marker) == action.marker.value
            && (!action.present || revisionOf(world, entry) == action.marker.value);
        if (!good) {
            const auto known = revisionOf(world, marker);
            return [&world, index, action, sentAt, known, id] {
                takeMarker(world.nodes[index].roster, {id}, {known});
                takeEntered(world.nodes[index].roster, action.entry, roster_outcome::conflicted, {}, sentAt, world.now);
            };
        }
        if (!store.leases.contains(at.lease)) {
            at.lease = store.nextLease++;
            store.leases[at.lease] = {at.roster.timing.entryTtl, world.now + at.roster.timing.entryTtl};
        }
        ++store.revision;
        put(world, marker, "run", 0);
        put(world, entry, formatNode(action.entry), at.lease);
        const auto revision = store.revision;
        return [&world, index, action, sentAt, revision] {
            takeEntered(world.nodes[index].roster, action.entry, roster_outcome::stored, {revision}, sentAt, world.now);
        };
    };
    callStore(world, index, act, [&world, index, action, sentAt] {
        takeEntered(world.nodes[index].roster, action.entry, roster_outcome::unclear, {}, sentAt, world.now);
    });
}

void readOwners(roster_world &world, std::size_t index)
{
    const auto sentAt = world.now;
    const auto act = [&world, index, sentAt]() -> std::function<void()> {
        const auto values = world.store.values;
        return [&world, index, sentAt, values] {
            for (const auto &[key, value] : values) {
                if (key.starts_with("owners/")) {
                    deliver(world, world.nodes[index], key, value);
                }
            }
            takeOwnersRead(world.nodes[index].roster, true, sentAt, world.now);
        };
    };
    callStore(world, index, act,
              [&world, index, sentAt] { takeOwnersRead(world.nodes[index].roster, false, sentAt, world.now); });
}

void confirm(roster_world &world, std::size_t index)
{
    const auto sentAt = world.now;
    const auto &asking = world.nodes[index];
    const bool all = world.exchanges && readsForOthers(asking.exchange, asking.roster, world.now);
    const auto act = [&world, index, sentAt, all]() -> std::function<void()> {
        ++world.storeReads;
        const auto entries = changesOf(world.store.values, "nodes/");
        const revision_number storeRevision{world.store.revision};
        const auto key = keyOf("nodes", world.nodes[index].roster.self.member.id.value);
        const auto found = world.store.values.find(key);
        std::optional<roster_node> entry;
        last_reason why;
        if (found != world.store.values.end()) {
            entry = parseNode(found->second.text, why);
        }
        const auto revision = revisionOf(world, key);
        return [&world, index, entry, revision, sentAt, all, entries, storeRevision] {
            auto &node = world.nodes[index];
            takeConfirmed(node.roster, entry, {revision}, sentAt, world.now);
            noteHeard(node.exchange, sentAt);
            if (all) {
                deliverNews(world, node, takeWhole(node.mirror, "nodes/", entries, storeRevision));
                noteVerified(node.exchange, sentAt);
            }
        };
    };
    callStore(world, index, act, [&world, index] { takeUnconfirmed(world.nodes[index].roster, world.now); });
}

void renew(roster_world &world, std::size_t index)
{
    const auto act = [&world, index, sentAt = world.now]() -> std::function<void()> {
        const auto lease = world.store.leases.find(world.nodes[index].lease);
        if (lease != world.store.leases.end()) {
            lease->second.endsAt = world.now + lease->second.ttl;
            return [&world, index, sentAt] { noteHeard(world.nodes[index].exchange, sentAt); };
        }
        return [&world, index] { takeLapsed(world.nodes[index].roster, world.now); };
    };
    callStore(world, index, act, [] {});
}

void assign(roster_world &world, std::size_t index, const assign_action &action)
{
    const auto id = world.nodes[index].roster.self.member.id.value;
    const auto act = [&world, index, action, id]() -> std::function<void()> {
        const auto key = keyOf("owners", pool.value);
        bool good = revisionOf(world, key) == action.expected.value
            && revisionOf(world, keyOf("markers", id)) == action.marker.value;
        for (const auto &absent : action.absent) {
            good = good && revisionOf(world, keyOf("nodes", absent.node.value)) == 0
                && revisionOf(world, keyOf("markers", absent.node.value)) == absent.marker.value;
        }
        if (!good) {
            return [&world, index, action] {
                takeAssigned(world.nodes[index].roster, action.record, roster_outcome::conflicted, {}, world.now);
            };
        }
        ++world.store.revision;
        put(world, key, formatRuns(action.record), 0);
        const auto revision = world.store.revision;
        return [&world, index, action, revision] {
            takeAssigned(world.nodes[index].roster, action.record, roster_outcome::stored, {revision}, world.now);
        };
    };
    callStore(world, index, act, [&world, index, action] {
        takeAssigned(world.nodes[index].roster, action.record, roster_outcome::unclear, {}, world.now);
    });
}

void perform(roster_world &world, std::size_t index, roster_action action)
{
    if (const auto *entering = std::get_if<enter_action>(&action)) {
        enter(world, index, *entering);
    } else if (const auto *assigning = std::get_if<assign_action>(&action)) {
        assign(world, index, *assigning);
    } else if (std::holds_alternative<read_owners_action>(action)) {
        readOwners(world, index);
    } else if (std::holds_alternative<confirm_action>(action)) {
        confirm(world, index);
    } else {
        renew(world, index);
    }
}

/** The target takes a grant: what is left out is given back; a row under an older fence than seen is refused. */
void takeGrant(roster_world &world, fake_target &target, const target_grant &grant, steady_time sentAt)
{
    for (const auto &held : target.holds) {
        const bool kept = std::any_of(grant.runs.begin(), grant.runs.end(), [&](const auto &run) {
            return run.fence == held.fence && run.first <= held.first && held.last <= run.last;
        });
        if (!kept) {
            target.freed.push_back({held.first, held.last, held.fence, "token"});
            target.nextReport = world.now + quickReport;
        }
    }
    target.holds = grant.runs;
    // Its clock runs 2% slow, so its hold lasts longer than granted.
    target.holdsUntil = sentAt + grant.hold * 102 / 100;
    for (const auto &run : grant.runs) {
        for (auto slot = run.first; slot <= run.last; ++slot) {
            auto &highest = world.highestFence[slot];
            if (run.fence.value < highest && world.fault.empty()) {
                world.fault = "slot " + std::to_string(slot) + " granted under an older fence";
            }
            highest = std::max(highest, run.fence.value);
        }
    }
}

target_report reportOf(const fake_target &target)
{
    target_report message;
    message.life = target.life;
    message.sequence = target.sequence;
    message.facts = {pool, {"127.0.0.1", 1}, 12, 12, true};
    message.leaving = target.leaving;
    for (const auto &run : target.holds) {
        message.holds.push_back({run.first, run.last, run.fence, ""});
    }
    message.freed = target.freed;
    return message;
}

void report(roster_world &world, std::size_t index)
{
    auto &node = world.nodes[index];
    auto &target = node.target;
    target.nextReport = world.now + reportInterval;
    if (world.now >= target.holdsUntil) {
        target.holds.clear();
    }
    ++target.sequence;
    const auto message = reportOf(target);
    if (!node.up) {
        return;
    }
    const auto sentAt = world.now;
    const auto grant = takeReport(node.roster, message, world.now);
    target.freed.clear();
    if (grant && !chance(world, 0.02)) {
        takeGrant(world, target, *grant, sentAt);
    }
}

void stepNode(roster_world &world, std::size_t index)
{
    auto &node = world.nodes[index];
    if (world.now < node.pausedUntil) {
        return;
    }
    if (node.up) {
        follow(world, node);
        ask(world, index);
        chooseRenewal(node.exchange, node.roster, world.now);
        for (auto &action : tick(node.roster, world.now)) {
            perform(world, index, std::move(action));
        }
    }
    if (!node.target.life.id.empty() && world.now >= node.target.nextReport) {
        report(world, index);
    }
}

/** Checks that no slot is held by two targets. */
void checkOwners(roster_world &world)
{
    std::array<const fake_target *, numericSlots> takenBy{};
    for (const auto &node : world.nodes) {
        const auto &target = node.target;
        if (target.life.id.empty() || world.now >= target.holdsUntil) {
            continue;
        }
        for (const auto &run : target.holds) {
            for (auto slot = run.first; slot <= run.last; ++slot) {
                const auto *other = std::exchange(takenBy.at(slot), &target);
                if (other != nullptr && other != &target && world.fault.empty()) {
                    world.fault = "slot " + std::to_string(slot) + " held by " + other->life.id + " and "
                        + target.life.id + " at "
                        + std::to_string(
                                      std::chrono::duration_cast<milliseconds>(world.now.time_since_epoch()).count());
                }
            }
        }
    }
}

void startDaemon(roster_world &world, std::size_t index)
{
    auto &node = world.nodes[index];
    roster_node self;
    self.member.id.value = "n" + std::to_string(index);
    self.member.incarnation.value = world.random();
    self.member.region.value = "north";
    self.member.domain.value = "north-" + std::to_string(index % 2);
    self.member.endpoints = {"127.0.0.1", 0, static_cast<std::uint16_t>(index + 1), 0};
    ++node.run;
    node.up = true;
    node.known = 0;
    node.lease = 0;
    node.mirror = {};
    node.exchange = {};
    node.roster = startRoster(self, {}, world.now);
    node.roster.keyedPools.insert(pool);
}

} // namespace

bool chance(roster_world &world, double part)
{
    return std::uniform_real_distribution<double>(0, 1)(world.random) < part;
}

std::string keyOf(const char *kind, const std::string &name)
{
    return std::string(kind) + "/" + name;
}

void after(roster_world &world, milliseconds wait, std::function<void()> act)
{
    world.due.emplace(world.now + wait, std::move(act));
}

bool reaches(const roster_world &world, const fake_node &node)
{
    return world.now >= world.storeDownUntil && world.now >= node.cutUntil;
}

roster_world makeRosterWorld(std::uint64_t seed, std::size_t count)
{
    roster_world world;
    world.random.seed(seed);
    world.nodes.resize(count);
    for (std::size_t index = 0; index < count; ++index) {
        startDaemon(world, index);
        restartTarget(world, index);
    }
    return world;
}

void runFor(roster_world &world, milliseconds span)
{
    const auto until = world.now + span;
    while (world.now < until) {
        world.now += step;
        if (world.now >= world.storeDownUntil) {
            endLeases(world);
        }
        while (!world.due.empty() && world.due.begin()->first <= world.now) {
            const auto act = std::move(world.due.begin()->second);
            world.due.erase(world.due.begin());
            act();
        }
        for (std::size_t index = 0; index < world.nodes.size(); ++index) {
            stepNode(world, index);
        }
        checkOwners(world);
    }
}

void restartDaemon(roster_world &world, std::size_t index)
{
    startDaemon(world, index);
}

void repeatDeadReport(roster_world &world, std::size_t index)
{
    auto &node = world.nodes[index];
    if (node.up && !node.deadReport.life.id.empty()) {
        auto late = node.deadReport;
        late.sequence += 1000;
        takeReport(node.roster, late, world.now);
    }
}

void restartTarget(roster_world &world, std::size_t index)
{
    auto &target = world.nodes[index].target;
    if (!target.life.id.empty()) {
        world.nodes[index].deadReport = reportOf(target);
    }
    target = {};
    target.life.id = "t" + std::to_string(++world.targets);
    target.life.born = std::chrono::duration_cast<milliseconds>(world.now.time_since_epoch()).count() + 1
        + static_cast<std::int64_t>(world.targets);
    target.nextReport = world.now + milliseconds(world.random() % 870);
}

void revokeEntry(roster_world &world, std::size_t index)
{
    const auto key = keyOf("nodes", world.nodes[index].roster.self.member.id.value);
    if (world.store.values.erase(key) > 0) {
        ++world.store.revision;
    }
}

std::uint32_t servedSlotCount(const roster_world &world)
{
    std::uint32_t count = 0;
    for (const auto &node : world.nodes) {
        if (node.target.life.id.empty() || world.now >= node.target.holdsUntil) {
            continue;
        }
        for (const auto &run : node.target.holds) {
            count += run.last - run.first + 1;
        }
    }
    return count;
}

} // namespace quetzalspool::test
