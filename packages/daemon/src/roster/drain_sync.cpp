/** @file drain_sync.cpp Failure domains that the operator takes out of service, mirrored with the tables. */
#include "drain_sync.h"

#include "drained_domains_func.h"
#include "elapsed_clock.h"
#include "exchange_func.h"
#include "log_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr std::size_t maxLoggedBytes = 200; ///< Bytes of a domain's name that are logged.
constexpr milliseconds watchSettleTime{1000}; ///< A watch that begins has told earlier changes within this time.

} // namespace

void applyDrainChange(roster_control &control, const watch_event &event)
{
    const std::string_view key = event.value.key;
    const std::string_view prefix = control.port.drainsPrefix;
    if (prefix.empty() || !key.starts_with(prefix) || key.size() == prefix.size()) {
        return;
    }
    auto &drained = control.state.drained;
    const domain_id domain{std::string(key.substr(prefix.size()))};
    const auto since = std::min(control.drainsKnownAt, clock::now());
    const bool changed = event.removed ? endDrain(drained, domain) : beginDrain(drained, domain, since);
    if (!changed) {
        return;
    }
    control.state.dirty = true;
    control.state.nextBalance = {};
    logEvent(log_level::warn, event.removed ? "domain-restored" : "domain-drained",
             {{"domain", domain.value.substr(0, maxLoggedBytes)},
              {"own", domain == control.state.self.member.domain ? "1" : "0"},
              {"revision", std::to_string(event.value.revision.value)},
              {"drained", std::to_string(drained.since.size())}});
}

void recordDrainsKnown(roster_control &control, steady_time now)
{
    const auto &exchange = control.exchange.state;
    if (control.storeReachable && exchange.watchedSince && now - watchSettleTime >= *exchange.watchedSince) {
        control.drainsKnownAt = now;
    } else if (isUpstreamCurrent(exchange, now)) {
        control.drainsKnownAt = std::max(control.drainsKnownAt, exchange.upstreamWatermark);
    }
}

std::optional<steady_time> ownDomainDrainedSince(const roster_control &control)
{
    return drainedSince(control.state.drained, control.state.self.member.domain);
}

} // namespace quetzalspool
