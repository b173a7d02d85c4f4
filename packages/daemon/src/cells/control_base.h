/** @file control_base.h State owned by the control thread: cells, documents, store client, datagram socket. */
#ifndef CONTROL_BASE_H
#define CONTROL_BASE_H

#include "byte_distance_func.h"
#include "catalog_base.h"
#include "cell_base.h"
#include "peer_client.h"
#include "shared_base.h"
#include "store_func.h"

#include <array>
#include <random>
#include <set>

namespace quetzalspool {

/** Prefix of all keys in the store. */
constexpr const char *storePrefix = "/quetzalspool/";

/** Documents to be fetched from one daemon. */
struct pending_fetch
{
    std::set<std::string> keys; ///< Keys of the documents to request.
    bool running = false; ///< Whether a fetch is in progress.
};

/** State of the control thread. */
struct control_state
{
    daemon_shared *shared = nullptr; ///< Shared state.
    asio::io_context context{1}; ///< Run by one thread.
    udp::socket socket{context}; ///< Socket for control datagrams.
    std::array<char, 2048> received{}; ///< Buffer for the datagram being received.
    std::map<cell_id, cell_state> cells; ///< The own cell, and cells of other regions in which this daemon is a voter.
    catalog_state catalog; ///< Documents known here.
    std::map<std::string, revision_number> guards; ///< Revisions of guard keys, which are not replicated.
    store_client store; ///< Client of the store.
    std::shared_ptr<peer_client> peers; ///< Connections for comparing and fetching documents.
    steady_time storeKnownAt{}; ///< When this daemon last knew all rows in the store: start of a complete read, or
                                ///< arrival of a watch's changes. Rows that it reads next were stored later.
    known_distances distances; ///< Distances to other daemons, for the account of the bytes sent.
    std::map<endpoint, pending_fetch> fetches; ///< Pending fetches by the daemon to fetch from.
    std::vector<fenced_slot> draining; ///< Slots that wait until none of their requests is in flight.
    served_slots publishedSlots; ///< Slots that admission control was last set to serve, and those being released.
    steady_time startedAt{}; ///< Start of the process.
    steady_time lastAnnouncementAt{}; ///< Time of the last announcement of the target.
    steady_time nextGossip{}; ///< When to send the next digest.
    bool watching = false; ///< Whether a watch on the store is open.
    bool stopping = false; ///< Whether a planned stop is in progress.
    std::uint64_t datagramsSent = 0; ///< Datagrams sent, for metrics.
    std::uint64_t datagramBytes = 0; ///< Payload bytes sent and received, for metrics.
    std::uint64_t datagramsReceived = 0; ///< Datagrams received, for metrics.
    std::mt19937_64 random{std::random_device{}()}; ///< Random numbers, for choosing peers and making ids.
};

} // namespace quetzalspool

#endif // CONTROL_BASE_H
