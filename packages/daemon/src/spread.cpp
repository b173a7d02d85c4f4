/** @file spread.cpp Spreading documents to and from other daemons. */
#include "spread.h"

#include "catalog_func.h"
#include "cell_func.h"
#include "control.h"
#include "documents.h"
#include "elapsed_clock.h"
#include "log_func.h"
#include "record_func.h"
#include "routing_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds gossipInterval{1000}; ///< Between two digests.
constexpr milliseconds peerTimeout{1500}; ///< Bound on comparing or fetching.
constexpr std::size_t fanOut = 6; ///< Daemons of the own region that hear of a new document from here.
constexpr std::uint64_t farShare = 10; ///< One digest in so many goes to another region.
constexpr std::string_view cellPrefix = "cells/";

/** All other daemons in the present view, split by region. */
struct known_daemons
{
    std::vector<endpoint> near; ///< Own region.
    std::map<region_id, std::vector<endpoint>> far; ///< Other regions.
};

known_daemons daemonsOf(const control_state &control)
{
    known_daemons known;
    const auto view = control.shared->routing.load();
    for (const auto &entry : view->cells) {
        for (const auto &member : entry.second->members) {
            if (member.id == control.shared->settings.instance) {
                continue;
            }
            auto &list = member.region == control.shared->settings.region ? known.near : known.far[member.region];
            list.push_back(peerEndpoint(member));
        }
    }
    return known;
}

document_source sourceOf(const control_state &control, const endpoint &from)
{
    const auto known = daemonsOf(control);
    return std::find(known.near.begin(), known.near.end(), from) != known.near.end() ? document_source::own_region
                                                                                     : document_source::other_region;
}

/** Tells others of a new document: some of this region, and one of each other region if it came from the store. */
void announce(control_state &control, const document &taken, document_source source)
{
    const announce_document_message message{control.shared->settings.instance, taken.key, taken.revision};
    auto known = daemonsOf(control);
    std::shuffle(known.near.begin(), known.near.end(), control.random);
    known.near.resize(std::min(known.near.size(), fanOut));
    for (const auto &to : known.near) {
        sendDatagram(control, to, message);
    }
    if (source == document_source::store) {
        for (const auto &[region, list] : known.far) {
            sendDatagram(control, list[control.random() % list.size()], message);
        }
    }
}

/** Gives the own cell its slots and rules. */
void updatePlans(control_state &control, const routing_view &view)
{
    auto &cell = ownCell(control);
    cell.plans.clear();
    for (auto &[pool, plan] : plansOf(view, cell.id)) {
        cell.plans[pool] = {std::move(plan.first), plan.second};
    }
}

/** Names a daemon of another region that may complete the own cell's voters. */
void updateOutside(control_state &control, const routing_view &view)
{
    auto &cell = ownCell(control);
    const auto *candidate = chooseExternalVoter(view, cell.id, control.shared->settings.region);
    cell.externalVoter = candidate == nullptr
        ? std::nullopt
        : std::optional(
            external_voter{candidate->id, candidate->incarnation, candidate->domain, peerEndpoint(*candidate)});
}

/** Hands a cell record to the cell, and takes part in a foreign cell that lists this daemon as a voter. */
void updateCell(control_state &control, const document &taken)
{
    last_reason why;
    const auto record = parseRecord(*taken.value, why);
    if (!record) {
        return;
    }
    const auto &self = control.shared->settings.instance;
    const bool votes = findVoter(record->voters, self) != nullptr || findVoter(record->previousVoters, self) != nullptr;
    if (!control.cells.contains(record->id) && votes) {
        control.cells.emplace(record->id, startCell(record->id, ownCell(control).self, false, {}, control.startedAt));
    }
    const auto cell = control.cells.find(record->id);
    if (cell != control.cells.end()) {
        applyRecord(cell->second, {*record, taken.revision}, clock::now());
        publishOwnership(control);
    }
}

asio::awaitable<void> fetchFrom(control_state &control, endpoint from)
{
    auto &pending = control.fetches[from];
    pending.running = true;
    while (!pending.keys.empty()) {
        const std::vector<std::string> keys(pending.keys.begin(), pending.keys.end());
        pending.keys.clear();
        auto request = fetchRequest(keys);
        const auto opened = co_await openCall(control.peers, from, std::move(request), peerTimeout);
        if (!opened.call) {
            break;
        }
        const auto reply = co_await readResponse(opened.call, clock::now() + peerTimeout);
        if (!reply) {
            break;
        }
        const auto source = sourceOf(control, from);
        for (auto &fetched : readDocuments(reply->body)) {
            takeFrom(control, std::move(fetched), source);
        }
    }
    pending.keys.clear();
    pending.running = false;
}

void startFetch(control_state &control, const endpoint &from, const std::vector<std::string> &keys)
{
    auto &pending = control.fetches[from];
    pending.keys.insert(keys.begin(), keys.end());
    if (!pending.running && !pending.keys.empty()) {
        pending.running = true;
        asio::co_spawn(control.context, fetchFrom(control, from), asio::detached);
    }
}

asio::awaitable<void> compareQuietly(control_state &control, endpoint with)
{
    co_await compareWith(control, with);
}

} // namespace

bool takeFrom(control_state &control, document offered, document_source source)
{
    const auto view = control.shared->routing.load();
    const auto known = control.catalog.documents.find(offered.key);
    if (known != control.catalog.documents.end() && known->second.revision >= offered.revision) {
        if (known->second.revision > offered.revision) {
            ++control.catalog.staleRefused;
        }
        return false;
    }
    last_reason why;
    auto next = withDocument(*view, offered, why);
    if (!next) {
        logEvent(log_level::error, "document-refused", {{"key", offered.key}, {"reason", describe(why)}});
        countMetric(*control.shared->metricsRegistry, "documents_refused_total");
        return false;
    }
    applyDocument(control.catalog, offered);
    control.shared->catalog.store(std::make_shared<const catalog_state>(control.catalog));
    const auto published = std::make_shared<const routing_view>(std::move(*next));
    control.shared->routing.store(published);
    if (offered.key.starts_with(cellPrefix)) {
        updateOutside(control, *published);
        updateCell(control, offered);
    } else {
        updatePlans(control, *published);
    }
    announce(control, offered, source);
    logEvent(log_level::debug, "document-taken",
             {{"key", offered.key}, {"revision", std::to_string(offered.revision.value)}});
    return true;
}

void announceToCell(control_state &control, const document &taken, const cell_record &record)
{
    const announce_document_message message{control.shared->settings.instance, taken.key, taken.revision};
    std::set<endpoint> told;
    for (const auto &member : record.members) {
        told.insert(peerEndpoint(member));
    }
    for (const auto &voter : allVoters(record)) {
        told.insert(voter.control);
    }
    told.erase({control.shared->settings.host, control.shared->settings.peersPort});
    for (const auto &to : told) {
        sendDatagram(control, to, message);
    }
}

void takeAnnounce(control_state &control, const announce_document_message &message, const endpoint &from)
{
    const auto known = control.catalog.documents.find(message.key);
    if (known == control.catalog.documents.end() || known->second.revision < message.revision) {
        startFetch(control, from, {message.key});
    }
}

void takeDigest(control_state &control, const digest_message &message, const endpoint &from)
{
    const auto own = catalogDigest(control.catalog);
    if (message.summary != own) {
        if (!message.reply) {
            // Whichever of the two lags, it hears of it now.
            sendDatagram(control, from, digest_message{control.shared->settings.instance, own, true});
        }
        asio::co_spawn(control.context, compareQuietly(control, from), asio::detached);
    }
}

void gossip(control_state &control, steady_time now)
{
    if (now < control.nextGossip) {
        return;
    }
    control.nextGossip = now + gossipInterval;
    auto known = daemonsOf(control);
    auto *list = &known.near;
    if (!known.far.empty() && (known.near.empty() || control.random() % farShare == 0)) {
        list = &std::next(known.far.begin(), static_cast<std::ptrdiff_t>(control.random() % known.far.size()))->second;
    }
    if (!list->empty()) {
        const digest_message message{control.shared->settings.instance, catalogDigest(control.catalog)};
        sendDatagram(control, (*list)[control.random() % list->size()], message);
    }
}

asio::awaitable<bool> compareWith(control_state &control, endpoint with)
{
    auto request = compareRequest(control.catalog);
    const auto opened = co_await openCall(control.peers, with, std::move(request), peerTimeout);
    if (!opened.call) {
        co_return false;
    }
    const auto reply = co_await readResponse(opened.call, clock::now() + peerTimeout);
    if (!reply) {
        co_return false;
    }
    startFetch(control, with, keysToFetch(control.catalog, readComparison(reply->body)));
    co_return true;
}

} // namespace quetzalspool
