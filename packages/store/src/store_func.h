/** @file store_func.h Calls on the store. The narrow port behind which another store may stand. */
#ifndef STORE_FUNC_H
#define STORE_FUNC_H

#include "http_client.h"
#include "store_type.h"

namespace quetzalspool {

/** How to reach the store. */
struct store_client
{
    endpoint at; ///< Gateway.
    std::shared_ptr<http_connection_pool> pool; ///< Kept connections.
    milliseconds timeout{1500}; ///< Bound on one call.
    std::uint64_t calls = 0; ///< Calls made, for metrics.
    revision_number highest; ///< Highest revision seen; a lower one means a store restored from a copy.
    bool restored = false; ///< Whether a lower revision was seen; such answers are refused.
};

/**
 * Makes a client.
 * @param at Gateway.
 * @return The client.
 */
store_client makeStoreClient(endpoint at);

/**
 * Reads all keys with a prefix.
 * @param store Store.
 * @param prefix Prefix, or a whole key if single.
 * @param single Whether to read just that key.
 * @param why Receives the reason if there is no answer.
 * @return The values, or nothing.
 */
asio::awaitable<std::optional<range_result>> readRange(store_client &store, std::string prefix, bool single,
                                                       last_reason &why);

/**
 * Makes a transaction.
 * @param store Store.
 * @param request Compares and puts.
 * @param why Receives the reason if there is no answer.
 * @return The result; nothing means unclear: it may have been made.
 */
asio::awaitable<std::optional<txn_result>> commit(store_client &store, txn_request request, last_reason &why);

/**
 * Watches all keys with a prefix from a revision on, until the stream breaks.
 * @param store Store.
 * @param prefix Prefix.
 * @param from First revision wanted.
 * @param onEvents Takes events; returning false ends the watch.
 * @param why Receives the reason for the end.
 * @return An awaitable.
 */
asio::awaitable<void> watchPrefix(store_client &store, std::string prefix, revision_number from,
                                  std::function<bool(std::vector<watch_event>)> onEvents, last_reason &why);

} // namespace quetzalspool

#endif // STORE_FUNC_H
