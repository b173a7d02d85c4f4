/** @file reason.cpp Lookup of reasons in the fixed list. */
#include "reason_func.h"

#include "table/reasons.h"

#include <algorithm>

namespace quetzalspool {

const reason_row *findReason(std::string_view word)
{
    const auto found =
        std::find_if(reasonTable.begin(), reasonTable.end(), [&](const auto &row) { return row.word == word; });
    return found == reasonTable.end() ? nullptr : &*found;
}

std::string reasonWord(std::string_view text)
{
    // Takes the longest match, because some identifiers are prefixes of others.
    const reason_row *best = findReason(text);
    for (const auto &row : reasonTable) {
        const bool begins = text.size() > row.word.size() && text.starts_with(row.word)
            && (text[row.word.size()] == '-' || text[row.word.size()] == ':');
        if (begins && (best == nullptr || row.word.size() > best->word.size())) {
            best = &row;
        }
    }
    return std::string(best == nullptr ? "other" : best->word);
}

} // namespace quetzalspool
