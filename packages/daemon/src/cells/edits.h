/** @file edits.h Operators' changes of the tables, checked and written with their audit entries. */
#ifndef EDITS_H
#define EDITS_H

#include "control_base.h"
#include "http_type.h"

namespace quetzalspool {

/**
 * Checks a change and writes it to the store, or stores it as a proposal if it needs approval.
 * @param control Control state.
 * @param body JSON: operator, key, reason, rows, bases, dry_run.
 * @return Response with the outcome, the changes and the revision.
 */
asio::awaitable<http_response> applyEdit(control_state &control, std::string body);

/**
 * Approves a proposed change in the name of a second operator and writes it.
 * @param control Control state.
 * @param body JSON: operator, key, proposal.
 * @return Response like that of applyEdit.
 */
asio::awaitable<http_response> approveEdit(control_state &control, std::string body);

/**
 * Lists the audit trail or the proposals.
 * @param control Control state.
 * @param prefix "audit/" or "proposals/".
 * @return Response with a list of the entries and their ids.
 */
asio::awaitable<http_response> listStored(control_state &control, std::string prefix);

} // namespace quetzalspool

#endif // EDITS_H
