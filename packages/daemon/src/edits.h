/** @file edits.h Operators' changes: checked here, written to the store with their audit entries. */
#ifndef EDITS_H
#define EDITS_H

#include "control_base.h"
#include "http_type.h"

namespace quetzalspool {

/**
 * Checks and writes a change.
 * @param control Control state.
 * @param body JSON: operator, key, reason, rows, bases, dry_run.
 * @return Reply with the outcome, the changes and the revision.
 */
asio::awaitable<http_response> applyEdit(control_state &control, std::string body);

/**
 * Approves a proposed change as a second operator and writes it.
 * @param control Control state.
 * @param body JSON: operator, key, proposal.
 * @return Reply like that of applyEdit.
 */
asio::awaitable<http_response> approveEdit(control_state &control, std::string body);

/**
 * Lists the audit trail or the open proposals.
 * @param control Control state.
 * @param prefix "audit/" or "proposals/".
 * @return Reply with a list.
 */
asio::awaitable<http_response> listStored(control_state &control, std::string prefix);

} // namespace quetzalspool

#endif // EDITS_H
