/** @file peer_wire.h How requests and outcomes are written as headers between daemons. */
#ifndef PEER_WIRE_H
#define PEER_WIRE_H

#include "outcome_type.h"
#include "peer_type.h"

namespace quetzalspool {

constexpr const char *senderHeader = "qs-sender"; ///< Where the daemon that passes a request on listens for others.
constexpr const char *attemptPath = "/run"; ///< Run a request at the target beside you.
constexpr const char *cancelPath = "/cancel"; ///< Cancel an attempt unless it was handed over.
constexpr const char *comparePath = "/documents/compare"; ///< Which documents differ.
constexpr const char *storePath = "/store"; ///< Make a call to the store for a daemon that it turns away.
constexpr const char *changesPath = "/changes"; ///< Tell me what changed in the store since what I know.
constexpr const char *fetchPath = "/documents/fetch"; ///< Send these documents.

/**
 * Writes a request for the daemon beside its target.
 * @param request Request.
 * @param now Present time, to turn the deadline into what is left of it.
 * @return Message.
 */
peer_request encodeRequest(const routed_request &request, steady_time now);

/**
 * Reads a request that another daemon sent.
 * @param request Message.
 * @param now Present time.
 * @return The request, or nothing if headers are missing.
 */
std::optional<routed_request> decodeRequest(peer_request request, steady_time now);

/**
 * Writes an outcome without an answer.
 * @param outcome Outcome.
 * @return Headers.
 */
std::vector<http_header> encodeOutcome(const request_outcome &outcome);

/**
 * Reads an outcome from the head of an answer.
 * @param headers Headers.
 * @return The outcome; unknown if there is none.
 */
request_outcome decodeOutcome(const std::vector<http_header> &headers);

/**
 * Turns a target's headers into those of the answer between daemons.
 * @param headers Headers.
 * @param length Bytes of the body, if known.
 * @param loadPerSlot How busy the target is.
 * @return Headers, names in lower case.
 */
std::vector<http_header> encodeResponseHeaders(const std::vector<http_header> &headers,
                                               std::optional<std::uint64_t> length, double loadPerSlot);

} // namespace quetzalspool

#endif // PEER_WIRE_H
