/** @file edit_func.h Validation of an operator's change against the tables and the customer's rules. */
#ifndef EDIT_FUNC_H
#define EDIT_FUNC_H

#include "edit_type.h"

namespace quetzalspool {

/** Prefix of guard keys. A change of a route writes the guard key of its pool; the removal of the pool compares it. */
constexpr const char *guardPrefix = "refs/";

/**
 * Validates a change and plans its transaction.
 * @param tables Current tables.
 * @param guards Revisions of the guard keys.
 * @param edit Change.
 * @param minuteOfDay Minutes after midnight, UTC.
 * @return The plan, or the reason for the refusal.
 */
edit_result planEdit(const current_tables &tables, const std::map<std::string, revision_number> &guards,
                     const table_edit &edit, std::chrono::minutes minuteOfDay);

/**
 * Authenticates an operator.
 * @param rules Rules.
 * @param name Name of the operator.
 * @param keyHash SHA-256 of the key that was presented, in hexadecimal.
 * @return Whether the rules list an operator with this name and key.
 */
bool isOperator(const rules_row &rules, const std::string &name, const std::string &keyHash);

/**
 * Gets the name of a refusal.
 * @param refused Refusal.
 * @return Its name in responses and in the audit trail.
 */
const char *nameOf(edit_refusal refused);

} // namespace quetzalspool

#endif // EDIT_FUNC_H
