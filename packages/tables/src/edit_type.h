/** @file edit_type.h An operator's change of the tables and the transaction that applies it. */
#ifndef EDIT_TYPE_H
#define EDIT_TYPE_H

#include "row_type.h"

#include <map>

namespace quetzalspool {

/** Current value of a row with its revision. */
struct current_row
{
    table_row row; ///< Row.
    revision_number revision; ///< Revision of its last change.
};

/** Current rows of all tables, by key. */
using current_tables = std::map<std::string, current_row>;

/** A change requested by an operator. */
struct table_edit
{
    std::string operatorName; ///< Name of the operator.
    std::string keyHash; ///< SHA-256 of the operator's key, in hexadecimal.
    std::string reason; ///< Reason given by the operator.
    std::vector<keyed_row> rows; ///< New rows; a removed_row deletes a row.
    std::map<std::string, revision_number> bases; ///< Revisions that the operator read; a newer row is a conflict.
    std::string approver; ///< Second operator who approved the change; empty if none.
};

/** Modification of one row. */
struct row_change
{
    std::string key; ///< Key.
    std::string before; ///< Old value as JSON; empty if the row did not exist.
    std::string after; ///< New value as JSON.
    revision_number revision; ///< Revision of the old value.
};

/** Revision of a key that the transaction requires. */
struct edit_condition
{
    std::string key; ///< Key.
    revision_number revision; ///< Required revision; 0 if the key must not exist.
};

/** Contents of the transaction that applies a change. */
struct edit_plan
{
    std::vector<row_change> changes; ///< Rows that are modified.
    std::vector<edit_condition> conditions; ///< Compared in the transaction, in addition to the modified rows.
    std::vector<std::string> references; ///< Guard keys written in the transaction.
    bool needsApproval = false; ///< Whether a second operator must approve the change first.
};

/** Why a change is refused. */
enum class edit_refusal
{
    none, ///< Not refused.
    operator_unknown, ///< No operator with this name and key.
    not_allowed, ///< The operator has no permission to change one of the rows.
    quiet, ///< Changes are not allowed at this time of day.
    too_many, ///< More rows than one change may modify.
    invalid, ///< A row fails its checks or refers to a row that does not exist.
    conflict, ///< A row was changed after the operator read it.
};

/** The plan of a change, or the reason for its refusal. */
struct edit_result
{
    std::optional<edit_plan> plan; ///< The transaction; nothing if refused.
    edit_refusal refused = edit_refusal::none; ///< Reason for the refusal.
    std::string text; ///< Description of the refusal.
    std::vector<row_change> conflicts; ///< Rows changed since the operator read them: current and requested value.
};

} // namespace quetzalspool

#endif // EDIT_TYPE_H
