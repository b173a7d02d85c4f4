/** @file memory_budget.cpp What a process may keep for callers, other daemons and targets, and whom it evicts. */
#include "memory_budget_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr std::uint64_t budgetPercent = 55; ///< Part of the memory: a body of 64 MiB fits on a machine of 160 MB.
constexpr std::uint64_t reservedPart = 8; ///< One part in so many of the budget is for small requests.
constexpr std::uint64_t otherDescriptors = 64; ///< Fewest descriptors left for everything but callers.
constexpr std::uint64_t otherPart = 4; ///< One part in so many of the descriptors is left for everything but callers.
constexpr std::uint64_t targetPart = 2; ///< One part in so many of the target's memory may be held by bodies.

} // namespace

memory_budget makeMemoryBudget(std::uint64_t memoryBytes)
{
    const auto limit = memoryBytes / 100 * budgetPercent;
    return {limit, limit / reservedPart};
}

bool admitsBytes(const memory_budget &budget, std::uint64_t used, std::uint64_t more, std::uint64_t total)
{
    const auto usable = total <= smallRequestBytes ? budget.limit : budget.limit - budget.reserved;
    return used <= usable && more <= usable - used;
}

std::optional<std::size_t> chooseEviction(const std::vector<memory_holder> &holders, steady_time now)
{
    const auto slowest = std::min_element(holders.begin(), holders.end(), [](const auto &left, const auto &right) {
        return left.lastProgress < right.lastProgress;
    });
    if (slowest == holders.end() || now - slowest->lastProgress < evictableAfter) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(slowest - holders.begin());
}

std::size_t maxCallerConnections(std::uint64_t descriptors, std::uint32_t threads)
{
    const auto others = std::max(otherDescriptors, descriptors / otherPart);
    return std::max<std::uint64_t>(1, (descriptors > others ? descriptors - others : 0) / std::max(threads, 1U));
}

bool admitsAtTarget(std::uint64_t heldBytes, std::uint64_t bodyBytes, std::uint64_t memoryBytes)
{
    return heldBytes == 0 || bodyBytes <= smallRequestBytes || heldBytes + bodyBytes <= memoryBytes / targetPart;
}

} // namespace quetzalspool
