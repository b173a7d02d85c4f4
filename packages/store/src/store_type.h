/** @file store_type.h Requests to the platform's key-value service, as its etcd v3 HTTP/JSON gateway has them. */
#ifndef STORE_TYPE_H
#define STORE_TYPE_H

#include "base_type.h"

#include <string>
#include <vector>

namespace quetzalspool {

/** One key with its value. */
struct stored_value
{
    std::string key; ///< Key.
    std::string value; ///< Value.
    revision_number revision; ///< Revision of its last change.
};

/** Answer to a read of a range. */
struct range_result
{
    revision_number revision; ///< Revision of the whole store at the read.
    std::vector<stored_value> values; ///< Values, by key.
};

/** A condition of a transaction. */
struct txn_compare
{
    std::string key; ///< Key.
    revision_number revision; ///< Revision it must have; 0 if it must not exist.
};

/** A write of a transaction. */
struct txn_put
{
    std::string key; ///< Key.
    std::string value; ///< New value.
};

/** All puts are made if all compares hold; else the compared keys are read. */
struct txn_request
{
    std::vector<txn_compare> compares; ///< Conditions.
    std::vector<txn_put> puts; ///< Writes.
};

/** Answer to a transaction. */
struct txn_result
{
    bool succeeded = false; ///< Whether the puts were made.
    revision_number revision; ///< Revision of the whole store after it.
    std::vector<stored_value> current; ///< Values of the compared keys, if it did not succeed.
};

/** One change seen by a watch. */
struct watch_event
{
    stored_value value; ///< Key with its new value.
    bool removed = false; ///< Whether the key was deleted.
};

} // namespace quetzalspool

#endif // STORE_TYPE_H
