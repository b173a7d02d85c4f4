/** @file roster_port.h What a deployment brings: its store, its tables, and the speech of its targets. */
#ifndef ROSTER_PORT_H
#define ROSTER_PORT_H

#include "header_profile.h"
#include "http_type.h"
#include "lease_store.h"
#include "roster_type.h"
#include "snapshot_type.h"

namespace quetzalspool {

/** What the daemon does with the reports of the target beside it. */
struct target_events
{
    std::function<std::optional<target_grant>(const target_report &)> report; ///< Takes a report.
    std::function<bool(const std::string &)> leave; ///< Takes the word that a life ends; false if it is unknown.
    std::function<bool(const pool_id &)> isKeyed; ///< Tells whether a pool is divided by key.
    std::function<bool(const pool_id &)> isKnown; ///< Tells whether a pool is in the tables.
};

/** Translations between the product and one deployment. */
struct roster_port
{
    header_profile names; ///< Header names.
    lease_store store; ///< Store.
    std::optional<milliseconds> leaveTime; ///< How long a target serves after it heard that its leaving is known.
    std::string tablesKey; ///< Key of the tables in the store.
    std::function<std::optional<tables_snapshot>(std::string_view text, last_reason &why)> readTables; ///< Reads them.
    std::function<http_response(const http_request &, const target_events &)> answerTarget; ///< Answers the target.
    std::function<http_response(const http_request &, bool ready)> answerReadiness; ///< Says whether it takes callers.
    std::function<void(store_relay)> setRelay; ///< Gives the store client a way through other daemons.
    std::function<void(std::function<void(const store_call &)>)> observeCalls; ///< Lets metrics hear of each call.
};

} // namespace quetzalspool

#endif // ROSTER_PORT_H
