/** @file control_base.h What the control thread owns: cells, documents, the store, datagrams. */
#ifndef CONTROL_BASE_H
#define CONTROL_BASE_H

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

/** A document that another daemon announced and that is being fetched. */
struct pending_fetch
{
    std::set<std::string> keys; ///< Keys wanted from it.
    bool running = false; ///< Whether a fetch is under way.
};

/** State of the control thread. */
struct control_state
{
    daemon_shared *shared = nullptr; ///< Shared state.
    asio::io_context context{1}; ///< Runs on one thread.
    udp::socket socket{context}; ///< Control datagrams.
    std::array<char, 2048> received{}; ///< The datagram being received.
    std::map<cell_id, cell_state> cells; ///< Own cell, and cells of other regions in which this daemon votes.
    catalog_state catalog; ///< Documents.
    std::map<std::string, revision_number> guards; ///< Revisions of guard keys, which are not spread.
    store_client store; ///< The store.
    std::shared_ptr<peer_client> peers; ///< For comparing and fetching documents.
    std::map<endpoint, pending_fetch> fetches; ///< By peer.
    std::vector<fenced_slot> draining; ///< Slots being drained.
    served_slots publishedSlots; ///< Slots open at the gate, and those being given back.
    steady_time startedAt{}; ///< Start of the process.
    steady_time lastAnnouncementAt{}; ///< Last announcement of the target.
    steady_time nextGossip{}; ///< When to compare with another daemon next.
    bool watching = false; ///< Whether a watch on the store is open.
    bool stopping = false; ///< Whether a planned stop is under way.
    std::uint64_t datagramsSent = 0; ///< For metrics.
    std::uint64_t datagramBytes = 0; ///< Payload bytes sent and received, for metrics.
    std::uint64_t datagramsReceived = 0; ///< For metrics.
    std::mt19937_64 random{std::random_device{}()}; ///< For choosing peers.
};

} // namespace quetzalspool

#endif // CONTROL_BASE_H
