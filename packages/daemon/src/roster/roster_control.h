/**
 * @file roster_control.h The control thread of a daemon in a deployment with a roster: a target may serve keys only
 * while its daemon's entry in the store is bound to a valid lease. control.h is the one for deployments with cells.
 */
#ifndef ROSTER_CONTROL_H
#define ROSTER_CONTROL_H

#include "async_condition.h"
#include "byte_distance_func.h"
#include "exchange_base.h"
#include "log_func.h"
#include "mirror_type.h"
#include "peer_client.h"
#include "roster_base.h"
#include "roster_port.h"
#include "shared_base.h"

#include <array>
#include <random>

namespace quetzalspool {

/** All keys under one prefix of the store, mirrored locally. */
struct mirrored_prefix
{
    mirrored_keys mirror; ///< Local copy of the keys.
    bool coalesces = false; ///< Whether watches pause after changes, so that several arrive together.
    milliseconds initialWatchDelay{0}; ///< Delay between the first read and the first watch.
    revision_number emptyCatchUpRevision; ///< Revision at which a request for missed changes first returned none; that
                                          ///< is accepted only if the next request returns none too.
    std::optional<steady_time> watchedSince; ///< Since when the prefix is watched at the store; empty while it is not.
    std::function<void()> cancelWatch; ///< Cancels the current watch, which then starts again; empty if none.
    std::function<asio::awaitable<std::optional<range_result>>(last_reason &why)>
        readAll; ///< Reads all keys; empty if the store did not respond.
    std::function<void(const watch_event &)> onEvent; ///< Applies one change.
    std::function<void()> onListed; ///< Called after a complete listing was applied; may be empty.
};

/** Updates in the compressed form in which they were sent. */
struct packed_updates
{
    std::uint64_t version = 0; ///< Version of the exchange at which they were collected.
    std::map<std::vector<revision_number>, std::string> byRevisions; ///< Compressed, by the revisions that the follower
                                                                     ///< knew.
};

/** I/O of requesting store changes from upstream daemons and of serving them to followers. */
struct change_exchange
{
    exchange_state state; ///< State of the decision logic.
    milliseconds initialWatchDelay{0}; ///< Delay before the first watch of the roster: when a whole fleet starts, other
                                       ///< daemons appear meanwhile and deliver changes from then on.
    std::map<endpoint, steady_time> backoffUntil; ///< Failed upstream daemons, not polled until then.
    std::uint64_t notifiedVersion = 0; ///< Version at which waiting long polls were last woken.
    std::vector<std::shared_ptr<asio::steady_timer>> longPolls; ///< Timers of waiting requests.
    packed_updates packed; ///< What followers at the same revisions get.
};

/** State owned by the control thread. */
struct roster_control
{
    daemon_shared *shared = nullptr; ///< Shared state.
    asio::io_context context{1}; ///< Runs on one thread.
    roster_port port; ///< Interface to the deployment.
    roster_state state; ///< State of the decision logic.
    store_lease_id lease; ///< Store lease to which the own entry is bound; 0 while there is none.
    std::shared_ptr<const route_table> tables; ///< Current route tables; null before the first were read.
    revision_number tablesRevision; ///< Revision of the tables in the store.
    std::vector<std::pair<pool_id, slot_range>> publishedRanges; ///< Slot ranges open for admission.
    std::vector<std::pair<pool_id, slot_range>> awaitedRanges; ///< Slot ranges whose requests admission keeps until
                                                               ///< the next grant.
    udp::socket socket{context}; ///< Socket for load reports.
    std::array<char, 8192> received{}; ///< The datagram being received.
    std::shared_ptr<peer_client> peers =
        makePeerClient(context.get_executor()); ///< For relayed store calls and for polling upstream daemons.
    known_distances distances; ///< Distances to other daemons, for the account of the bytes sent.
    std::mt19937_64 random{std::random_device{}()}; ///< For choosing relays.
    std::vector<std::shared_ptr<mirrored_prefix>> mirroredPrefixes; ///< In the same order in all daemons.
    change_exchange exchange; ///< Changes received from and sent to other daemons.
    bool firstReaderKnown = false; ///< Whether the store has answered which daemon reads it for others that start.
    bool awaitingFirstCopy = false; ///< Whether it is undecided if the first copy of the store comes from another
                                    ///< daemon or is to be read from the store.
    async_condition firstCopy{context.get_executor()}; ///< Notified when that is decided.
    async_condition upstreamStale{
        context.get_executor()}; ///< Wakes watches suspended while an upstream daemon delivers all changes.
    bool publishingCrashes = false; ///< Whether crashes of the target are being written to the store.
    std::uint64_t crashesPublished = 0; ///< Crashes that were written in this run.
    std::set<revision_number> observedRevisions; ///< Revisions of changes received under any mirrored prefix.
    steady_time nextLoadReport{}; ///< When the next load report is due.
    steady_time drainsKnownAt{}; ///< Until when no drain of a failure domain can have begun unnoticed.
    bool storeReachable = true; ///< Whether the store responded to the last call.
    double loggedSpeed = 1; ///< Learned speed of the target in the last log line about it.
    steady_time nextGauges{}; ///< When the gauges are updated next.
    bool targetCold = false; ///< Whether the limit of a cold target was in force at the last check.
    steady_time coldSeenAt{}; ///< When the target was last known to be cold.
    log_budget coldLogBudget{1, 5, 5}; ///< Budget of log lines about the target becoming cold or warm.
    bool targetResponsive = false; ///< Whether the target beside this daemon reported lately.
    bool leaseValid = false; ///< Whether the right to grant keys was valid at the last check.
    bool wasReady = false; ///< Whether the daemon was ever ready for callers.
    bool stopping = false; ///< Whether a planned stop is in progress.
};

/**
 * Starts the listeners and all loops on the thread's context.
 * @param control Control state with shared state and port set.
 * @param why Receives the reason if something cannot be started.
 * @return Whether everything was started.
 */
bool startRosterControl(roster_control &control, last_reason &why);

/**
 * Finds the distance to the daemon at an address.
 * @param control Control state.
 * @param to Peer address of the daemon.
 * @return The distance; region if the address is not known.
 */
byte_distance findDistance(roster_control &control, const endpoint &to);

/**
 * Starts a planned stop: the daemon reports not ready, and other daemons choose other targets.
 * @param control Control state.
 */
void beginStop(roster_control &control);

} // namespace quetzalspool

#endif // ROSTER_CONTROL_H
