/** @file roster_load_func.h Loads of the owners of a pool, and their shares by capacity. */
#ifndef ROSTER_LOAD_FUNC_H
#define ROSTER_LOAD_FUNC_H

#include "roster_base.h"

namespace quetzalspool {

/**
 * Maximum number of adjacent slots that are assigned together. Busy keys are close to each other, and which keys are
 * busy is unknown before the first requests: small blocks distribute them over several owners from the start.
 */
constexpr std::uint32_t slotsPerBlock = 16;

/** Load of one candidate's ranges and its fair share. */
struct candidate_load
{
    const roster_node *node = nullptr; ///< Candidate.
    double load = 0; ///< Load of its ranges.
    double fairShare = 0; ///< Load in proportion to its capacity.
    std::optional<double> limit; ///< Load that a cold target can carry; empty for others.
};

/**
 * Returns the load of consecutive slots. Each slot has a baseline load, so that slots without requests are distributed
 * too.
 * @param load Observed load; null if there is none.
 * @param first First slot.
 * @param last Last slot, inclusive.
 * @return Requests per second.
 */
double loadBetween(const pool_load *load, std::uint32_t first, std::uint32_t last);

/**
 * Returns the capacity of a target: its slots by its speed, or by the mean speed while its own is unknown.
 * @param node Node.
 * @param load Observed load; null if there is none.
 * @return Requests per second; slots if no speed is known.
 */
double capacityOf(const roster_node &node, const pool_load *load);

/**
 * Returns the capacity of a target without the slowdown that its own load may cause.
 * @param node Node.
 * @param load Observed load; null if there is none.
 * @return Requests per second; at least those of capacityOf(), at most twice as many.
 */
double usualCapacityOf(const roster_node &node, const pool_load *load);

/**
 * Returns the loads of candidates and their fair shares.
 * @param record Owners.
 * @param candidates Nodes that may own slots.
 * @param load Observed load; null if there is none.
 * @return One entry for each candidate, in their order.
 */
std::vector<candidate_load> candidateLoads(const ownership_record &record,
                                           const std::vector<const roster_node *> &candidates, const pool_load *load);

/**
 * Returns the share of a target's capacity that its load uses.
 * @param entry Candidate.
 * @param load Observed load; null if there is none.
 * @return Share; 1 if no speed is known.
 */
double utilizationOf(const candidate_load &entry, const pool_load *load);

} // namespace quetzalspool

#endif // ROSTER_LOAD_FUNC_H
