/** @file document_gossip.h Replication of documents between daemons: announcements, digests, fetches. */
#ifndef DOCUMENT_GOSSIP_H
#define DOCUMENT_GOSSIP_H

#include "control_base.h"

namespace quetzalspool {

/** Where a document came from, which determines the daemons it is announced to. */
enum class document_source
{
    store, ///< Read from the store, received by a watch of it, or written to it by this daemon.
    own_region, ///< Received from a daemon of the own region.
    other_region, ///< Received from a daemon of another region.
};

/**
 * Installs a document if it is newer than the known one: updates the catalog, the routing view and the own cell, and
 * announces the document.
 * @param control Control state.
 * @param offered Document.
 * @param source Where it came from.
 * @return Whether it was installed; false if it is not newer or was refused.
 */
bool installDocument(control_state &control, document offered, document_source source);

/**
 * Handles the announcement of a document: fetches it from the sender if it is newer than the known one.
 * @param control Control state.
 * @param message Announcement.
 * @param from Sender.
 */
void handleDocumentAnnouncement(control_state &control, const announce_document_message &message, const endpoint &from);

/**
 * Handles another daemon's digest: compares the documents if the digests differ.
 * @param control Control state.
 * @param message Digest.
 * @param from Sender.
 */
void handleDigest(control_state &control, const digest_message &message, const endpoint &from);

/**
 * Sends a digest to a randomly chosen daemon if the gossip interval has passed.
 * @param control Control state.
 * @param now Current time.
 */
void gossip(control_state &control, steady_time now);

/**
 * Announces a new cell record to all members and voters of the cell at once, since they act on it.
 * @param control Control state.
 * @param installed Document.
 * @param record Cell record that the document holds.
 */
void announceToCell(control_state &control, const document &installed, const cell_record &record);

/**
 * Compares all documents with another daemon and starts a fetch of those that are newer there.
 * @param control Control state.
 * @param peer Address of the other daemon, with its port for peers.
 * @return Whether the other daemon responded.
 */
asio::awaitable<bool> compareCatalogs(control_state &control, endpoint peer);

} // namespace quetzalspool

#endif // DOCUMENT_GOSSIP_H
