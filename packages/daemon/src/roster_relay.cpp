/** @file roster_relay.cpp Reaching the store through other daemons. */
#include "roster_relay.h"

#include "elapsed_clock.h"
#include "peer_wire.h"
#include "roster_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds connectTimeout{300}; ///< Bound on connecting to another daemon.
constexpr unsigned noAnswer = 504; ///< The other daemon got no answer either.
constexpr std::size_t daemonsTried = 2; ///< Other daemons asked for one call.

/** Other daemons in random order, those of the own region first. */
std::vector<endpoint> relaysOf(roster_control &control)
{
    std::vector<std::pair<std::pair<bool, std::uint64_t>, endpoint>> ranked;
    const auto now = clock::now();
    const auto &self = control.state.self.member;
    for (const auto &[id, seen] : control.state.nodes) {
        if (id != self.id && isUsable(control.state, seen, now)) {
            const auto &member = seen.node->member;
            ranked.push_back({{member.region != self.region, control.random()}, peerEndpoint(member)});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<endpoint> relays;
    relays.reserve(ranked.size() + 1);
    for (const auto &[rank, at] : ranked) {
        relays.push_back(at);
    }
    const auto neighbour = control.shared->lastSender.load();
    if (relays.empty() && neighbour) {
        relays.push_back(*neighbour);
    }
    return relays;
}

asio::awaitable<std::optional<http_response>> callThrough(roster_control &control, endpoint at, http_request request,
                                                          milliseconds timeout)
{
    peer_request message{storePath,
                         {{"qs-method", request.method},
                          {"qs-path", request.path},
                          {"qs-content-type", findHeader(request.headers, "Content-Type")},
                          {"qs-deadline-ms", std::to_string(timeout.count())}},
                         request.body};
    const auto opened = co_await openCall(control.peers, at, std::move(message), connectTimeout);
    if (!opened.call) {
        co_return std::nullopt;
    }
    auto reply = co_await readResponse(opened.call, clock::now() + timeout);
    if (!reply || reply->status == noAnswer) {
        cancelCall(*opened.call);
        co_return std::nullopt;
    }
    co_return reply;
}

} // namespace

store_relay makeRelay(roster_control &control)
{
    return [&control](http_request request, milliseconds timeout) -> asio::awaitable<std::optional<http_response>> {
        const auto relays = relaysOf(control);
        for (std::size_t index = 0; index < std::min(daemonsTried, relays.size()); ++index) {
            auto reply = co_await callThrough(control, relays[index], request, timeout);
            if (reply) {
                co_return reply;
            }
        }
        co_return std::nullopt;
    };
}

} // namespace quetzalspool
