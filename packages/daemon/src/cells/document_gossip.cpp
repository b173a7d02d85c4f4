/** @file document_gossip.cpp Replication of documents between daemons: announcements, digests, fetches. */
#include "document_gossip.h"

#include "catalog_func.h"
#include "cell_func.h"
#include "control.h"
#include "document_wire.h"
#include "drained_domains_func.h"
#include "elapsed_clock.h"
#include "log_func.h"
#include "record_func.h"
#include "routing_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds gossipInterval{1000}; ///< Interval between digests.
constexpr milliseconds peerTimeout{1500}; ///< Time limit of each phase of a compare or fetch request.
constexpr std::size_t maxLoggedBytes = 200; ///< Bytes of a domain's name that are logged.
constexpr std::size_t fanOut = 6; ///< Daemons of the own region that this one announces a new document to.
constexpr std::uint64_t crossRegionRatio = 10; ///< On average one digest in this many goes to another region.
constexpr std::string_view cellPrefix = "cells/";

/** All other daemons in the current view, by region. */
struct peers_by_region
{
    std::vector<endpoint> sameRegion; ///< Daemons of the own region.
    std::map<region_id, std::vector<endpoint>> otherRegions; ///< Daemons of other regions.
};

peers_by_region listPeers(const control_state &control)
{
    peers_by_region peers;
    const auto view = control.shared->routing.load();
    for (const auto &entry : view->cells) {
        for (const auto &member : entry.second->members) {
            if (member.id == control.shared->settings.instance) {
                continue;
            }
            auto &list =
                member.region == control.shared->settings.region ? peers.sameRegion : peers.otherRegions[member.region];
            list.push_back(peerEndpoint(member));
        }
    }
    return peers;
}

document_source classifySource(const control_state &control, const endpoint &from)
{
    const auto peers = listPeers(control);
    return std::find(peers.sameRegion.begin(), peers.sameRegion.end(), from) != peers.sameRegion.end()
        ? document_source::own_region
        : document_source::other_region;
}

/** Announces a document to some daemons of the own region; one from the store also to one of each other region. */
void announceDocument(control_state &control, const document &installed, document_source source)
{
    const announce_document_message message{control.shared->settings.instance, installed.key, installed.revision};
    auto peers = listPeers(control);
    std::shuffle(peers.sameRegion.begin(), peers.sameRegion.end(), control.random);
    peers.sameRegion.resize(std::min(peers.sameRegion.size(), fanOut));
    for (const auto &to : peers.sameRegion) {
        sendDatagram(control, to, message);
    }
    if (source == document_source::store) {
        for (const auto &[region, list] : peers.otherRegions) {
            sendDatagram(control, list[control.random() % list.size()], message);
        }
    }
}

/** Updates the planned slots, rules and drained domains of the own cell from the view. */
void updatePlans(control_state &control, const routing_view &view)
{
    auto &cell = ownCell(control);
    cell.drained = view.drained;
    cell.plans.clear();
    for (auto &[pool, plan] : plansOf(view, cell.id)) {
        cell.plans[pool] = {std::move(plan.first), plan.second};
    }
}

/** Logs the failure domains that a document took out of service or put back. */
void logDrains(const control_state &control, const drained_domains &before, const drained_domains &after,
               const document &installed)
{
    const auto log = [&](const char *event, const domain_id &domain) {
        logEvent(log_level::warn, event,
                 {{"domain", domain.value.substr(0, maxLoggedBytes)},
                  {"own", domain == control.shared->settings.domain ? "1" : "0"},
                  {"revision", std::to_string(installed.revision.value)},
                  {"drained", std::to_string(after.since.size())}});
    };
    for (const auto &entry : after.since) {
        if (!isDrained(before, entry.first)) {
            log("domain-drained", entry.first);
        }
    }
    for (const auto &entry : before.since) {
        if (!isDrained(after, entry.first)) {
            log("domain-restored", entry.first);
        }
    }
}

/** Chooses the daemon of another region that may complete the voters of the own cell. */
void updateExternalVoter(control_state &control, const routing_view &view)
{
    auto &cell = ownCell(control);
    const auto *candidate = chooseExternalVoter(view, cell.id, control.shared->settings.region);
    cell.externalVoter = candidate == nullptr
        ? std::nullopt
        : std::optional(
            external_voter{candidate->id, candidate->incarnation, candidate->domain, peerEndpoint(*candidate)});
}

/** Applies a record to its cell; joins a cell of another region whose record lists this daemon as a voter. */
void applyCellRecord(control_state &control, const document &installed)
{
    last_reason why;
    const auto record = parseRecord(*installed.value, why);
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
        applyRecord(cell->second, {*record, installed.revision}, clock::now());
        publishOwnership(control);
    }
}

asio::awaitable<void> fetchDocuments(control_state &control, endpoint from)
{
    auto &pending = control.fetches[from];
    pending.running = true;
    while (!pending.keys.empty()) {
        const std::vector<std::string> keys(pending.keys.begin(), pending.keys.end());
        pending.keys.clear();
        auto request = makeFetchRequest(keys);
        const auto askedAt = clock::now();
        const auto opened =
            co_await openCall(control.peers, from, std::move(request), peerTimeout, findDistance(control, from));
        if (!opened.call) {
            break;
        }
        const auto response = co_await readResponse(opened.call, clock::now() + peerTimeout);
        if (!response) {
            break;
        }
        const auto source = classifySource(control, from);
        for (auto &fetched : decodeDocuments(response->body, askedAt)) {
            installDocument(control, std::move(fetched), source);
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
        asio::co_spawn(control.context, fetchDocuments(control, from), asio::detached);
    }
}

asio::awaitable<void> compareInBackground(control_state &control, endpoint peer)
{
    co_await compareCatalogs(control, peer);
}

} // namespace

bool installDocument(control_state &control, document offered, document_source source)
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
        updateExternalVoter(control, *published);
        applyCellRecord(control, offered);
    } else {
        updatePlans(control, *published);
        logDrains(control, view->drained, published->drained, offered);
    }
    announceDocument(control, offered, source);
    logEvent(log_level::debug, "document-taken",
             {{"key", offered.key}, {"revision", std::to_string(offered.revision.value)}});
    return true;
}

void announceToCell(control_state &control, const document &installed, const cell_record &record)
{
    const announce_document_message message{control.shared->settings.instance, installed.key, installed.revision};
    std::set<endpoint> recipients;
    for (const auto &member : record.members) {
        recipients.insert(peerEndpoint(member));
    }
    for (const auto &voter : allVoters(record)) {
        recipients.insert(voter.control);
    }
    recipients.erase({control.shared->settings.host, control.shared->settings.peersPort});
    for (const auto &to : recipients) {
        sendDatagram(control, to, message);
    }
}

void handleDocumentAnnouncement(control_state &control, const announce_document_message &message, const endpoint &from)
{
    const auto known = control.catalog.documents.find(message.key);
    if (known == control.catalog.documents.end() || known->second.revision < message.revision) {
        startFetch(control, from, {message.key});
    }
}

void handleDigest(control_state &control, const digest_message &message, const endpoint &from)
{
    const auto own = catalogDigest(control.catalog);
    if (message.summary != own) {
        if (!message.reply) {
            // The sender may be the one that lags: the reply lets it compare as well.
            sendDatagram(control, from, digest_message{control.shared->settings.instance, own, true});
        }
        asio::co_spawn(control.context, compareInBackground(control, from), asio::detached);
    }
}

void gossip(control_state &control, steady_time now)
{
    if (now < control.nextGossip) {
        return;
    }
    control.nextGossip = now + gossipInterval;
    auto peers = listPeers(control);
    auto *list = &peers.sameRegion;
    if (!peers.otherRegions.empty() && (peers.sameRegion.empty() || control.random() % crossRegionRatio == 0)) {
        list = &std::next(peers.otherRegions.begin(),
                          static_cast<std::ptrdiff_t>(control.random() % peers.otherRegions.size()))
                    ->second;
    }
    if (!list->empty()) {
        const digest_message message{control.shared->settings.instance, catalogDigest(control.catalog)};
        sendDatagram(control, (*list)[control.random() % list->size()], message);
    }
}

asio::awaitable<bool> compareCatalogs(control_state &control, endpoint peer)
{
    auto request = makeCompareRequest(control.catalog);
    const auto opened =
        co_await openCall(control.peers, peer, std::move(request), peerTimeout, findDistance(control, peer));
    if (!opened.call) {
        co_return false;
    }
    const auto response = co_await readResponse(opened.call, clock::now() + peerTimeout);
    if (!response) {
        co_return false;
    }
    startFetch(control, peer, keysToFetch(control.catalog, decodeDifferences(response->body)));
    co_return true;
}

} // namespace quetzalspool
