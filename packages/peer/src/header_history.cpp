/** @file header_history.cpp Decides which headers enter the dynamic table of HPACK. */
#include "header_history.h"

#include <algorithm>
#include <functional>

namespace quetzalspool {

namespace {

constexpr std::uint32_t variesAfter = 16; ///< After as many new values in a row, values of a name are not recorded.
constexpr std::uint32_t indexedAtOnce = 4; ///< So many new values in a row are indexed like others: few may follow.
constexpr std::uint32_t renewInterval = 64; ///< One in so many new values is indexed: the entry that holds the name may
                                            ///< have been pushed out of the table.

std::uint32_t hashOf(std::string_view text)
{
    return static_cast<std::uint32_t>(std::hash<std::string_view>()(text));
}

/** Finds a name; null if it is new. */
known_header *findName(header_history &history, std::uint32_t name)
{
    const auto found = std::find_if(history.names.begin(), history.names.end(),
                                    [name](const auto &known) { return known.name == name; });
    return found == history.names.end() ? nullptr : &*found;
}

void addName(header_history &history, known_header added)
{
    if (history.names.size() < maxKnownHeaders) {
        history.names.push_back(added);
        return;
    }
    history.names[history.nextReplaced] = added;
    history.nextReplaced = (history.nextReplaced + 1) % maxKnownHeaders;
}

} // namespace

bool shouldIndex(header_history &history, std::string_view name, std::string_view value)
{
    const auto nameHash = hashOf(name);
    const auto valueHash = hashOf(value);
    const auto pairHash = nameHash * 31U + valueHash;
    auto &pair = history.pairs[pairHash % history.pairs.size()];
    auto *known = findName(history, nameHash);
    if (known == nullptr) {
        addName(history, {nameHash, valueHash, 0});
        pair = pairHash;
        return true;
    }
    const bool sentBefore = known->lastValue == valueHash || pair == pairHash;
    known->lastValue = valueHash;
    if (sentBefore) {
        known->newValues = 0;
        return true;
    }
    ++known->newValues;
    if (known->newValues <= variesAfter) {
        pair = pairHash;
    }
    return known->newValues <= indexedAtOnce || known->newValues % renewInterval == 0;
}

} // namespace quetzalspool
