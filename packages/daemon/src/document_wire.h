/** @file document_wire.h Exchange of documents between daemons. */
#ifndef DOCUMENT_WIRE_H
#define DOCUMENT_WIRE_H

#include "catalog_base.h"
#include "peer_type.h"

#include <vector>

namespace quetzalspool {

/**
 * Answers a request to compare or to fetch documents.
 * @param catalog Documents known here.
 * @param request Request.
 * @return MessagePack body, or nothing if the request is damaged or of another kind.
 */
std::optional<std::string> handleDocumentRequest(const catalog_state &catalog, const peer_request &request);

/**
 * Makes a request to compare.
 * @param catalog Documents known here.
 * @return Request.
 */
peer_request makeCompareRequest(const catalog_state &catalog);

/**
 * Reads the answer to a request to compare.
 * @param body MessagePack body.
 * @return Keys and revisions in which the other differs; empty if the body is damaged.
 */
std::vector<std::pair<std::string, std::int64_t>> decodeDifferences(const std::string &body);

/**
 * Makes a request to fetch.
 * @param keys Keys wanted.
 * @return Request.
 */
peer_request makeFetchRequest(const std::vector<std::string> &keys);

/**
 * Reads the answer to a request to fetch.
 * @param body MessagePack body.
 * @return Documents; empty if the body is damaged.
 */
std::vector<document> decodeDocuments(const std::string &body);

} // namespace quetzalspool

#endif // DOCUMENT_WIRE_H
