/** @file roster_departure.cpp Target incarnations that announced their exit, also to the run of the daemon before. */
#include "roster_departure_func.h"

#include "roster_func.h"

#include <algorithm>
#include <sstream>

namespace quetzalspool {

namespace {

constexpr std::size_t maxDeparted = 8; ///< Delayed reports come from one of the last incarnations at the address.
/** A name without a start may be used again by the next incarnation, once the one that left has ended. */
constexpr milliseconds namelessRetention{15000};

bool matches(const departed_target &departed, const target_incarnation &incarnation, steady_time now)
{
    if (departed.incarnation.id != incarnation.id) {
        return false;
    }
    return departed.incarnation.startedUnixMs == 0 ? now - departed.at < namelessRetention
                                                   : departed.incarnation == incarnation;
}

} // namespace

bool hasDeparted(const roster_state &state, const target_incarnation &incarnation, steady_time now)
{
    return std::any_of(state.departed.begin(), state.departed.end(),
                       [&](const auto &departed) { return matches(departed, incarnation, now); });
}

bool applyLeave(roster_state &state, const target_incarnation &left, steady_time now)
{
    const departed_target departed{left, now};
    std::erase_if(state.departed, [&](const auto &known) { return known.incarnation == left; });
    state.departed.push_back(departed);
    if (state.departed.size() > maxDeparted) {
        state.departed.erase(state.departed.begin());
    }
    if (!matches(departed, state.target.incarnation, now)) {
        return false;
    }
    state.target.leaving = true;
    state.target.left = true;
    state.self.member.leaving = true;
    state.dirty = true;
    state.nextOwnersWrite = std::max(state.nextOwnersWrite, now);
    return true;
}

std::string formatMarker(const roster_state &state)
{
    auto text = std::to_string(state.self.member.incarnation.value);
    const auto &target = state.target.incarnation;
    if (state.target.left && target.startedUnixMs != 0) {
        text += " " + std::to_string(target.startedUnixMs) + " " + target.id;
    }
    return text;
}

std::optional<target_incarnation> parseDeparture(std::string_view marker)
{
    std::istringstream fields{std::string(marker)};
    std::uint64_t run = 0;
    target_incarnation left;
    fields >> run >> left.startedUnixMs >> left.id;
    return fields && left.startedUnixMs != 0 ? std::optional(std::move(left)) : std::nullopt;
}

} // namespace quetzalspool
