/** @file document_wire.h Requests between daemons to compare and fetch documents, encoded as MessagePack. */
#ifndef DOCUMENT_WIRE_H
#define DOCUMENT_WIRE_H

#include "catalog_base.h"
#include "peer_type.h"

#include <vector>

namespace quetzalspool {

/**
 * Handles a request to compare or fetch documents.
 * @param catalog Documents known here.
 * @param request Request.
 * @param now Current time, for the ages of the documents.
 * @return Response body as MessagePack; nothing if the request is malformed or has another path.
 */
std::optional<std::string> handleDocumentRequest(const catalog_state &catalog, const peer_request &request,
                                                 steady_time now);

/**
 * Makes a request that compares all documents, by the hashes of their buckets.
 * @param catalog Documents known here.
 * @return Request.
 */
peer_request makeCompareRequest(const catalog_state &catalog);

/**
 * Decodes the response to a compare request.
 * @param body Response body as MessagePack.
 * @return Keys and revisions that the other daemon has in the differing buckets; empty if the body is malformed.
 */
std::vector<std::pair<std::string, std::int64_t>> decodeDifferences(const std::string &body);

/**
 * Makes a request that fetches documents.
 * @param keys Keys of the documents.
 * @return Request.
 */
peer_request makeFetchRequest(const std::vector<std::string> &keys);

/**
 * Decodes the response to a fetch request.
 * @param body Response body as MessagePack.
 * @param askedAt Time at which the request was sent. Ages count from here, so that a slow response makes no document
 * seem younger than it is.
 * @return Documents; empty if the body is malformed.
 */
std::vector<document> decodeDocuments(const std::string &body, steady_time askedAt);

} // namespace quetzalspool

#endif // DOCUMENT_WIRE_H
