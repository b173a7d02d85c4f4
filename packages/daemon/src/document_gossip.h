/** @file document_gossip.h Spreading documents to and from other daemons. */
#ifndef DOCUMENT_GOSSIP_H
#define DOCUMENT_GOSSIP_H

#include "control_base.h"

namespace quetzalspool {

/** Where a document came from, which decides to whom it is announced. */
enum class document_source
{
    store, ///< Read, watched or written here.
    own_region, ///< From a daemon of this region.
    other_region, ///< From a daemon of another region.
};

/**
 * Takes a document, if it is newer, and announces it.
 * @param control Control state.
 * @param offered Document.
 * @param source Where it came from.
 * @return Whether it was taken.
 */
bool installDocument(control_state &control, document offered, document_source source);

/**
 * Takes word of a document from another daemon.
 * @param control Control state.
 * @param message Announcement.
 * @param from Who sent it.
 */
void handleDocumentAnnouncement(control_state &control, const announce_document_message &message, const endpoint &from);

/**
 * Takes another daemon's digest; if it differs, the documents are compared.
 * @param control Control state.
 * @param message Digest.
 * @param from Who sent it.
 */
void handleDigest(control_state &control, const digest_message &message, const endpoint &from);

/**
 * Sends a digest to another daemon now and then.
 * @param control Control state.
 * @param now Present time.
 */
void gossip(control_state &control, steady_time now);

/**
 * Tells the members and voters of a cell of its new record at once, since they act on it.
 * @param control Control state.
 * @param taken Document.
 * @param record The record in it.
 */
void announceToCell(control_state &control, const document &installed, const cell_record &record);

/**
 * Compares all documents with another daemon and takes what is newer there.
 * @param control Control state.
 * @param with Peer port of the other daemon.
 * @return Whether it answered.
 */
asio::awaitable<bool> compareCatalogs(control_state &control, endpoint peer);

} // namespace quetzalspool

#endif // DOCUMENT_GOSSIP_H
