/** @file control.cpp The control thread: timers, datagrams, cell actions. */
#include "control.h"

#include "admission_func.h"
#include "cell_func.h"
#include "cold_limit_func.h"
#include "datagrams.h"
#include "document_gossip.h"
#include "drain_admission_func.h"
#include "drained_domains_func.h"
#include "elapsed_clock.h"
#include "log_func.h"
#include "record_func.h"
#include "store_sync.h"
#include "traffic_start.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds tickInterval{20}; ///< Interval between ticks of the cells.
constexpr milliseconds targetTimeout{6000}; ///< A target without announcements for this long is gone.

void performAction(control_state &control, const cell_id & /*cell*/, send_action &send)
{
    sendDatagram(control, send.to, send.message);
}

void performAction(control_state &control, const cell_id &cell, write_action &write)
{
    asio::co_spawn(control.context, writeRecord(control, cell, std::move(write)), asio::detached);
}

void performAction(control_state &control, const cell_id &cell, read_action & /*read*/)
{
    asio::co_spawn(control.context, readRecord(control, cell), asio::detached);
}

void performAction(control_state &control, const cell_id & /*cell*/, drain_action &drain)
{
    const std::lock_guard lock(control.shared->admissionControl.mutex);
    drainSlot(control.shared->admissionControl.admission, drain.slot);
    control.draining.push_back(drain.slot);
}

void performAction(control_state &control, const cell_id &cell, fetch_action &fetch)
{
    handleDocumentAnnouncement(control, {{}, "cells/" + cell.value, fetch.revision}, fetch.from);
}

/** Completes the drain of slots that have no request in flight any more. */
void reportDrained(control_state &control)
{
    std::vector<fenced_slot> drained;
    {
        const std::lock_guard lock(control.shared->admissionControl.mutex);
        std::erase_if(control.draining, [&](const auto &slot) {
            const bool done = isDrained(control.shared->admissionControl.admission, slot);
            if (done) {
                drained.push_back(slot);
            }
            return done;
        });
    }
    for (const auto &slot : drained) {
        auto &cell = ownCell(control);
        performActions(control, cell.id, completeDrain(cell, slot));
    }
}

void setControlGauges(control_state &control)
{
    auto &numbers = *control.shared->metricsRegistry;
    setGauge(numbers, "control_datagrams_sent", static_cast<double>(control.datagramsSent));
    setGauge(numbers, "control_datagrams_received", static_cast<double>(control.datagramsReceived));
    setGauge(numbers, "control_datagram_bytes", static_cast<double>(control.datagramBytes));
    setGauge(numbers, "control_stream_bytes", static_cast<double>(transferredBytes(*control.peers)));
    setGauge(numbers, "store_calls", static_cast<double>(control.store.calls));
    setGauge(numbers, "store_went_back", control.store.restored ? 1 : 0);
    setGauge(numbers, "documents", static_cast<double>(control.catalog.documents.size()));
    setGauge(numbers, "slots_owned", static_cast<double>(control.publishedSlots.open.size()));
    setGauge(numbers, "drained_domains", static_cast<double>(control.shared->routing.load()->drained.since.size()));
    setGauge(numbers, "link_body_bytes", static_cast<double>(control.shared->crossRegionBytes.load()));
}

asio::awaitable<void> tickLoop(control_state &control)
{
    asio::steady_timer timer(control.context);
    for (;;) {
        const auto now = clock::now();
        for (auto &[id, cell] : control.cells) {
            performActions(control, id, tick(cell, now));
        }
        reportDrained(control);
        publishOwnership(control);
        decideQueued(control.shared->admissionControl, now);
        gossip(control, now);
        if (control.lastAnnouncementAt != steady_time{} && now - control.lastAnnouncementAt > targetTimeout) {
            logEvent(log_level::warn, "target-silent");
            applyAnnouncement(control, {}, steady_time{});
        }
        setControlGauges(control);
        timer.expires_after(tickInterval);
        error_code code;
        co_await timer.async_wait(redirectError(code));
    }
}

/** Finds the cell that a message refers to; null if this daemon is neither a member nor a voter of it. */
cell_state *findCell(control_state &control, const control_message &message)
{
    return std::visit(
        [&](const auto &typed) -> cell_state * {
            if constexpr (requires { typed.cell; }) {
                const auto found = control.cells.find(typed.cell);
                return found == control.cells.end() ? nullptr : &found->second;
            } else {
                return nullptr;
            }
        },
        message);
}

void handleDatagram(control_state &control, std::string_view bytes, const endpoint &from)
{
    ++control.datagramsReceived;
    control.datagramBytes += bytes.size();
    last_reason why;
    const auto message = decodeMessage(bytes, why);
    if (!message) {
        logEvent(log_level::debug, "bad-datagram", {{"peer", toString(from)}, {"reason", why.text}});
        return;
    }
    if (const auto *announce = std::get_if<announce_document_message>(&*message)) {
        handleDocumentAnnouncement(control, *announce, from);
    } else if (const auto *digest = std::get_if<digest_message>(&*message)) {
        handleDigest(control, *digest, from);
    } else if (auto *cell = findCell(control, *message)) {
        performActions(control, cell->id, handleMessage(*cell, *message, from, clock::now()));
        publishOwnership(control);
    }
}

/** Wait of a new owner of the target's pool before its first request; 0 for targets that check grants. */
milliseconds poolTakeoverGrace(const control_state &control)
{
    if (control.shared->admissionControl.targetChecksFences) {
        return milliseconds(0);
    }
    const auto view = control.shared->routing.load();
    const auto &cell = control.cells.at(control.shared->settings.cell);
    const auto pool = view->pools.find(cell.self.target.pool);
    return pool == view->pools.end() ? milliseconds(0) : pool->second.row.takeoverGrace;
}

/** Records the end of the lease as the response to the announcement gives it to the target. */
void recordTargetLease(control_state &control, bool checksGrants)
{
    auto &admissionControl = control.shared->admissionControl;
    const std::lock_guard lock(admissionControl.mutex);
    admissionControl.admission.targetLeaseUntil.reset();
    if (checksGrants) {
        admissionControl.admission.targetLeaseUntil = ownCell(control).lease.validUntil;
    }
}

} // namespace

bool startControl(control_state &control, last_reason &why)
{
    const auto &settings = control.shared->settings;
    control.startedAt = clock::now();
    control.store =
        makeStoreClient(settings.store, counterOf(control.shared->sentBytes, byte_kind::store, byte_distance::region));
    control.peers = makePeerClient(control.context.get_executor(), nullptr,
                                   {control.shared->sentBytes, byte_kind::control, byte_kind::control});
    if (!bindDatagrams(control.socket, settings, why)) {
        return false;
    }
    control.cells.emplace(settings.cell,
                          startCell(settings.cell, describeSelf(*control.shared), true, {}, control.startedAt));
    const datagram_handler handler = [&control](std::string_view bytes, const udp::endpoint &from) {
        handleDatagram(control, bytes, {from.address().to_string(), from.port()});
    };
    asio::co_spawn(control.context, receiveDatagrams(control.socket, control.received, handler), asio::detached);
    asio::co_spawn(control.context, tickLoop(control), asio::detached);
    asio::co_spawn(control.context, loadDocuments(control), asio::detached);
    asio::co_spawn(control.context, watchStore(control), asio::detached);
    return true;
}

cell_state &ownCell(control_state &control)
{
    return control.cells.at(control.shared->settings.cell);
}

void performActions(control_state &control, const cell_id &cell, cell_actions actions)
{
    for (auto &action : actions) {
        std::visit([&](auto &typed) { performAction(control, cell, typed); }, action);
    }
}

void sendDatagram(control_state &control, const endpoint &to, const control_message &message)
{
    const auto bytes = encodeMessage(message);
    error_code code;
    // Datagrams may get lost anyway, so one that can't be sent at once is dropped.
    control.socket.send_to(asio::buffer(bytes), toAsioEndpoint<udp>(to), 0, code);
    ++control.datagramsSent;
    control.datagramBytes += bytes.size();
    countBytes(counterOf(control.shared->sentBytes, byte_kind::control, findDistance(control, to)),
               code ? 0 : bytes.size());
}

byte_distance findDistance(control_state &control, const endpoint &to)
{
    const auto &settings = control.shared->settings;
    return distanceToAddress(control.distances, *control.shared->routing.load(), {settings.region, settings.domain},
                             to);
}

void publishOwnership(control_state &control)
{
    auto &cell = ownCell(control);
    auto &admissionControl = control.shared->admissionControl;
    served_slots served{servedSlots(cell), drainingSlots(cell)};
    const auto grace = poolTakeoverGrace(control);
    const auto view = control.shared->routing.load();
    const auto now = clock::now();
    const std::lock_guard lock(admissionControl.mutex);
    admissionControl.admission.leaseUntil = cell.lease.validUntil;
    setDrained(admissionControl.admission, drainedSince(view->drained, cell.self.domain), view->drained.keyedLimit,
               now);
    if (served != control.publishedSlots) {
        setServed(admissionControl.admission, served, cell.lease.validUntil, grace, now);
        control.publishedSlots = std::move(served);
    }
}

/** Applies the limit of the pool's row for a cold target. Announcements don't say whether it is cold; responses do. */
void applyColdRate(control_state &control, const pool_id &name, bool restarted, steady_time now)
{
    const auto view = control.shared->routing.load();
    const auto pool = view->pools.find(name);
    auto &admissionControl = control.shared->admissionControl;
    const std::lock_guard lock(admissionControl.mutex);
    auto &limit = admissionControl.admission.cold;
    setColdRate(limit, pool == view->pools.end() ? 0 : pool->second.row.coldPerSecond, {}, now, now);
    applyColdReport(limit, std::nullopt, restarted, now);
}

void applyAnnouncement(control_state &control, const target_announcement &announcement, steady_time now)
{
    auto &cell = ownCell(control);
    const bool changed = cell.self.target != announcement;
    applyColdRate(control, announcement.pool, changed, now);
    cell.self.target = announcement;
    control.lastAnnouncementAt = now;
    recordTargetLease(control, announcement.checksGrants);
    if (!changed) {
        return;
    }
    logEvent(log_level::info, "target-announced",
             {{"pool", announcement.pool.value},
              {"target", toString(announcement.address)},
              {"slots", std::to_string(announcement.slots)}});
    const auto view = control.shared->routing.load();
    const auto pool = view->pools.find(announcement.pool);
    auto &admissionControl = control.shared->admissionControl;
    const std::lock_guard lock(admissionControl.mutex);
    admissionControl.target = announcement.address;
    admissionControl.targetChecksFences = announcement.checksGrants;
    beginTarget(admissionControl.admission, now);
    admissionControl.admission.hasTarget = !announcement.pool.value.empty();
    admissionControl.admission.limits.concurrency =
        std::max<std::uint32_t>(1, std::min(announcement.slots, announcement.connections));
    if (pool != view->pools.end()) {
        admissionControl.admission.limits.queue = pool->second.row.queue;
    }
}

void beginLeaving(control_state &control)
{
    if (control.stopping) {
        return;
    }
    control.stopping = true;
    logEvent(log_level::info, "leaving");
    {
        const std::lock_guard lock(control.shared->admissionControl.mutex);
        control.shared->admissionControl.admission.leaving = true;
    }
    requestStop(ownCell(control));
}

bool hasLeft(const control_state &control)
{
    const auto &cell = control.cells.at(control.shared->settings.cell);
    return isIn(embeddedChart(chart_file::member), cell.lifecycle, "left");
}

} // namespace quetzalspool
