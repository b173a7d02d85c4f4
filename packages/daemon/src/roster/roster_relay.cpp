/** @file roster_relay.cpp Calls to the store relayed through other daemons. */
#include "roster_relay.h"

#include "elapsed_clock.h"
#include "peer_wire.h"
#include "roster_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds connectTimeout{300}; ///< Time limit for connecting to another daemon.
constexpr unsigned gatewayTimeout = 504; ///< The other daemon got no response from the store either.
constexpr std::size_t maxRelays = 2; ///< Maximum number of other daemons tried for one call.

/**
 * Returns other usable daemons in random order, those of the own region first; if there is none, the daemon that last
 * forwarded a request here.
 */
std::vector<endpoint> rankRelays(roster_control &control)
{
    std::vector<std::pair<std::pair<bool, std::uint64_t>, endpoint>> ranked;
    const auto now = clock::now();
    const auto &self = control.state.self.member;
    for (const auto &[id, known] : control.state.nodes) {
        if (id != self.id && isUsable(control.state, known, now)) {
            const auto &member = known.node->member;
            ranked.push_back({{member.region != self.region, control.random()}, peerEndpoint(member)});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<endpoint> relays;
    relays.reserve(ranked.size() + 1);
    for (const auto &[rank, at] : ranked) {
        relays.push_back(at);
    }
    const auto lastSender = control.shared->lastSender.load();
    if (relays.empty() && lastSender) {
        relays.push_back(*lastSender);
    }
    return relays;
}

asio::awaitable<std::optional<http_response>> relayCall(roster_control &control, endpoint at, http_request request,
                                                        milliseconds timeout)
{
    peer_request message{storePath,
                         {{"qs-method", request.method},
                          {"qs-path", request.path},
                          {"qs-content-type", findHeader(request.headers, "Content-Type")},
                          {"qs-deadline-ms", std::to_string(timeout.count())}},
                         request.body};
    const auto opened =
        co_await openCall(control.peers, at, std::move(message), connectTimeout, findDistance(control, at));
    if (!opened.call) {
        co_return std::nullopt;
    }
    auto response = co_await readResponse(opened.call, clock::now() + timeout);
    if (!response || response->status == gatewayTimeout) {
        cancelCall(*opened.call);
        co_return std::nullopt;
    }
    co_return response;
}

} // namespace

store_relay makeRelay(roster_control &control)
{
    return [&control](http_request request, milliseconds timeout) -> asio::awaitable<std::optional<http_response>> {
        const auto relays = rankRelays(control);
        for (std::size_t index = 0; index < std::min(maxRelays, relays.size()); ++index) {
            auto response = co_await relayCall(control, relays[index], request, timeout);
            if (response) {
                co_return response;
            }
        }
        co_return std::nullopt;
    };
}

} // namespace quetzalspool
