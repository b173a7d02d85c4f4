/** @file roster_simulation.cpp Simulates daemons with targets and a store with leases. */
#include "roster_simulation_internal.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace quetzalspool::test {

namespace {

constexpr milliseconds timeStep{10}; ///< Length of one simulation step.
constexpr milliseconds reportInterval{870}; ///< Between two reports of a target.
constexpr milliseconds releaseReportDelay{80}; ///< Delay of the report after a release of slots.
constexpr milliseconds oneWayDelay{3}; ///< Network delay to or from the store.
constexpr milliseconds callTimeout{900}; ///< After this time a call counts as unanswered.
constexpr milliseconds copyInterval{200}; ///< Between two copies of the store.
constexpr milliseconds copyRetention{15000}; ///< How long a copy is kept.
const pool_id pool{"p"};

void put(roster_simulation &simulation, const std::string &key, const std::string &text, std::int64_t lease)
{
    simulation.store.values[key] = {text, simulation.store.revision, lease};
}

void expireLeases(roster_simulation &simulation)
{
    for (auto lease = simulation.store.leases.begin(); lease != simulation.store.leases.end();) {
        if (lease->second.endsAt > simulation.now) {
            ++lease;
            continue;
        }
        std::erase_if(simulation.store.values, [&](const auto &entry) { return entry.second.lease == lease->first; });
        ++simulation.store.revision;
        lease = simulation.store.leases.erase(lease);
    }
}

/** Copies the store, if a copy is due. */
void copyStore(roster_simulation &simulation)
{
    auto &copies = simulation.copies;
    if (!copies.empty() && simulation.now - copies.back().at < copyInterval) {
        return;
    }
    copies.push_back({simulation.now, simulation.store});
    std::erase_if(copies, [&](const auto &copy) { return simulation.now - copy.at > copyRetention; });
}

std::int64_t revisionOf(const roster_simulation &simulation, const std::string &key)
{
    const auto found = simulation.store.values.find(key);
    return found == simulation.store.values.end() ? 0 : found->second.revision;
}

/** Whether a condition of a write holds; the store compares its own revisions. */
bool holds(const roster_simulation &simulation, const std::string &key, revision_number required)
{
    return revisionOf(simulation, key) == storeRevisionOf(required);
}

/** Whether a daemon knows that a condition can't hold, since its revision is of a lost era. */
bool isOfLostEra(const fake_node &node, revision_number required)
{
    return required != revision_number{} && eraOf(required) < node.roster.era;
}

/** Simulates a store call: request, processing and response. The request may be late, and both may be lost. */
void callStore(roster_simulation &simulation, std::size_t index, std::function<std::function<void()>()> act,
               std::function<void()> unanswered)
{
    const auto daemonRun = simulation.nodes[index].run;
    const auto done = std::make_shared<bool>(false);
    const auto sentIn = simulation.nodes[index].roster.era;
    const auto current = [&simulation, index, daemonRun, done] {
        return simulation.nodes[index].run == daemonRun && simulation.nodes[index].up && !*done;
    };
    after(simulation, callTimeout, [current, done, unanswered] {
        if (current()) {
            *done = true;
            unanswered();
        }
    });
    const bool late = chance(simulation, simulation.lateWriteRate);
    after(simulation, late ? milliseconds(1000 + simulation.random() % 5000) : oneWayDelay,
          [&simulation, index, act, unanswered, current, done, sentIn] {
              if (!reachesStore(simulation, simulation.nodes[index])) {
                  return;
              }
              const auto answer = act();
              if (chance(simulation, simulation.responseLossRate)) {
                  return;
              }
              const auto era = simulation.store.era;
              after(simulation, oneWayDelay, [&simulation, index, answer, unanswered, current, done, era, sentIn] {
                  auto &node = simulation.nodes[index];
                  if (!current() || simulation.now < node.storeUnreachableUntil || era < node.roster.era) {
                      return;
                  }
                  *done = true;
                  observeEra(simulation, node, era);
                  if (era == sentIn) {
                      answer();
                  } else {
                      unanswered();
                  }
              });
          });
}

void perform(roster_simulation &simulation, std::size_t index, roster_action action);

void writeEntry(roster_simulation &simulation, std::size_t index, const write_entry_action &action)
{
    auto &node = simulation.nodes[index];
    const auto sentAt = simulation.now;
    const auto id = node.roster.self.member.id.value;
    const auto act = [&simulation, index, action, sentAt, id]() -> std::function<void()> {
        auto &at = simulation.nodes[index];
        auto &store = simulation.store;
        const auto marker = keyOf("markers", id);
        const auto entry = keyOf("nodes", id);
        const bool conditionsHold =
            holds(simulation, marker, action.marker) && (!action.present || holds(simulation, entry, action.marker));
        if (!conditionsHold) {
            const auto known = position(simulation, revisionOf(simulation, marker));
            return [&simulation, index, action, sentAt, known, id] {
                applyMarker(simulation.nodes[index].roster, {id}, known);
                completeEntryWrite(simulation.nodes[index].roster, action.entry, roster_outcome::conflicted, {}, sentAt,
                                   simulation.now);
            };
        }
        if (!store.leases.contains(at.lease)) {
            at.lease = store.nextLease++;
            store.leases[at.lease] = {at.roster.timing.entryTtl, simulation.now + at.roster.timing.entryTtl};
        }
        ++store.revision;
        put(simulation, marker, "run", 0);
        put(simulation, entry, formatNode(action.entry), at.lease);
        const auto revision = position(simulation, store.revision);
        return [&simulation, index, action, sentAt, revision] {
            completeEntryWrite(simulation.nodes[index].roster, action.entry, roster_outcome::stored, revision, sentAt,
                               simulation.now);
        };
    };
    callStore(simulation, index, act, [&simulation, index, action, sentAt] {
        completeEntryWrite(simulation.nodes[index].roster, action.entry, roster_outcome::unclear, {}, sentAt,
                           simulation.now);
    });
}

void readOwners(roster_simulation &simulation, std::size_t index)
{
    const auto sentAt = simulation.now;
    const auto act = [&simulation, index, sentAt]() -> std::function<void()> {
        const auto owners = changesOf(simulation, "owners/");
        return [&simulation, index, sentAt, owners] {
            for (const auto &change : owners) {
                deliverValue(simulation, simulation.nodes[index], change.key, change.value);
            }
            completeOwnersRead(simulation.nodes[index].roster, true, sentAt, simulation.now);
        };
    };
    callStore(simulation, index, act, [&simulation, index, sentAt] {
        completeOwnersRead(simulation.nodes[index].roster, false, sentAt, simulation.now);
    });
}

void confirmEntry(roster_simulation &simulation, std::size_t index)
{
    const auto sentAt = simulation.now;
    const auto &asking = simulation.nodes[index];
    const bool all = simulation.peerExchange && servesFollowers(asking.exchange, asking.roster, simulation.now);
    const auto act = [&simulation, index, sentAt, all]() -> std::function<void()> {
        ++simulation.storeReads;
        const auto entries = changesOf(simulation, "nodes/");
        const auto storeRevision = position(simulation, simulation.store.revision);
        const auto key = keyOf("nodes", simulation.nodes[index].roster.self.member.id.value);
        const auto found = simulation.store.values.find(key);
        std::optional<roster_node> entry;
        last_reason why;
        if (found != simulation.store.values.end()) {
            entry = parseNode(found->second.text, why);
        }
        const auto revision = position(simulation, revisionOf(simulation, key));
        return [&simulation, index, entry, revision, sentAt, all, entries, storeRevision] {
            auto &node = simulation.nodes[index];
            completeEntryRead(node.roster, entry, revision, sentAt, simulation.now);
            advanceWatchWatermark(node.exchange, sentAt);
            if (all) {
                deliverChanges(simulation, node, applyListing(node.mirror, "nodes/", entries, storeRevision));
                recordVerification(node.exchange, sentAt);
            }
        };
    };
    callStore(simulation, index, act,
              [&simulation, index] { failEntryRead(simulation.nodes[index].roster, simulation.now); });
}

void renewLease(roster_simulation &simulation, std::size_t index)
{
    const auto act = [&simulation, index, sentAt = simulation.now]() -> std::function<void()> {
        const auto lease = simulation.store.leases.find(simulation.nodes[index].lease);
        if (lease != simulation.store.leases.end()) {
            lease->second.endsAt = simulation.now + lease->second.ttl;
            return [&simulation, index, sentAt] { advanceWatchWatermark(simulation.nodes[index].exchange, sentAt); };
        }
        return [&simulation, index] { expireEntry(simulation.nodes[index].roster, simulation.now); };
    };
    callStore(simulation, index, act, [] {});
}

void writeOwners(roster_simulation &simulation, std::size_t index, const write_owners_action &action)
{
    auto &node = simulation.nodes[index];
    const auto id = node.roster.self.member.id.value;
    if (isOfLostEra(node, action.expected) || isOfLostEra(node, action.marker)) {
        completeOwnersWrite(node.roster, action.record, roster_outcome::conflicted, {}, simulation.now);
        return;
    }
    const auto act = [&simulation, index, action, id]() -> std::function<void()> {
        const auto key = keyOf("owners", pool.value);
        bool conditionsHold =
            holds(simulation, key, action.expected) && holds(simulation, keyOf("markers", id), action.marker);
        for (const auto &absent : action.absent) {
            conditionsHold = conditionsHold && revisionOf(simulation, keyOf("nodes", absent.node.value)) == 0
                && holds(simulation, keyOf("markers", absent.node.value), absent.marker);
        }
        if (!conditionsHold) {
            return [&simulation, index, action] {
                completeOwnersWrite(simulation.nodes[index].roster, action.record, roster_outcome::conflicted, {},
                                    simulation.now);
            };
        }
        ++simulation.store.revision;
        put(simulation, key, formatOwnership(action.record), 0);
        const auto revision = position(simulation, simulation.store.revision);
        return [&simulation, index, action, revision] {
            completeOwnersWrite(simulation.nodes[index].roster, action.record, roster_outcome::stored, revision,
                                simulation.now);
        };
    };
    callStore(simulation, index, act, [&simulation, index, action] {
        completeOwnersWrite(simulation.nodes[index].roster, action.record, roster_outcome::unclear, {}, simulation.now);
    });
}

void perform(roster_simulation &simulation, std::size_t index, roster_action action)
{
    if (const auto *entryWrite = std::get_if<write_entry_action>(&action)) {
        writeEntry(simulation, index, *entryWrite);
    } else if (const auto *ownersWrite = std::get_if<write_owners_action>(&action)) {
        writeOwners(simulation, index, *ownersWrite);
    } else if (std::holds_alternative<read_owners_action>(action)) {
        readOwners(simulation, index);
    } else if (std::holds_alternative<confirm_entry_action>(action)) {
        confirmEntry(simulation, index);
    } else {
        renewLease(simulation, index);
    }
}

/**
 * Applies a grant to a target, which releases all slots that the grant omits. A range under an older fencing token than
 * the highest one granted violates an invariant.
 */
void applyGrant(roster_simulation &simulation, fake_target &target, const target_grant &grant, steady_time sentAt)
{
    for (const auto &held : target.heldRanges) {
        const bool kept = std::any_of(grant.ranges.begin(), grant.ranges.end(), [&](const auto &range) {
            return range.fence == held.fence && range.first <= held.first && held.last <= range.last;
        });
        if (!kept) {
            target.releasedRanges.push_back({held.first, held.last, held.fence, "token"});
            target.nextReport = simulation.now + releaseReportDelay;
        }
    }
    target.heldRanges = grant.ranges;
    // Its clock runs 2% slow, so it serves longer than granted.
    target.grantExpiresAt = sentAt + grant.duration * 102 / 100;
    for (const auto &range : grant.ranges) {
        for (auto slot = range.first; slot <= range.last; ++slot) {
            auto &highest = simulation.highestFence[slot];
            if (range.fence.value < highest && simulation.violation.empty()) {
                simulation.violation = "slot " + std::to_string(slot) + " granted under an older fence";
            }
            highest = std::max(highest, range.fence.value);
        }
    }
}

target_report reportOf(const fake_target &target)
{
    target_report message;
    message.incarnation = target.incarnation;
    message.sequence = target.sequence;
    message.announcement = {pool, {"127.0.0.1", 1}, 12, 12, true};
    message.leaving = target.leaving;
    for (const auto &range : target.heldRanges) {
        message.heldRanges.push_back({range.first, range.last, range.fence, ""});
    }
    message.releasedRanges = target.releasedRanges;
    return message;
}

void sendReport(roster_simulation &simulation, std::size_t index)
{
    auto &node = simulation.nodes[index];
    auto &target = node.target;
    target.nextReport = simulation.now + reportInterval;
    if (simulation.now >= target.grantExpiresAt) {
        target.heldRanges.clear();
    }
    ++target.sequence;
    const auto message = reportOf(target);
    if (!node.up) {
        return;
    }
    const auto sentAt = simulation.now;
    const auto grant = applyReport(node.roster, message, simulation.now);
    target.releasedRanges.clear();
    if (grant && !chance(simulation, 0.02)) {
        applyGrant(simulation, target, *grant, sentAt);
    }
}

void stepNode(roster_simulation &simulation, std::size_t index)
{
    auto &node = simulation.nodes[index];
    if (simulation.now < node.pausedUntil) {
        return;
    }
    if (node.up) {
        followStore(simulation, node);
        pollPeer(simulation, index);
        setRenewalRate(node.exchange, node.roster, simulation.now);
        for (auto &action : tick(node.roster, simulation.now)) {
            perform(simulation, index, std::move(action));
        }
    }
    if (!node.target.incarnation.id.empty() && simulation.now >= node.target.nextReport) {
        sendReport(simulation, index);
    }
}

/** Checks that no slot is held by two targets at once. */
void checkExclusiveOwnership(roster_simulation &simulation)
{
    std::array<const fake_target *, numericSlots> holders{};
    for (const auto &node : simulation.nodes) {
        const auto &target = node.target;
        if (target.incarnation.id.empty() || simulation.now >= target.grantExpiresAt) {
            continue;
        }
        for (const auto &range : target.heldRanges) {
            for (auto slot = range.first; slot <= range.last; ++slot) {
                const auto *other = std::exchange(holders.at(slot), &target);
                if (other != nullptr && other != &target && simulation.violation.empty()) {
                    simulation.violation =
                        "slot " + std::to_string(slot) + " held by " + other->incarnation.id + " and "
                        + target.incarnation.id + " at "
                        + std::to_string(
                            std::chrono::duration_cast<milliseconds>(simulation.now.time_since_epoch()).count());
                }
            }
        }
    }
}

void startDaemon(roster_simulation &simulation, std::size_t index)
{
    auto &node = simulation.nodes[index];
    roster_node self;
    self.member.id.value = "n" + std::to_string(index);
    self.member.incarnation.value = simulation.random();
    self.member.region.value = "north";
    self.member.domain.value = "north-" + std::to_string(index % 2);
    self.member.endpoints = {"127.0.0.1", 0, static_cast<std::uint16_t>(index + 1), 0};
    ++node.run;
    node.up = true;
    node.watchedRevision = {};
    node.lease = 0;
    node.mirror = {};
    node.exchange = {};
    node.roster = startRoster(self, {}, simulation.now);
    node.roster.keyedPools.insert(pool);
}

} // namespace

bool chance(roster_simulation &simulation, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(simulation.random) < probability;
}

std::string keyOf(const char *kind, const std::string &name)
{
    return std::string(kind) + "/" + name;
}

void after(roster_simulation &simulation, milliseconds wait, std::function<void()> act)
{
    simulation.pendingEvents.emplace(simulation.now + wait, std::move(act));
}

revision_number position(const roster_simulation &simulation, std::int64_t storeRevision)
{
    return storeRevision == 0 ? revision_number{} : revisionInEra(simulation.store.era, storeRevision);
}

void observeEra(roster_simulation &simulation, fake_node &node, era_number era)
{
    if (beginEra(node.roster, era, simulation.now)) {
        node.lease = 0;
        node.exchange.watchedSince.reset();
    }
}

bool reachesStore(const roster_simulation &simulation, const fake_node &node)
{
    return simulation.now >= simulation.storeDownUntil && simulation.now >= node.storeUnreachableUntil;
}

roster_simulation makeRosterSimulation(std::uint64_t seed, std::size_t count)
{
    roster_simulation simulation;
    simulation.random.seed(seed);
    simulation.nodes.resize(count);
    for (std::size_t index = 0; index < count; ++index) {
        startDaemon(simulation, index);
        restartTarget(simulation, index);
    }
    return simulation;
}

void runFor(roster_simulation &simulation, milliseconds span)
{
    const auto until = simulation.now + span;
    while (simulation.now < until) {
        simulation.now += timeStep;
        if (simulation.now >= simulation.storeDownUntil) {
            expireLeases(simulation);
            copyStore(simulation);
        }
        while (!simulation.pendingEvents.empty() && simulation.pendingEvents.begin()->first <= simulation.now) {
            const auto act = std::move(simulation.pendingEvents.begin()->second);
            simulation.pendingEvents.erase(simulation.pendingEvents.begin());
            act();
        }
        for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
            stepNode(simulation, index);
        }
        checkExclusiveOwnership(simulation);
    }
}

void rewindStore(roster_simulation &simulation, milliseconds age, leases_after_rewind leases)
{
    const auto isTooYoung = [&](const store_copy &copy) { return simulation.now - copy.at < age; };
    const auto copy = std::find_if_not(simulation.copies.rbegin(), simulation.copies.rend(), isTooYoung);
    if (copy == simulation.copies.rend()) {
        return;
    }
    const auto era = simulation.store.era.value + 1;
    simulation.store = copy->store;
    simulation.store.era.value = era;
    if (leases == leases_after_rewind::gone) {
        std::erase_if(simulation.store.values, [](const auto &entry) { return entry.second.lease != 0; });
        simulation.store.leases.clear();
    }
    for (auto &[id, lease] : simulation.store.leases) {
        lease.endsAt = simulation.now + lease.ttl;
    }
    simulation.copies.clear();
}

void restartDaemon(roster_simulation &simulation, std::size_t index)
{
    startDaemon(simulation, index);
}

void resendStaleReport(roster_simulation &simulation, std::size_t index)
{
    auto &node = simulation.nodes[index];
    if (node.up && !node.staleReport.incarnation.id.empty()) {
        auto late = node.staleReport;
        late.sequence += 1000;
        applyReport(node.roster, late, simulation.now);
    }
}

void restartTarget(roster_simulation &simulation, std::size_t index)
{
    auto &target = simulation.nodes[index].target;
    if (!target.incarnation.id.empty()) {
        simulation.nodes[index].staleReport = reportOf(target);
    }
    target = {};
    target.incarnation.id = "t" + std::to_string(++simulation.incarnationsStarted);
    target.incarnation.startedUnixMs =
        std::chrono::duration_cast<milliseconds>(simulation.now.time_since_epoch()).count() + 1
        + static_cast<std::int64_t>(simulation.incarnationsStarted);
    target.nextReport = simulation.now + milliseconds(simulation.random() % 870);
}

void revokeEntry(roster_simulation &simulation, std::size_t index)
{
    const auto key = keyOf("nodes", simulation.nodes[index].roster.self.member.id.value);
    if (simulation.store.values.erase(key) > 0) {
        ++simulation.store.revision;
    }
}

std::uint32_t servedSlotCount(const roster_simulation &simulation)
{
    std::uint32_t count = 0;
    for (const auto &node : simulation.nodes) {
        if (node.target.incarnation.id.empty() || simulation.now >= node.target.grantExpiresAt) {
            continue;
        }
        for (const auto &range : node.target.heldRanges) {
            count += range.last - range.first + 1;
        }
    }
    return count;
}

} // namespace quetzalspool::test
