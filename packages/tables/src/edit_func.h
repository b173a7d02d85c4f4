/** @file edit_func.h Checking an operator's change against the tables and the customer's rules. */
#ifndef EDIT_FUNC_H
#define EDIT_FUNC_H

#include "edit_type.h"

namespace quetzalspool {

/** Prefix of guard keys: written by every change of a route, compared by the removal of its pool. */
constexpr const char *guardPrefix = "refs/";

/**
 * Checks a change and works out its transaction.
 * @param tables The tables as they stand.
 * @param guards Revisions of the guard keys.
 * @param edit Change.
 * @param minuteOfDay Minutes after midnight, UTC.
 * @return A plan, or why there is none.
 */
edit_verdict planEdit(const current_tables &tables, const std::map<std::string, revision_number> &guards,
                      const table_edit &edit, std::chrono::minutes minuteOfDay);

/**
 * Tells whether an operator with this key is known.
 * @param rules Rules.
 * @param name Operator.
 * @param keyHash Hash of the key given.
 * @return Whether it is his.
 */
bool isOperator(const rules_row &rules, const std::string &name, const std::string &keyHash);

/**
 * Names a refusal.
 * @param refused Refusal.
 * @return Its name, as it stands in answers and the audit trail.
 */
const char *nameOf(edit_refusal refused);

} // namespace quetzalspool

#endif // EDIT_FUNC_H
