/** @file edit_type.h An operator's change of the tables, and the transaction that makes it. */
#ifndef EDIT_TYPE_H
#define EDIT_TYPE_H

#include "row_type.h"

#include <map>

namespace quetzalspool {

/** A row as it stands, with its revision. */
struct current_row
{
    table_row row; ///< Row.
    revision_number revision; ///< Revision of its last change.
};

/** The tables as they stand, by key. */
using current_tables = std::map<std::string, current_row>;

/** A change that an operator asks for. */
struct table_edit
{
    std::string operatorName; ///< Who asks.
    std::string keyHash; ///< SHA-256 of the key he gave, in hexadecimal.
    std::string reason; ///< Why, in his words.
    std::vector<keyed_row> rows; ///< New rows; a removed_row takes one out.
    std::map<std::string, revision_number> bases; ///< Revisions that he saw; a row changed since is a conflict.
    std::string approver; ///< Second operator, if one has approved it.
};

/** A row that changes. */
struct row_change
{
    std::string key; ///< Key.
    std::string before; ///< Old value as JSON; empty if there was none.
    std::string after; ///< New value as JSON.
    revision_number revision; ///< Revision of the old value.
};

/** A condition on a key that the change relies on. */
struct edit_condition
{
    std::string key; ///< Key.
    revision_number revision; ///< Revision it must still have; 0 if it must not exist.
};

/** What has to be written. */
struct edit_plan
{
    std::vector<row_change> changes; ///< Rows that differ.
    std::vector<edit_condition> conditions; ///< Compared in the same transaction, besides the changed rows.
    std::vector<std::string> references; ///< Guard keys written in the same transaction.
    bool needsApproval = false; ///< Whether a second operator has to approve it first.
};

/** Why an edit is refused. */
enum class edit_refusal
{
    none, ///< It is not.
    operator_unknown, ///< Wrong or missing key.
    not_allowed, ///< The rules don't let this operator change this row.
    quiet, ///< Nothing changes at this time of day.
    too_many, ///< More rows than one change may touch.
    invalid, ///< A row breaks the checks or refers to nothing.
    conflict, ///< A row changed since the operator saw it.
};

/** A plan, or why there is none. */
struct edit_verdict
{
    std::optional<edit_plan> plan; ///< What to write.
    edit_refusal refused = edit_refusal::none; ///< Why not.
    std::string text; ///< Why not, in words.
    std::vector<row_change> conflicts; ///< Rows that changed since: what the operator wanted and what is there.
};

} // namespace quetzalspool

#endif // EDIT_TYPE_H
