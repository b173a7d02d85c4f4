/** @file lease_store.h Interface to a key-value store with leases, as lease-based ownership needs it. */
#ifndef LEASE_STORE_H
#define LEASE_STORE_H

#include "asio_type.h"
#include "http_type.h"
#include "store_era.h"
#include "store_type.h"

#include <functional>

namespace quetzalspool {

using store_lease_id = strong_id<struct store_lease_tag, std::int64_t>; ///< Id of a lease in the store; 0 for none.

/** Result of a call to the store. */
enum class call_result
{
    answered, ///< The store processed the call.
    refused, ///< The store rejected the call without any effect.
    unanswered, ///< No response; the call may have taken effect.
};

/**
 * Gets the name of a result, for metrics and logs.
 * @param result Result.
 * @return Its name.
 */
const char *nameOf(call_result result);

/** Description of a completed store call, for metrics. */
struct store_call
{
    std::string_view kind; ///< Operation: "read", "list", "watch", "commit", "open-lease" or "renew-lease".
    call_result result = call_result::unanswered; ///< Result.
    bool relayed = false; ///< Whether another daemon made the call on behalf of this one.
    bool waits = false; ///< Whether it waits for changes, so that its response does not date the last contact.
    milliseconds took{0}; ///< Duration.
    era_number era; ///< Highest era that the store has named so far.
};

/** A write that may be attached to a lease. */
struct leased_put
{
    std::string key; ///< Key.
    std::string value; ///< New value.
    store_lease_id lease; ///< The key is deleted when this lease ends; 0 for a permanent key.
};

/** A transaction: all puts are made if all compares hold. */
struct leased_txn
{
    std::vector<txn_compare> compares; ///< Conditions.
    std::vector<leased_put> puts; ///< Writes.
};

/** Status of a transaction that the store responded to. */
enum class commit_status
{
    stored, ///< All puts were made.
    conflicted, ///< A compare did not hold; nothing was done.
    lease_ended, ///< The lease does not exist; nothing was done.
};

/** Response to a transaction. */
struct commit_result
{
    commit_status status = commit_status::conflicted; ///< Status.
    revision_number revision; ///< Revision of the written keys.
    std::vector<stored_value> current; ///< After a conflict: current values of the compared keys that exist.
};

/** Response to a read of one key. */
struct read_result
{
    std::optional<stored_value> value; ///< The value, or nothing if the key does not exist.
    revision_number revision; ///< Revision of the whole store at the read.
};

/** Response to a watch. */
struct watch_result
{
    bool compacted = false; ///< Whether the requested revisions were compacted, so that all keys must be read again.
    std::vector<watch_event> events; ///< Changes, in order.
    revision_number revision; ///< Revision after which the next watch continues.
};

/** Result of the renewal of a lease. */
enum class renewal_status
{
    renewed, ///< The lease was renewed.
    ended, ///< The lease no longer exists.
    unanswered, ///< No response; the lease may have been renewed.
};

/** Makes a store call through another daemon, for a daemon whose calls the store rejects. */
using store_relay =
    std::function<asio::awaitable<std::optional<http_response>>(http_request request, milliseconds timeout)>;

/** A store with leases. Calls without a response return nothing, with a reason; they may have taken effect. */
struct lease_store
{
    /** Reads one key; linearizable. */
    std::function<asio::awaitable<std::optional<read_result>>(std::string key, last_reason &why)> read;
    /** Reads all keys with a prefix. */
    std::function<asio::awaitable<std::optional<range_result>>(std::string prefix, last_reason &why)> list;
    /** Waits for changes after a revision to keys with a prefix, for a limited time. */
    std::function<asio::awaitable<std::optional<watch_result>>(std::string prefix, revision_number after,
                                                               milliseconds wait, last_reason &why)>
        watch;
    /** Executes a transaction. */
    std::function<asio::awaitable<std::optional<commit_result>>(leased_txn txn, last_reason &why)> commit;
    /** Creates a lease. */
    std::function<asio::awaitable<std::optional<store_lease_id>>(milliseconds ttl, last_reason &why)> openLease;
    /** Renews a lease. */
    std::function<asio::awaitable<renewal_status>(store_lease_id lease, last_reason &why)> renewLease;
};

} // namespace quetzalspool

#endif // LEASE_STORE_H
