/** @file roster_control.h The control thread of a daemon whose keys are owned by leases of the store. */
#ifndef ROSTER_CONTROL_H
#define ROSTER_CONTROL_H

#include "async_condition.h"
#include "exchange_base.h"
#include "mirror_type.h"
#include "peer_client.h"
#include "roster_base.h"
#include "roster_port.h"
#include "shared_base.h"

#include <array>
#include <random>

namespace quetzalspool {

/** Keys of the store that are followed: all under one prefix. */
struct mirrored_prefix
{
    mirrored_keys mirror; ///< What is known of them.
    bool coalesces = false; ///< Whether changes in quick succession may come together.
    milliseconds initialWatchDelay{0}; ///< Between the first read and the first watch.
    revision_number
        emptyCatchUpRevision; ///< Revision at which the changes after those seen were asked for and none was told.
    std::optional<steady_time> watchedSince; ///< Since when it is watched at the store; nothing while it is not.
    std::function<void()> cancelWatch; ///< Ends the watch under way, which is then made anew; empty if there is none.
    std::function<asio::awaitable<std::optional<range_result>>(last_reason &why)>
        readAll; ///< Reads all keys; gives nothing without an answer.
    std::function<void(const watch_event &)> onEvent; ///< Takes one change.
    std::function<void()> onListed; ///< Called when all keys have been taken.
};

/** The I/O of asking other daemons for changes, and of answering those that ask this one. */
struct change_exchange
{
    exchange_state state; ///< Decisions.
    milliseconds initialWatchDelay{0}; ///< Wait before the first watch of the roster: where a whole fleet starts, other
                                       ///< daemons show up meanwhile and tell of changes from then on.
    std::map<endpoint, steady_time> backoffUntil; ///< Daemons that did not answer, and until when they are not asked.
    std::uint64_t notifiedVersion = 0; ///< Version at which those that wait were last woken.
    std::vector<std::shared_ptr<asio::steady_timer>> longPolls; ///< Questions that wait for a change.
};

/** What the control thread owns. */
struct roster_control
{
    daemon_shared *shared = nullptr; ///< Shared state.
    asio::io_context context{1}; ///< Runs on one thread.
    roster_port port; ///< The deployment.
    roster_state state; ///< Decisions.
    store_lease_id lease; ///< Store lease under the own entry; 0 while none.
    std::shared_ptr<const route_table> tables; ///< Tables in force; null before the first.
    revision_number tablesRevision; ///< Their revision in the store.
    std::vector<std::pair<pool_id, slot_range>> publishedRanges; ///< Runs open at the gate.
    udp::socket socket{context}; ///< Datagrams about loads.
    std::array<char, 8192> received{}; ///< The datagram being received.
    std::shared_ptr<peer_client> peers =
        makePeerClient(context.get_executor()); ///< For calls to the store through others.
    std::mt19937_64 random{std::random_device{}()}; ///< For choosing among them.
    std::vector<std::shared_ptr<mirrored_prefix>>
        mirroredPrefixes; ///< What is followed; the same order in all daemons.
    change_exchange exchange; ///< Changes told by and to other daemons.
    async_condition upstreamStale{
        context.get_executor()}; ///< Wakes watches that rest while other daemons tell of all changes.
    std::set<revision_number> observedRevisions; ///< Revisions of changes that were told under any followed prefix.
    steady_time nextLoadReport{}; ///< When to tell about the own load next.
    bool storeReachable = true; ///< Whether the last call to the store was answered.
    steady_time nextGauges{}; ///< When to set the gauges next.
    bool targetResponsive = false; ///< Whether the target beside this daemon reported lately.
    bool leaseValid = false; ///< Whether the right to grant was valid at the last look.
    bool wasReady = false; ///< Whether callers were taken at any time.
    bool stopping = false; ///< Whether a planned stop is under way.
};

/**
 * Starts all loops on the thread's context.
 * @param control Control state with shared state and port set.
 * @param why Receives the reason if something can't be started.
 * @return Whether it was started.
 */
bool startRosterControl(roster_control &control, last_reason &why);

/**
 * Starts a planned stop: no new callers, other daemons choose other targets.
 * @param control Control state.
 */
void beginStop(roster_control &control);

} // namespace quetzalspool

#endif // ROSTER_CONTROL_H
