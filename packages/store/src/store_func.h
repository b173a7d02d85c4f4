/** @file store_func.h Client of the store. Another store can be used by replacing these functions. */
#ifndef STORE_FUNC_H
#define STORE_FUNC_H

#include "http_client.h"
#include "store_type.h"

namespace quetzalspool {

/** Connection to the store, with its state. */
struct store_client
{
    endpoint at; ///< Address of the gateway.
    std::shared_ptr<http_connection_pool> pool; ///< Reused connections.
    byte_counter sent; ///< Counts the bytes sent; null for none.
    milliseconds timeout{1500}; ///< Time limit for one call.
    std::uint64_t calls = 0; ///< Number of calls, for metrics.
    revision_number highest; ///< Highest known revision; a lower one means that the store was restored from a backup.
    bool restored = false; ///< Whether the last response had a lower revision and was refused.
};

/**
 * Creates a client.
 * @param at Address of the gateway.
 * @param sent Counts the bytes sent; null for none.
 * @return The client.
 */
store_client makeStoreClient(endpoint at, byte_counter sent = nullptr);

/**
 * Reads all keys with a prefix.
 * @param store Store.
 * @param prefix Prefix, or a complete key if single.
 * @param single Whether to read only that key.
 * @param why Receives the reason for a failure.
 * @return The values, or nothing after a failure.
 */
asio::awaitable<std::optional<range_result>> readRange(store_client &store, std::string prefix, bool single,
                                                       last_reason &why);

/**
 * Executes a transaction.
 * @param store Store.
 * @param request Compares and puts.
 * @param why Receives the reason for a failure.
 * @return The result; nothing after a failure, when the transaction may have been executed.
 */
asio::awaitable<std::optional<txn_result>> commit(store_client &store, txn_request request, last_reason &why);

/**
 * Watches all keys with a prefix from a revision on, until the watch ends.
 * @param store Store.
 * @param prefix Prefix.
 * @param from First revision to report.
 * @param onEvents Called with the changes in order; returns false to end the watch.
 * @param why Receives the reason why the watch ended.
 * @return An awaitable.
 */
asio::awaitable<void> watchPrefix(store_client &store, std::string prefix, revision_number from,
                                  std::function<bool(std::vector<watch_event>)> onEvents, last_reason &why);

} // namespace quetzalspool

#endif // STORE_FUNC_H
