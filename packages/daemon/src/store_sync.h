/** @file store_sync.h Documents from the store, and cell records to it. */
#ifndef STORE_SYNC_H
#define STORE_SYNC_H

#include "control_base.h"

namespace quetzalspool {

/**
 * Reads all documents at the start, from the store or, if it is out, from the seeds.
 * @param control Control state.
 * @return An awaitable.
 */
asio::awaitable<void> loadDocuments(control_state &control);

/**
 * Watches the store while this daemon drives its cell.
 * @param control Control state.
 * @return An awaitable.
 */
asio::awaitable<void> watchStore(control_state &control);

/**
 * Reads a cell's record for a read action.
 * @param control Control state.
 * @param cell Cell.
 * @return An awaitable.
 */
asio::awaitable<void> readRecord(control_state &control, cell_id cell);

/**
 * Writes a cell's record for a write action.
 * @param control Control state.
 * @param cell Cell.
 * @param write Action.
 * @return An awaitable.
 */
asio::awaitable<void> writeRecord(control_state &control, cell_id cell, write_action write);

/**
 * Takes one value of the store into the catalog.
 * @param control Control state.
 * @param value Value with its full key.
 */
void applyStoredValue(control_state &control, const stored_value &value);

} // namespace quetzalspool

#endif // STORE_SYNC_H
