/** @file roster_port.h Interface to a deployment: its store, its tables, and the protocol of its targets. */
#ifndef ROSTER_PORT_H
#define ROSTER_PORT_H

#include "cold_limit_base.h"
#include "header_profile.h"
#include "http_type.h"
#include "lease_store.h"
#include "roster_type.h"
#include "sent_bytes.h"
#include "snapshot_type.h"

namespace quetzalspool {

/** Handlers for requests of the target beside the daemon. */
struct target_events
{
    std::function<std::optional<target_grant>(const target_report &)>
        report; ///< Applies a report; returns the grant, if any.
    std::function<bool(const target_incarnation &)> leave; ///< Applies the announcement that an incarnation of the
                                                           ///< target ends; false if it is not the current one.
    std::function<bool(const pool_id &)> isKeyed; ///< Whether a pool is divided by key.
    std::function<bool(const pool_id &)> isKnown; ///< Whether a pool is in the tables.
};

/** Adapters between the product and one deployment. */
struct roster_port
{
    header_profile names; ///< Header names and conventions.
    lease_store store; ///< Store.
    std::optional<milliseconds>
        leaveTime; ///< Time a target serves after its leave was acknowledged; empty for the default.
    cold_bound coldBound; ///< Bound on the requests to a cold target.
    std::string tablesKey; ///< Key of the tables in the store.
    std::optional<milliseconds>
        drainTime; ///< Time after which no request may reach a drained domain; empty if domains can't be drained.
    std::string drainsPrefix; ///< Prefix of the keys that name drained domains; empty if domains can't be drained.
    std::string tablesPrefix; ///< Common prefix of tables and drained domains; empty to mirror the tables alone.
    std::function<std::optional<tables_snapshot>(std::string_view text, last_reason &why)>
        readTables; ///< Parses the tables.
    std::function<http_response(const http_request &, const target_events &)>
        answerTarget; ///< Handles a request of the target.
    std::function<http_response(const http_request &, bool ready)> answerReadiness; ///< Responds to a readiness check.
    std::function<void(store_relay)> setRelay; ///< Sets the relay by which the store client can use other daemons.
    std::function<void(const byte_counter &)> countSent; ///< Sets the counter of the bytes sent to the store; to be
                                                         ///< called before the first call.
    std::function<void(std::function<void(const store_call &)>)>
        observeCalls; ///< Sets an observer that is called after each store call.
};

} // namespace quetzalspool

#endif // ROSTER_PORT_H
