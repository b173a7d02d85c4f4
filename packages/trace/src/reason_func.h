/** @file reason_func.h Lookup of reasons in the fixed list. */
#ifndef REASON_FUNC_H
#define REASON_FUNC_H

#include "reason_type.h"

#include <string>

namespace quetzalspool {

/**
 * Reduces a reason to its identifier in the list, so that text from targets or callers does not get into log lines and
 * metrics.
 * @param text Reason: an identifier, optionally followed by '-' or ':' and details.
 * @return The identifier; "other" if none in the list matches.
 */
std::string reasonWord(std::string_view text);

/**
 * Finds a reason by its identifier.
 * @param word Identifier.
 * @return The reason, or null.
 */
const reason_row *findReason(std::string_view word);

} // namespace quetzalspool

#endif // REASON_FUNC_H
