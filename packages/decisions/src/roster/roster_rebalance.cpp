/** @file roster_rebalance.cpp Plans moves of slots from overloaded to underloaded targets. */
#include "roster_func.h"
#include "roster_load_func.h"
#include "roster_window_func.h"

#include <algorithm>
#include <limits>

namespace quetzalspool {

namespace {

constexpr double overloadRatio = 1.2; ///< A target from this ratio of load to fair share may count as overloaded.
constexpr double minUtilization = 0.6; ///< A target counts as overloaded only from this share of its capacity.
constexpr double underloadRatio = 0.3; ///< At or below this ratio, a target receives slots even if none is overloaded.
constexpr double minMoveFraction = 0.7; ///< Share of the wanted load from which one move is enough.
constexpr double minPartFraction = 0.1; ///< Minimum share of the wanted load that one of several moves transfers.
constexpr double severalMovesRatio = 2; ///< From this ratio of load to fair share, several moves may transfer the load.
constexpr double maxMoveFraction = 1.1; ///< Maximum share of the wanted load that one move transfers.
constexpr std::size_t maxMovesPerWrite = 8; ///< Maximum slot windows that one write marks to be moved.

/**
 * Whether a window is a better move than another one: the fewest slots with about the wanted load, since moving few
 * keys is cheapest, or else the most load.
 */
bool isBetterMove(const slot_window &window, const std::optional<slot_window> &other, double wanted)
{
    if (!other) {
        return true;
    }
    const bool enough = window.load >= wanted * minMoveFraction;
    const bool otherEnough = other->load >= wanted * minMoveFraction;
    if (enough != otherEnough) {
        return enough;
    }
    return enough ? window.last - window.first < other->last - other->first : window.load > other->load;
}

/** Finds the best window of a range to move; it has at most about the wanted load, and no slot that is held. */
void searchRange(const slot_range &range, const pool_load *load, const wanted_load &wanted, const held_slots &held,
                 std::optional<slot_window> &best)
{
    double sum = 0;
    auto first = range.first;
    for (auto last = range.first; last <= range.last; ++last) {
        if (isHeld(held, last)) {
            sum = 0;
            first = last + 1;
            continue;
        }
        sum += loadBetween(load, last, last);
        while (sum > wanted.load * maxMoveFraction && first <= last) {
            sum -= loadBetween(load, first, first);
            ++first;
        }
        const slot_window window{first, last, sum};
        if (first <= last && sum >= wanted.least && isBetterMove(window, best, wanted.load)) {
            best = window;
        }
    }
}

} // namespace

std::optional<slot_window> findMove(const ownership_record &record, const instance_id &owner, const pool_load *load,
                                    const wanted_load &wanted, const held_slots &held)
{
    std::optional<slot_window> best;
    for (const auto &range : record.ranges) {
        if (range.owner == owner && range.nextOwner.value.empty()) {
            searchRange(range, load, wanted, held, best);
        }
    }
    return best;
}

void markForMove(ownership_record &record, const slot_window &window, const instance_id &next)
{
    std::vector<slot_range> ranges;
    for (const auto &range : record.ranges) {
        if (window.first < range.first || window.first > range.last) {
            ranges.push_back(range);
            continue;
        }
        auto part = range;
        if (range.first < window.first) {
            part.last = window.first - 1;
            ranges.push_back(part);
        }
        part = range;
        part.first = window.first;
        part.last = window.last;
        part.nextOwner = next;
        ranges.push_back(part);
        if (window.last < range.last) {
            part = range;
            part.first = window.last + 1;
            ranges.push_back(part);
        }
    }
    record.ranges = std::move(ranges);
}

bool planRebalance(ownership_record &record, const std::vector<const roster_node *> &candidates, const pool_load *load,
                   const held_slots &held)
{
    bool changed = false;
    if (candidates.size() < 2) {
        return false;
    }
    auto loads = candidateLoads(record, candidates, load);
    for (std::size_t move = 0; move < maxMovesPerWrite; ++move) {
        const auto ratio = [](const candidate_load &entry) { return entry.load / entry.fairShare; };
        const auto [leastLoaded, mostLoaded] = std::minmax_element(
            loads.begin(), loads.end(), [&](const auto &a, const auto &b) { return ratio(a) < ratio(b); });
        const bool overloaded =
            ratio(*mostLoaded) >= overloadRatio && utilizationOf(*mostLoaded, load) >= minUtilization;
        if (!overloaded && ratio(*leastLoaded) > underloadRatio) {
            break;
        }
        const auto room = leastLoaded->limit ? (*leastLoaded->limit - leastLoaded->load) / maxMoveFraction
                                             : std::numeric_limits<double>::max();
        const auto wanted =
            std::min({mostLoaded->load - mostLoaded->fairShare, leastLoaded->fairShare - leastLoaded->load, room});
        const auto leastFraction = ratio(*mostLoaded) >= severalMovesRatio ? minPartFraction : minMoveFraction;
        const auto window = findMove(record, mostLoaded->node->member.id, load, {wanted, wanted * leastFraction}, held);
        if (!window) {
            break;
        }
        markForMove(record, *window, leastLoaded->node->member.id);
        mostLoaded->load -= window->load;
        leastLoaded->load += window->load;
        changed = true;
    }
    return changed;
}

} // namespace quetzalspool
