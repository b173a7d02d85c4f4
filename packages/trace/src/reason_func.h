/** @file reason_func.h Looking reasons up in the fixed list. */
#ifndef REASON_FUNC_H
#define REASON_FUNC_H

#include "reason_type.h"

#include <string>

namespace quetzalspool {

/**
 * Reduces a reason to its word in the list, so that lines and metrics hold nothing that targets or callers made up.
 * @param text Reason; may go on after the word with '-' or ':' and details.
 * @return The word; "other" if the list has none that fits.
 */
std::string reasonWord(std::string_view text);

/**
 * Finds a reason.
 * @param word Word.
 * @return Its row, or null.
 */
const reason_row *findReason(std::string_view word);

} // namespace quetzalspool

#endif // REASON_FUNC_H
