/** @file roster_control.cpp The control thread of a daemon whose keys are owned by leases of the store. */
#include "roster_control.h"

#include "admission_func.h"
#include "byte_metrics.h"
#include "cold_control.h"
#include "crash_sync.h"
#include "datagrams.h"
#include "drain_admission_func.h"
#include "drain_sync.h"
#include "drained_domains_func.h"
#include "elapsed_clock.h"
#include "exchange_func.h"
#include "http_server.h"
#include "log_func.h"
#include "message_type.h"
#include "roster_exchange.h"
#include "roster_func.h"
#include "roster_metrics.h"
#include "roster_mirror.h"
#include "roster_relay.h"
#include "roster_start.h"
#include "roster_sync.h"
#include "routing_func.h"
#include "traffic_start.h"
#include "where_query.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds tickInterval{50}; ///< Interval at which due actions are checked.
constexpr milliseconds grantTransferTime{10}; ///< From the answer to a report until the target knows of its new grant;
                                              ///< it refuses requests that it receives earlier.
constexpr milliseconds loadReportInterval{500}; ///< Interval between load reports.
constexpr double initialServiceMs = 200; ///< Service time in milliseconds, assumed until one is measured.
constexpr milliseconds defaultLeaveTime{2000}; ///< Default time that a target serves after its leave was acknowledged.
constexpr int leaveAdmissionPercent = 75; ///< Percentage of the leave time in which new requests are admitted; the rest
                                          ///< is for those in flight.
constexpr milliseconds rosterWatchDelay{600}; ///< From the first read to the first watch: all daemons start within
                                              ///< some tenths of a second, so upstream daemons are known by then.
constexpr int confirmsPerLease = 3; ///< Minimum number of confirmations of the entry within one lease period.
constexpr milliseconds stallLimit{4000}; ///< A busy target that finishes no request for this long counts as stalled.
const cell_id rosterCell{"roster"}; ///< Cell that represents the roster in the routing view.

/** Returns the usable nodes, as members for routing. */
std::vector<cell_member> usableMembers(const roster_control &control, steady_time now)
{
    std::vector<cell_member> members;
    for (const auto &[id, known] : control.state.nodes) {
        if (isUsable(control.state, known, now)) {
            members.push_back(id == control.state.self.member.id ? control.state.self.member : known.node->member);
        }
    }
    return members;
}

owner_range makeOwnerTable(const ownership_record &record, const std::vector<cell_member> &members)
{
    // Members are sorted by id.
    const auto indexOf = [&](const instance_id &id) {
        const auto found = std::lower_bound(members.begin(), members.end(), id,
                                            [](const auto &member, const auto &wanted) { return member.id < wanted; });
        const bool known = found != members.end() && found->id == id;
        return known ? static_cast<std::int32_t>(found - members.begin()) : -1;
    };
    owner_range owners;
    owners.owners.resize(numericSlots);
    for (const auto &range : record.ranges) {
        const auto index = indexOf(range.owner);
        for (auto slot = range.first; slot <= range.last; ++slot) {
            owners.owners[slot] = {index, range.fence};
        }
    }
    return owners;
}

/** Publishes a new routing view for the traffic threads. */
void publishView(roster_control &control, steady_time now)
{
    auto view = std::make_shared<routing_view>();
    auto cell = std::make_shared<cell_view>();
    cell->id = rosterCell;
    cell->members = usableMembers(control, now);
    for (const auto &[pool, stored] : control.state.records) {
        cell->pools[pool] = makeOwnerTable(stored.record, cell->members);
        cell->revision = std::max(cell->revision, stored.revision);
    }
    view->cells[rosterCell] = std::move(cell);
    view->table = control.tables;
    view->drained = control.state.drained;
    if (control.tables) {
        view->reserved = control.tables->reserved;
        for (const auto &row : control.tables->rows.pools) {
            auto &pool = view->pools[row.name];
            pool.row = row;
            if (row.keyed) {
                pool.row.homes = {{rosterCell, 1}};
                pool.homeEnds = {numericSlots};
            }
        }
    }
    control.shared->routing.store(std::move(view));
}

std::vector<fenced_slot> expandSlots(const std::vector<std::pair<pool_id, slot_range>> &ranges)
{
    std::vector<fenced_slot> slots;
    for (const auto &[pool, range] : ranges) {
        slots.reserve(slots.size() + range.last - range.first + 1);
        for (auto slot = range.first; slot <= range.last; ++slot) {
            slots.push_back({pool, {slot}, range.fence});
        }
    }
    return slots;
}

/** Opens and closes slots for admission, and updates the target's lease and leaving state. Returns whether the slots
 * changed. */
bool publishAdmission(roster_control &control, steady_time now)
{
    const auto &target = control.state.target;
    auto granted = grantedRanges(control.state);
    auto awaited = awaitedRanges(control.state, now);
    const bool changed = granted != control.publishedRanges || awaited != control.awaitedRanges;
    auto &admissionControl = control.shared->admissionControl;
    const std::lock_guard lock(admissionControl.mutex);
    auto &admission = admissionControl.admission;
    admission.leaseUntil = target.servesUntil;
    setLeaving(admission, target.leaving || target.left || admission.saysLeaving, now);
    setDrained(admission, ownDomainDrainedSince(control), control.state.drained.keyedLimit, now);
    if (granted != control.publishedRanges) {
        setServed(admission, {expandSlots(granted), {}}, target.servesUntil, grantTransferTime, now);
        control.publishedRanges = std::move(granted);
    }
    if (awaited != control.awaitedRanges) {
        setAssigned(admission, expandSlots(awaited));
        control.awaitedRanges = std::move(awaited);
    }
    return changed;
}

/** Decides on kept requests as soon as newly granted slots are open, without waiting for the next tick. */
asio::awaitable<void> decideWhenOpen(roster_control &control)
{
    co_await sleepFor(grantTransferTime);
    decideQueued(control.shared->admissionControl, clock::now());
}

void publish(roster_control &control)
{
    const auto now = clock::now();
    if (control.state.dirty) {
        control.state.dirty = false;
        publishView(control, now);
    }
    if (publishAdmission(control, now)) {
        decideQueued(control.shared->admissionControl, now);
        asio::co_spawn(control.context, decideWhenOpen(control), asio::detached);
    }
    wakeLongPolls(control);
}

/** Whether a response of the target said that it is leaving; its reports may be late. */
bool saysLeaving(roster_control &control)
{
    const std::lock_guard lock(control.shared->admissionControl.mutex);
    return control.shared->admissionControl.admission.saysLeaving;
}

void advance(roster_control &control)
{
    if (saysLeaving(control)) {
        applyLeavingNotice(control.state);
    }
    for (auto &action : tick(control.state, clock::now())) {
        asio::co_spawn(control.context, performAction(control, std::move(action), [&control] { advance(control); }),
                       asio::detached);
    }
    publish(control);
}

/** Collects the demand for the own slots since the last call, and resets it. */
load_message collectOwnLoad(roster_control &control)
{
    load_message message{control.state.self.member.id, control.state.self.member.target.pool, 0, {}};
    auto &admissionControl = control.shared->admissionControl;
    const std::lock_guard lock(admissionControl.mutex);
    for (const auto &[slot, count] : admissionControl.admission.demand) {
        message.slots.emplace_back(slot.value, count);
    }
    if (!admissionControl.admission.demand.empty() || reportsColdSpeed(control)) {
        message.speed =
            static_cast<std::uint64_t>(speedPerSlot(admissionControl.admission, clock::now()) * speedUnitSeconds);
    }
    admissionControl.admission.demand.clear();
    return message;
}

/** Reports the own load to the daemon that plans ownership, the first in the order of ids. */
void reportLoad(roster_control &control, steady_time now)
{
    if (now < control.nextLoadReport) {
        return;
    }
    control.nextLoadReport = now + loadReportInterval;
    const auto message = collectOwnLoad(control);
    if (message.slots.empty() && message.speed == 0) {
        return;
    }
    if (isPlanner(control.state)) {
        applyLoad(control.state, message, now);
        return;
    }
    for (const auto &[id, known] : control.state.nodes) {
        if (known.present && known.node) {
            const auto bytes = encodeMessage(message);
            const auto &at = known.node->member.endpoints;
            error_code code;
            // A datagram that cannot be sent immediately is lost, like any other lost datagram.
            control.socket.send_to(asio::buffer(bytes), toAsioEndpoint<udp>({at.host, at.peers}), 0, code);
            const auto distance = distanceBetween(placeOf(control.state.self.member), placeOf(known.node->member));
            countBytes(counterOf(control.shared->sentBytes, byte_kind::control, distance), code ? 0 : bytes.size());
            return;
        }
    }
}

void receiveLoad(roster_control &control, std::string_view bytes, const udp::endpoint &from)
{
    last_reason why;
    const auto message = decodeMessage(bytes, why);
    if (message && std::holds_alternative<load_message>(*message)) {
        applyLoad(control.state, std::get<load_message>(*message), clock::now());
    } else {
        logEvent(log_level::debug, "bad-datagram", {{"peer", from.address().to_string()}, {"reason", why.text}});
    }
}

asio::awaitable<void> tickLoop(roster_control &control)
{
    for (;;) {
        recordDrainsKnown(control, clock::now());
        setRenewalRate(control.exchange.state, control.state, clock::now());
        advance(control);
        reportLoad(control, clock::now());
        publishCrashes(control);
        decideQueued(control.shared->admissionControl, clock::now());
        logDependencyChanges(control, clock::now());
        updateColdLimit(control, clock::now());
        setControlGauges(control, clock::now());
        co_await sleepFor(tickInterval);
    }
}

/** Configures admission for an incarnation of the target that has sent its first report. */
void configureAdmission(roster_control &control, const target_report &report)
{
    auto &admissionControl = control.shared->admissionControl;
    const std::lock_guard lock(admissionControl.mutex);
    admissionControl.target = report.announcement.address;
    admissionControl.targetIncarnation = report.incarnation;
    admissionControl.targetChecksFences = true;
    admissionControl.admission.pool = report.announcement.pool;
    beginTarget(admissionControl.admission, clock::now());
    admissionControl.admission.limits.warmUp = milliseconds(1);
    admissionControl.admission.limits.stallLimit = stallLimit;
    admissionControl.admission.limits.leaveLimit =
        control.port.leaveTime.value_or(defaultLeaveTime) * leaveAdmissionPercent / 100;
    admissionControl.admission.enforceGoals = true;
    admissionControl.admission.serviceMs = initialServiceMs;
    admissionControl.admission.limits.concurrency = std::max<std::uint32_t>(report.announcement.slots, 1);
    if (control.tables) {
        for (const auto &pool : control.tables->rows.pools) {
            admissionControl.admission.limits.queue =
                pool.name == report.announcement.pool ? pool.queue : admissionControl.admission.limits.queue;
        }
    }
}

target_events makeTargetEvents(roster_control &control)
{
    target_events events;
    events.report = [&control](const target_report &report) {
        const auto before = control.state.target.incarnation;
        const auto now = clock::now();
        auto grant = applyReport(control.state, report, now);
        const auto &target = control.state.target;
        if (target.incarnation != before) {
            recordTargetStart(control.shared->crashRegistry, clock::now());
            configureAdmission(control, report);
            logEvent(log_level::info, "target-life",
                     {{"target", target.incarnation.id},
                      {"born", std::to_string(target.incarnation.startedUnixMs)},
                      {"pool", report.announcement.pool.value}});
        }
        applyColdness(control, report, target.incarnation != before, now);
        advance(control);
        return grant;
    };
    events.leave = [&control](const target_incarnation &left) {
        const bool known = applyLeave(control.state, left, clock::now());
        logEvent(log_level::info, "target-leaves",
                 {{"target", left.id}, {"born", std::to_string(left.startedUnixMs)}, {"known", known ? "1" : "0"}});
        advance(control);
        return known;
    };
    events.isKeyed = [&control](const pool_id &pool) { return control.state.keyedPools.contains(pool); };
    events.isKnown = [&control](const pool_id &pool) {
        const auto view = control.shared->routing.load();
        return view->pools.contains(pool);
    };
    return events;
}

/** Ready for callers from when routes, nodes and the own entry are known until a planned stop, also without the store.
 */
bool isReady(roster_control &control)
{
    control.wasReady = control.wasReady || (control.tables && control.state.listed && control.state.lease.entryPresent);
    return control.wasReady && !control.stopping;
}

bool serve(roster_control &control, const endpoint &at, http_handler handler, last_reason &why)
{
    auto acceptor = listenOn(control.context, at, why);
    if (!acceptor) {
        return false;
    }
    asio::co_spawn(control.context,
                   serveHttp(std::make_shared<tcp::acceptor>(std::move(*acceptor)), std::move(handler), {}),
                   asio::detached);
    return true;
}

/** Listens for the target's reports, readiness checks and requests at the admin port, each on its own address. */
bool startListeners(roster_control &control, last_reason &why)
{
    const auto &settings = control.shared->settings;
    http_handler target = [&control](http_request request) -> asio::awaitable<http_response> {
        co_return control.port.answerTarget(request, makeTargetEvents(control));
    };
    http_handler readiness = [&control](http_request request) -> asio::awaitable<http_response> {
        co_return control.port.answerReadiness(request, isReady(control));
    };
    http_handler admin = [&control](http_request request) -> asio::awaitable<http_response> {
        if (request.path.substr(0, request.path.find('?')) == wherePath) {
            co_return co_await control.shared->answerWhere(request.path);
        }
        showSentBytes(*control.shared);
        co_return http_response{200, {{"Content-Type", "text/plain"}}, formatMetrics(*control.shared->metricsRegistry)};
    };
    return serve(control, settings.roster->reports, target, why)
        && serve(control, settings.roster->readiness, readiness, why)
        && serve(control, {settings.host, settings.adminPort}, admin, why);
}

} // namespace

bool startRosterControl(roster_control &control, last_reason &why)
{
    const auto &roster = *control.shared->settings.roster;
    roster_timing timing;
    timing.leasePeriod = roster.leasePeriod;
    timing.holdPeriod = roster.holdPeriod;
    timing.confirmInterval = std::min(timing.confirmInterval, timing.leasePeriod / confirmsPerLease);
    control.state = startRoster({describeSelf(*control.shared), {}}, timing, clock::now());
    control.state.drained.keyedLimit = keyedLimitFor(control.port.drainTime.value_or(milliseconds(0)));
    control.state.placesBySpeed = control.shared->settings.learnSpeeds;
    if (!bindDatagrams(control.socket, control.shared->settings, why) || !startListeners(control, why)) {
        return false;
    }
    const datagram_handler handler = [&control](std::string_view bytes, const udp::endpoint &from) {
        receiveLoad(control, bytes, from);
    };
    asio::co_spawn(control.context, receiveDatagrams(control.socket, control.received, handler), asio::detached);
    const auto &sent = control.shared->sentBytes;
    control.peers =
        makePeerClient(control.context.get_executor(), nullptr, {sent, byte_kind::control, byte_kind::control});
    control.port.countSent(counterOf(sent, byte_kind::store, byte_distance::region));
    control.port.setRelay(makeRelay(control));
    control.port.observeCalls([&control](const store_call &call) {
        countCall(*control.shared->metricsRegistry, call);
        applyStoreEra(control, call.era);
        if (call.result == call_result::answered && !call.waits) {
            advanceWatchWatermark(control.exchange.state, clock::now() - call.took);
        }
    });
    control.exchange.initialWatchDelay = rosterWatchDelay;
    control.shared->handleChangesRequest = [&control](changes_request request) {
        return asio::co_spawn(control.context, handleChangesRequest(control, std::move(request)), asio::use_awaitable);
    };
    const auto onChange = [&control] { advance(control); };
    control.awaitingFirstCopy = true;
    asio::co_spawn(control.context, mirrorTables(control, onChange), asio::detached);
    asio::co_spawn(control.context, mirrorRoster(control, onChange), asio::detached);
    asio::co_spawn(control.context, getFirstCopy(control, onChange), asio::detached);
    asio::co_spawn(control.context, pollUpstreams(control, onChange), asio::detached);
    asio::co_spawn(control.context, tickLoop(control), asio::detached);
    return true;
}

byte_distance findDistance(roster_control &control, const endpoint &to)
{
    return distanceToAddress(control.distances, *control.shared->routing.load(), placeOf(control.state.self.member),
                             to);
}

void beginStop(roster_control &control)
{
    control.stopping = true;
    control.shared->stopDeadline = clock::now() + control.shared->settings.drainLimit;
    control.state.stopping = true;
    control.state.self.member.leaving = true;
    advance(control);
}

} // namespace quetzalspool
