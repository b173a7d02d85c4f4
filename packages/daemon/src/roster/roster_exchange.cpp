/** @file roster_exchange.cpp Changes of the store passed from daemon to daemon. */
#include "roster_exchange.h"

#include "elapsed_clock.h"
#include "exchange_func.h"
#include "log_func.h"
#include "mirror_func.h"
#include "peer_wire.h"
#include "roster_keys.h"
#include "roster_mirror.h"
#include "store_watch.h"
#include "upstream_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds longPollTimeout{800}; ///< A request gets a response after this time, also without a change.
constexpr milliseconds responseMargin{350}; ///< Time beyond the long poll in which a response may still arrive.
constexpr milliseconds connectTimeout{300}; ///< Time limit for connecting to another daemon.
constexpr milliseconds unresponsiveBackoff{3000}; ///< A daemon that did not respond is not polled for this time.
constexpr milliseconds refusedBackoff{400}; ///< A daemon without fresh data is not polled for this time.
constexpr unsigned statusOk = 200; ///< Status of a response with changes.
constexpr milliseconds coalescePause{50}; ///< Pause after changes, so that several arrive together.
constexpr std::size_t maxPackedForms = 8; ///< Compressed updates kept for followers that know different revisions.
constexpr milliseconds divergedPause{500}; ///< Pause before the next snapshot if one did not make the mirrors equal:
                                           ///< without it, a daemon asks for all values as fast as the link allows.
constexpr milliseconds noUpstreamDelay{200}; ///< Delay before the next attempt if no upstream daemon is available.

/** Whether a response is of a lost era, or of a daemon that knows of no eras: its revisions can't be compared. */
bool isOfLostEra(const roster_control &control, const changes_response &response)
{
    return std::any_of(response.updates.begin(), response.updates.end(),
                       [&](const auto &update) { return eraOf(update.revision) < control.state.era; });
}

/** Applies a response. Returns whether it contained changes that were not known. */
bool applyChangesResponse(roster_control &control, const changes_response &response, steady_time requestedAt)
{
    for (const auto &update : response.updates) {
        applyStoreEra(control, eraOf(update.revision));
    }
    bool changed = false;
    bool mirrorsMatch = true;
    for (std::size_t index = 0; index < response.updates.size(); ++index) {
        const auto &mirrored = control.mirroredPrefixes[index];
        changed = applyUpstreamUpdate(control, *mirrored, response.updates[index]) || changed;
        if (mirrored->mirror.diverged) {
            logEvent(log_level::info, "mirror-diverged",
                     {{"prefix", mirrored->mirror.prefix},
                      {"seen", std::to_string(mirrored->mirror.revision.value)},
                      {"revision", std::to_string(response.updates[index].revision.value)},
                      {"changes", std::to_string(response.updates[index].changes.size())}});
        }
        mirrorsMatch = mirrorsMatch && mirrorDigest(mirrored->mirror) == response.updates[index].digest;
    }
    applyVerification(control.exchange.state, control.state, response, mirrorsMatch, requestedAt, clock::now());
    return changed;
}

peer_request makeChangesRequest(const roster_control &control, const endpoint &at)
{
    const auto version = control.exchange.state.upstreamVersions.find(at);
    const auto known = version == control.exchange.state.upstreamVersions.end() ? 0 : version->second;
    std::string revisions;
    for (const auto &mirrored : control.mirroredPrefixes) {
        revisions += (revisions.empty() ? "" : ",") + std::to_string(resumeRevision(mirrored->mirror).value);
    }
    return {changesPath,
            {{"qs-node", control.state.self.member.id.value},
             {"qs-seen", revisions},
             {"qs-packed", "1"},
             {"qs-packs", "1"},
             {"qs-era", std::to_string(control.state.era.value)},
             {"qs-version", std::to_string(known)}},
            ""};
}

} // namespace

asio::awaitable<poll_result> pollUpstream(roster_control &control, endpoint at)
{
    const auto requestedAt = clock::now();
    auto request = makeChangesRequest(control, at);
    const auto opened =
        co_await openCall(control.peers, at, std::move(request), connectTimeout, findDistance(control, at));
    if (!opened.call) {
        co_return poll_result::unresponsive;
    }
    const auto response = co_await readResponse(opened.call, requestedAt + longPollTimeout + responseMargin);
    if (!response) {
        cancelCall(*opened.call);
        co_return poll_result::unresponsive;
    }
    if (response->status != statusOk) {
        co_return poll_result::refused;
    }
    countMetric(*control.shared->metricsRegistry, "changes_received_bytes_total", response->body.size());
    last_reason why;
    const auto changes = decodeChanges(response->body, why);
    if (!changes || changes->updates.size() != control.mirroredPrefixes.size()) {
        logEvent(log_level::warn, "changes-unread", {{"peer", toString(at)}, {"reason", describe(why)}});
        co_return poll_result::refused;
    }
    if (isOfLostEra(control, *changes)) {
        co_return poll_result::refused;
    }
    control.exchange.state.upstreamVersions[at] = changes->version;
    co_return applyChangesResponse(control, *changes, requestedAt) ? poll_result::changed : poll_result::unchanged;
}

namespace {

/** Polls the upstream daemons in order of preference until one responds. */
asio::awaitable<poll_result> pollFirstAvailable(roster_control &control)
{
    const auto upstreams = control.state.listed ? upstreamsOf(control.state) : std::vector<endpoint>();
    if (upstreams.empty()) {
        resumeWatches(control); // This daemon watches the store for its region now.
    }
    auto &backoff = control.exchange.backoffUntil;
    for (const auto &at : upstreams) {
        if (backoff.contains(at) && clock::now() < backoff[at]) {
            continue;
        }
        const auto result = co_await pollUpstream(control, at);
        if (result == poll_result::changed || result == poll_result::unchanged) {
            co_return result;
        }
        const bool unresponsive = result == poll_result::unresponsive;
        logEvent(log_level::info, unresponsive ? "upstream-silent" : "upstream-refused", {{"peer", toString(at)}});
        backoff[at] = clock::now() + (unresponsive ? unresponsiveBackoff : refusedBackoff);
    }
    resumeWatches(control);
    co_return poll_result::unresponsive;
}

/** Updates for a follower, compressed together; many followers ask for the same at the same moment. */
std::string packFor(roster_control &control, const changes_request &request, std::vector<mirror_update> &updates)
{
    auto &cache = control.exchange.packed;
    if (cache.version != control.exchange.state.version) {
        cache = {control.exchange.state.version, {}};
    }
    const auto known = cache.byRevisions.find(request.revisions);
    if (known != cache.byRevisions.end()) {
        return known->second;
    }
    auto packed = packUpdates(updates);
    if (!packed.empty() && cache.byRevisions.size() < maxPackedForms) {
        cache.byRevisions.emplace(request.revisions, packed);
    }
    return packed;
}

/** Whether there is a change, a verification or a watermark that the follower does not know. */
bool hasNews(const roster_control &control, const changes_request &request)
{
    if (request.version && *request.version != control.exchange.state.version) {
        return true;
    }
    for (std::size_t index = 0; index < request.revisions.size(); ++index) {
        if (!changesAfter(control.mirroredPrefixes[index]->mirror, request.revisions[index]).changes.empty()) {
            return true;
        }
    }
    return false;
}

/** Waits for a change, at most for the long poll timeout. */
asio::awaitable<void> awaitChange(roster_control &control)
{
    const auto timer = std::make_shared<asio::steady_timer>(control.context, longPollTimeout);
    control.exchange.longPolls.push_back(timer);
    error_code code;
    co_await timer->async_wait(redirectError(code));
    std::erase(control.exchange.longPolls, timer);
}

} // namespace

asio::awaitable<void> pollUpstreams(roster_control &control, std::function<void()> onChange)
{
    for (;;) {
        const auto result = co_await pollFirstAvailable(control);
        if (result == poll_result::unresponsive) {
            co_await sleepFor(noUpstreamDelay);
            continue;
        }
        onChange();
        const bool diverged = std::any_of(control.mirroredPrefixes.begin(), control.mirroredPrefixes.end(),
                                          [](const auto &mirrored) { return mirrored->mirror.diverged; });
        if (diverged) {
            co_await sleepFor(divergedPause);
        } else if (result == poll_result::changed) {
            co_await sleepFor(coalescePause);
        }
    }
}

asio::awaitable<std::optional<changes_response>> handleChangesRequest(roster_control &control, changes_request request)
{
    const auto arrivedAt = clock::now();
    auto &exchange = control.exchange.state;
    exchange.lastRequestAt = arrivedAt;
    if (request.revisions.size() != control.mirroredPrefixes.size()
        || (!request.knowsEras && control.state.era.value > 0)) {
        co_return std::nullopt;
    }
    if (!isFresh(exchange, arrivedAt)) {
        if (servesFollowers(exchange, control.state, arrivedAt)) {
            control.state.lease.nextConfirm = std::min(control.state.lease.nextConfirm, arrivedAt);
        }
        co_return std::nullopt;
    }
    if (!hasNews(control, request)) {
        co_await awaitChange(control);
    }
    if (!isFresh(exchange, clock::now())) {
        co_return std::nullopt;
    }
    changes_response response;
    response.version = exchange.version;
    for (std::size_t index = 0; index < request.revisions.size(); ++index) {
        auto &mirror = control.mirroredPrefixes[index]->mirror;
        response.updates.push_back(changesAfter(mirror, request.revisions[index]));
        if (request.restoresPacked) {
            packUpdate(mirror, response.updates.back(), request.revisions[index]);
        }
    }
    if (request.readsPackedUpdates) {
        response.packedUpdates = packFor(control, request, response.updates);
    }
    response.verifiedOffset = verifiedOffset(exchange, control.state.timing, arrivedAt);
    const auto *entry = findExisting(findMirrored(control, rootPrefix)->mirror, entryKey(request.node));
    response.entryRevision = entry == nullptr ? revision_number{} : entry->revision;
    response.watermarkOffset = watermarkOffset(exchange, arrivedAt);
    co_return response;
}

void wakeLongPolls(roster_control &control)
{
    auto &exchange = control.exchange;
    if (std::exchange(exchange.notifiedVersion, exchange.state.version) == exchange.state.version) {
        return;
    }
    for (const auto &timer : exchange.longPolls) {
        timer->cancel();
    }
}

} // namespace quetzalspool
