/** @file hot_slot_cmd.cpp Placement of slots that alone exceed the share of an owner. */
#include "hot_slot_func.h"

#include "response_share_func.h"
#include "roster_load_func.h"
#include "roster_window_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr double minUtilization = 0.6; ///< An owner of a hot slot counts as overloaded only from this share of its
                                       ///< capacity.
constexpr double safeUtilization = 0.7; ///< Below this share of its capacity, an owner keeps room for a burst.
constexpr double worthwhileRatio = 1.15; ///< From this ratio of the mean response time to the least possible one, slots
                                         ///< are moved. Errors of the learned speeds alone cost about 5%.
constexpr double underloadRatio = 0.3; ///< At or below this ratio of load to share, an owner receives slots anyway: it
                                       ///< may have joined since.
constexpr double hotRatio = 1.15; ///< A slot from this ratio of its load to its owner's share is hot. Above the largest
                                  ///< part of the wanted load that a window has, so that no window contains it.
constexpr double fasterRatio = 1.33; ///< A hot slot moves only to an owner that is faster by this factor, and only if
                                     ///< the utilization falls by it: learned speeds vary by some percent.
constexpr double minPartFraction = 0.1; ///< Least share of the wanted load that one move transfers.
constexpr double minNeighbourLoad = 0.1; ///< Least load of a hot slot's neighbours that is worth moves, as a share of
                                         ///< the hot slot's load.
constexpr std::size_t maxMovesPerWrite = 8; ///< Maximum slot windows that one write marks to be moved.

/** An owner and its busiest slot. */
struct owner_load
{
    candidate_load entry; ///< Load, and share of the load that is not on hot slots.
    double capacity = 0; ///< Requests per second.
    double usualCapacity = 0; ///< The same without the slowdown that its own load may cause.
    slot_window busiest; ///< Slot with the most load among those that may move.
    bool hot = false; ///< Whether that slot is hot.
};

double utilization(const owner_load &owner)
{
    return owner.entry.load / owner.capacity;
}

double ratio(const owner_load &owner)
{
    return owner.entry.load / owner.entry.fairShare;
}

/** Load that an owner has beyond its share; negative if it has less. */
double excess(const owner_load &owner)
{
    return owner.entry.load - owner.entry.fairShare;
}

/** Plan in progress. */
struct speed_plan
{
    ownership_record &record; ///< Owners; changed.
    const pool_load *load; ///< Observed load.
    const held_slots &held; ///< Slots that must not be moved.
    std::vector<owner_load> owners; ///< Owners.
    std::size_t moves = 0; ///< Moves marked.
};

void findBusiest(speed_plan &plan)
{
    for (const auto &range : plan.record.ranges) {
        const auto owner = std::find_if(plan.owners.begin(), plan.owners.end(), [&](const auto &entry) {
            return range.nextOwner.value.empty() && entry.entry.node->member.id == range.owner;
        });
        for (auto slot = range.first; owner != plan.owners.end() && slot <= range.last; ++slot) {
            const auto slotLoad = loadBetween(plan.load, slot, slot);
            if (slotLoad > owner->busiest.load) {
                owner->busiest = {slot, slot, slotLoad};
            }
        }
    }
}

/** Divides the load that is not on hot owners among the others. Owners that become hot by that reduce the shares of the
 * rest, so it is repeated until none does. */
void divideShares(std::vector<owner_load> &owners)
{
    for (bool changed = true; changed;) {
        double load = 0;
        double capacity = 0;
        for (const auto &owner : owners) {
            load += owner.hot ? owner.entry.load - owner.busiest.load : owner.entry.load;
            capacity += owner.hot ? 0 : owner.capacity;
        }
        changed = false;
        for (auto &owner : owners) {
            owner.entry.fairShare = owner.hot ? owner.busiest.load : load * owner.capacity / capacity;
        }
        for (auto &owner : owners) {
            const bool becomesHot = !owner.hot && owner.busiest.load > hotRatio * owner.entry.fairShare;
            changed = changed || becomesHot;
            owner.hot = owner.hot || becomesHot;
        }
        if (std::all_of(owners.begin(), owners.end(), [](const auto &owner) { return owner.hot; })) {
            return;
        }
    }
}

/** Replaces the shares of the owners without a hot slot by those with the least mean response time. */
void shareByResponse(std::vector<owner_load> &owners)
{
    std::vector<double> capacities;
    double load = 0;
    for (const auto &owner : owners) {
        if (!owner.hot) {
            capacities.push_back(owner.capacity);
            load += owner.entry.fairShare;
        }
    }
    const auto shares = sharesByResponse(capacities, load);
    auto share = shares.begin();
    for (auto &owner : owners) {
        if (!owner.hot) {
            owner.entry.fairShare = *share++;
        }
    }
}

void move(speed_plan &plan, owner_load &giver, owner_load &receiver, const slot_window &window)
{
    markForMove(plan.record, window, receiver.entry.node->member.id);
    giver.entry.load -= window.load;
    receiver.entry.load += window.load;
    ++plan.moves;
}

/**
 * Whether a move shortens the mean response time without passing an overload on: the receiver may end up more utilized
 * than the giver was only while it keeps room for a burst.
 */
bool shortensResponses(const owner_load &giver, const owner_load &receiver, const slot_window &window)
{
    const auto before =
        meanRequests(giver.entry.load, giver.capacity) + meanRequests(receiver.entry.load, receiver.capacity);
    const auto after = meanRequests(giver.entry.load - window.load, giver.capacity)
        + meanRequests(receiver.entry.load + window.load, receiver.capacity);
    const auto received = (receiver.entry.load + window.load) / receiver.capacity;
    return after < before && received < std::max(utilization(giver), safeUtilization);
}

/** Moves hot slots of overloaded owners to clearly faster ones. */
void moveHotSlots(speed_plan &plan)
{
    for (auto &giver : plan.owners) {
        const auto giverUtilization = giver.entry.load / giver.usualCapacity;
        if (!giver.hot || giverUtilization < minUtilization || plan.moves >= maxMovesPerWrite
            || isHeld(plan.held, giver.busiest.first)) {
            continue;
        }
        const auto after = [&](const owner_load &owner) {
            return (owner.entry.load + giver.busiest.load) / owner.capacity;
        };
        owner_load *best = nullptr;
        for (auto &receiver : plan.owners) {
            const bool faster = !receiver.hot && receiver.capacity >= giver.usualCapacity * fasterRatio;
            if (faster && (best == nullptr || after(receiver) < after(*best))) {
                best = &receiver;
            }
        }
        if (best != nullptr && after(*best) * fasterRatio <= giverUtilization) {
            move(plan, giver, *best, giver.busiest);
            best->busiest = giver.busiest;
            best->hot = true;
            giver.hot = false;
            giver.busiest = {};
        }
    }
}

/** Owner that lacks most load to its share among those without a hot slot; null if there is none. */
owner_load *leastLoaded(speed_plan &plan)
{
    owner_load *best = nullptr;
    for (auto &owner : plan.owners) {
        if (!owner.hot && (best == nullptr || excess(owner) < excess(*best))) {
            best = &owner;
        }
    }
    return best;
}

/** Moves one window between two owners. Returns whether there was a suitable one. */
bool moveWindow(speed_plan &plan, owner_load &giver, owner_load *receiver)
{
    if (receiver == nullptr || receiver == &giver) {
        return false;
    }
    const auto wanted = std::min(excess(giver), -excess(*receiver));
    if (wanted <= 0) {
        return false;
    }
    const auto window =
        findMove(plan.record, giver.entry.node->member.id, plan.load, {wanted, wanted * minPartFraction}, plan.held);
    if (!window || !shortensResponses(giver, *receiver, *window)) {
        return false;
    }
    move(plan, giver, *receiver, *window);
    return true;
}

/** Moves the neighbours of hot slots away from overloaded owners. */
void moveNeighbours(speed_plan &plan)
{
    for (auto &owner : plan.owners) {
        const auto isWorthIt = [&] {
            return owner.hot && utilization(owner) >= minUtilization && plan.moves < maxMovesPerWrite
                && owner.entry.load - owner.busiest.load > minNeighbourLoad * owner.busiest.load;
        };
        while (isWorthIt() && moveWindow(plan, owner, leastLoaded(plan))) { }
    }
}

/** Whether the mean response time at the owners without a hot slot is clearly longer than it needs to be. */
bool isWorthwhile(const std::vector<owner_load> &owners)
{
    double present = 0;
    double least = 0;
    for (const auto &owner : owners) {
        present += owner.hot ? 0 : meanRequests(owner.entry.load, owner.capacity);
        least += owner.hot ? 0 : meanRequests(owner.entry.fairShare, owner.capacity);
    }
    return present > least * worthwhileRatio;
}

/** Owner with the most load beyond its share among those without a hot slot; null if there is none. */
owner_load *mostLoaded(speed_plan &plan)
{
    owner_load *most = nullptr;
    for (auto &owner : plan.owners) {
        if (!owner.hot && (most == nullptr || excess(owner) > excess(*most))) {
            most = &owner;
        }
    }
    return most;
}

/** Moves load between the other owners towards their shares. */
void balanceRest(speed_plan &plan)
{
    while (plan.moves < maxMovesPerWrite && isWorthwhile(plan.owners)) {
        auto *giver = mostLoaded(plan);
        if (giver == nullptr || !moveWindow(plan, *giver, leastLoaded(plan))) {
            return;
        }
    }
}

/** Gives load to owners that have next to none. */
void fillIdleOwners(speed_plan &plan)
{
    for (auto &owner : plan.owners) {
        auto *giver = mostLoaded(plan);
        const bool idle = !owner.hot && ratio(owner) <= underloadRatio && plan.moves < maxMovesPerWrite;
        if (idle && giver != nullptr) {
            moveWindow(plan, *giver, &owner);
        }
    }
}

} // namespace

bool planBySpeed(ownership_record &record, const std::vector<const roster_node *> &candidates, const pool_load *load,
                 const held_slots &held)
{
    if (candidates.size() < 2) {
        return false;
    }
    speed_plan plan{record, load, held, {}};
    for (const auto &entry : candidateLoads(record, candidates, load)) {
        plan.owners.push_back({entry, capacityOf(*entry.node, load), usualCapacityOf(*entry.node, load), {}});
    }
    findBusiest(plan);
    divideShares(plan.owners);
    moveHotSlots(plan);
    divideShares(plan.owners);
    shareByResponse(plan.owners);
    moveNeighbours(plan);
    fillIdleOwners(plan);
    balanceRest(plan);
    return plan.moves > 0;
}

} // namespace quetzalspool
