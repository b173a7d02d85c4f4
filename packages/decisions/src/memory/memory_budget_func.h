/** @file memory_budget_func.h What a process may keep for callers, other daemons and targets, and whom it evicts. */
#ifndef MEMORY_BUDGET_FUNC_H
#define MEMORY_BUDGET_FUNC_H

#include "base_type.h"

#include <optional>
#include <vector>

namespace quetzalspool {

/** Bytes that a process may keep for others. */
struct memory_budget
{
    std::uint64_t limit = 0; ///< Bytes in total.
    std::uint64_t reserved = 0; ///< Bytes of these that only small requests may use.
};

/** A caller for which the process keeps bytes. */
struct memory_holder
{
    std::uint64_t bytes = 0; ///< Bytes kept.
    steady_time lastProgress{}; ///< When bytes were last received from it or accepted by it.
};

/** Requests of up to this many bytes may use the reserved part of the budget. */
constexpr std::uint64_t smallRequestBytes = 65536;
/** A caller is evicted only if it has made no progress for this long. */
constexpr milliseconds evictableAfter{1000};

/**
 * Derives the budget from the memory of the machine. The rest is for the process itself, unused parts of heap blocks,
 * and buffers of the kernel.
 * @param memoryBytes Memory of the machine.
 * @return The budget.
 */
memory_budget makeMemoryBudget(std::uint64_t memoryBytes);

/**
 * Decides whether a request may take more memory.
 * @param budget Budget.
 * @param used Bytes charged at present.
 * @param more Bytes that it needs now.
 * @param total Bytes that the request has then taken; small requests may use the reserved part.
 * @return Whether it may.
 */
bool admitsBytes(const memory_budget &budget, std::uint64_t used, std::uint64_t more, std::uint64_t total);

/**
 * Chooses the caller to evict: the one that has made no progress for longest, if it has made none for
 * `evictableAfter`.
 * @param holders Callers.
 * @param now Current time.
 * @return Its index; nothing if all have made progress lately.
 */
std::optional<std::size_t> chooseEviction(const std::vector<memory_holder> &holders, steady_time now);

/**
 * Bounds the connections of callers, so that descriptors are left for other daemons, targets and the store.
 * @param descriptors Descriptors that the process may have open.
 * @param threads Threads that share them.
 * @return Connections of callers for each thread.
 */
std::size_t maxCallerConnections(std::uint64_t descriptors, std::uint32_t threads);

/**
 * Decides whether a request may be handed to a target beside those that it holds already. One alone always may.
 * @param heldBytes Bytes of the bodies that the target holds.
 * @param bodyBytes Bytes of the body of the request.
 * @param memoryBytes Memory of the target's machine.
 * @return Whether it may.
 */
bool admitsAtTarget(std::uint64_t heldBytes, std::uint64_t bodyBytes, std::uint64_t memoryBytes);

} // namespace quetzalspool

#endif // MEMORY_BUDGET_FUNC_H
