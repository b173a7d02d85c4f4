/** @file lease_store.h The port to a store with leases: what ownership by leases needs of it. */
#ifndef LEASE_STORE_H
#define LEASE_STORE_H

#include "asio_type.h"
#include "http_type.h"
#include "store_type.h"

#include <functional>

namespace quetzalspool {

using store_lease_id = strong_id<struct store_lease_tag, std::int64_t>; ///< A lease in the store; 0 is none.

/** How a call to the store ended. */
enum class call_result
{
    answered, ///< The store dealt with it.
    turned_away, ///< The store said that it did nothing.
    unanswered, ///< There was no answer.
};

/**
 * How a call ended, in metrics and logs.
 * @param result How it ended.
 * @return Its name.
 */
const char *nameOf(call_result result);

/** One call to the store, for those that count. */
struct store_call
{
    std::string_view kind; ///< What was asked: "read", "list", "watch", "commit", "open-lease" or "renew-lease".
    call_result result = call_result::unanswered; ///< How it ended.
    bool relayed = false; ///< Whether another daemon made it.
    bool waits = false; ///< Whether it waits for changes, so that its answer tells nothing of when the store was heard.
    milliseconds took{0}; ///< How long it took.
};

/** A write that may be bound to a lease. */
struct leased_put
{
    std::string key; ///< Key.
    std::string value; ///< New value.
    store_lease_id lease; ///< The key vanishes with this lease; 0 for a lasting one.
};

/** All puts are made if all compares hold. */
struct leased_txn
{
    std::vector<txn_compare> compares; ///< Conditions.
    std::vector<leased_put> puts; ///< Writes.
};

/** How a transaction ended, if there was an answer. */
enum class commit_status
{
    stored, ///< All puts were made.
    conflicted, ///< A condition did not hold.
    lease_ended, ///< The lease does not exist; nothing was done.
};

/** Answer to a transaction. */
struct commit_result
{
    commit_status status = commit_status::conflicted; ///< How it ended.
    revision_number revision; ///< Revision of what was put.
    std::vector<stored_value> current; ///< After a conflict: compared keys that exist.
};

/** Answer to a read of one key. */
struct read_result
{
    std::optional<stored_value> value; ///< The value, or nothing if the key does not exist.
    revision_number revision; ///< Revision of the whole store at the read.
};

/** Answer to a wait for changes. */
struct watch_result
{
    bool forgotten = false; ///< Whether the store no longer has the changes asked for: read everything again.
    std::vector<watch_event> events; ///< Changes, in order.
    revision_number revision; ///< Continue from here.
};

/** How a renewal ended. */
enum class renewal_status
{
    renewed, ///< The lease runs on.
    ended, ///< The lease does not exist any more.
    unanswered, ///< There was no answer.
};

/** Makes a call to the store through another daemon, for a daemon that the store turns away. */
using store_relay =
    std::function<asio::awaitable<std::optional<http_response>>(http_request request, milliseconds timeout)>;

/** A store with leases. Every call returns nothing, with a reason, if there was no answer: it may have been made. */
struct lease_store
{
    /** Reads one key; linearizable. */
    std::function<asio::awaitable<std::optional<read_result>>(std::string key, last_reason &why)> read;
    /** Reads all keys with a prefix. */
    std::function<asio::awaitable<std::optional<range_result>>(std::string prefix, last_reason &why)> list;
    /** Waits for changes of keys with a prefix after a revision. */
    std::function<asio::awaitable<std::optional<watch_result>>(std::string prefix, revision_number after,
                                                               milliseconds wait, last_reason &why)>
        watch;
    /** Makes a transaction. */
    std::function<asio::awaitable<std::optional<commit_result>>(leased_txn txn, last_reason &why)> commit;
    /** Opens a lease. */
    std::function<asio::awaitable<std::optional<store_lease_id>>(milliseconds ttl, last_reason &why)> openLease;
    /** Renews a lease. */
    std::function<asio::awaitable<renewal_status>(store_lease_id lease, last_reason &why)> renewLease;
};

} // namespace quetzalspool

#endif // LEASE_STORE_H
