/** @file store_sync.h Reads and watches documents in the store, and writes cell records to it. */
#ifndef STORE_SYNC_H
#define STORE_SYNC_H

#include "control_base.h"

namespace quetzalspool {

/**
 * Reads all documents at the start from the store. While the store does not respond, compares with the seeds instead
 * and tries again.
 * @param control Control state.
 * @return An awaitable.
 */
asio::awaitable<void> loadDocuments(control_state &control);

/**
 * Watches the store whenever this daemon is the coordinator of its cell and that cell is to watch the store.
 * @param control Control state.
 * @return An awaitable.
 */
asio::awaitable<void> watchStore(control_state &control);

/**
 * Performs a read action: reads a cell's record and passes it to the cell.
 * @param control Control state.
 * @param cell Cell.
 * @return An awaitable.
 */
asio::awaitable<void> readRecord(control_state &control, cell_id cell);

/**
 * Performs a write action: writes a cell's record, passes the outcome to the cell and announces the record.
 * @param control Control state.
 * @param cell Cell.
 * @param write Action.
 * @return An awaitable.
 */
asio::awaitable<void> writeRecord(control_state &control, cell_id cell, write_action write);

/**
 * Applies one value of the store: installs a document, or records the revision of a guard key.
 * @param control Control state.
 * @param value Value with its key, which includes storePrefix.
 */
void applyStoredValue(control_state &control, const stored_value &value);

} // namespace quetzalspool

#endif // STORE_SYNC_H
