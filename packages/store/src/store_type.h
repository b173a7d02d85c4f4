/** @file store_type.h Requests and responses of the platform's key-value service (etcd v3 HTTP/JSON gateway). */
#ifndef STORE_TYPE_H
#define STORE_TYPE_H

#include "base_type.h"

#include <string>
#include <vector>

namespace quetzalspool {

/** A key with its value. */
struct stored_value
{
    std::string key; ///< Key.
    std::string value; ///< Value.
    revision_number revision; ///< Revision of its last change.
};

/** Response to a read of a range of keys. */
struct range_result
{
    revision_number revision; ///< Revision of the whole store at the read.
    std::vector<stored_value> values; ///< Values, ordered by key.
};

/** A compare of a transaction. */
struct txn_compare
{
    std::string key; ///< Key.
    revision_number revision; ///< Required revision; 0 if the key must not exist.
};

/** A write of a transaction. */
struct txn_put
{
    std::string key; ///< Key.
    std::string value; ///< New value.
};

/** A transaction: all puts are made if all compares hold, otherwise the compared keys are read. */
struct txn_request
{
    std::vector<txn_compare> compares; ///< Conditions.
    std::vector<txn_put> puts; ///< Writes.
};

/** Response to a transaction. */
struct txn_result
{
    bool succeeded = false; ///< Whether the puts were made.
    revision_number revision; ///< Revision of the whole store after the transaction.
    std::vector<stored_value> current; ///< Values of the compared keys, if the compares did not hold.
};

/** A change reported by a watch. */
struct watch_event
{
    stored_value value; ///< Key with its new value.
    bool removed = false; ///< Whether the key was deleted.
};

} // namespace quetzalspool

#endif // STORE_TYPE_H
