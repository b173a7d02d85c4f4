/** @file peer_wire.h Encoding of requests and outcomes as headers between daemons. */
#ifndef PEER_WIRE_H
#define PEER_WIRE_H

#include "header_profile.h"
#include "leaving_target_base.h"
#include "outcome_type.h"
#include "peer_type.h"

namespace quetzalspool {

constexpr const char *senderHeader = "qs-sender"; ///< Peer address of the daemon that forwards a request.
constexpr const char *leavingHeader = "qs-leaving"; ///< Receiver's target, in a request, or sender's target, in a
                                                    ///< response, if it is known to be leaving.
constexpr const char *routeHeader = "qs-route"; ///< Name of the route, if calls are followed or speeds learned.
constexpr const char *attemptPath = "/run"; ///< Makes an attempt at the receiver's target.
constexpr const char *cancelPath = "/cancel"; ///< Cancels an attempt unless it was handed over.
constexpr const char *comparePath = "/documents/compare"; ///< Compares documents; the response lists those that differ.
constexpr const char *storePath = "/store"; ///< Relays a call to the store for a daemon that the store rejects.
constexpr const char *changesPath = "/changes"; ///< Requests the changes of the store after the given revisions.
constexpr const char *fetchPath = "/documents/fetch"; ///< Fetches documents.

constexpr std::size_t tokenLength = 12; ///< Characters of a token, 5 bits each.

/**
 * Makes a token that few bytes encode in a header. Attempts need to differ only from others with the same request id.
 * @param draw Random number.
 * @return Token of letters, digits, "-" and "_".
 */
std::string makeToken(std::uint64_t draw);

/**
 * Encodes a request for the daemon beside its target.
 * @param request Request.
 * @param names Names of the caller's headers. An id that the header there repeats is derivable.
 * @param now Current time; the deadline is sent as the time that remains.
 * @return Message.
 */
peer_request encodeRequest(const routed_request &request, const header_profile &names, steady_time now);

/**
 * Decodes a request from another daemon.
 * @param request Message.
 * @param names Names of the caller's headers.
 * @param now Current time.
 * @return The request, or nothing if required headers are missing.
 */
std::optional<routed_request> decodeRequest(peer_request request, const header_profile &names, steady_time now);

/**
 * Encodes a leaving target as the value of a header.
 * @param target Leaving target.
 * @param now Current time; the time since which it is leaving is sent as a span.
 * @return Value of the header.
 */
std::string encodeLeavingTarget(const leaving_target &target, steady_time now);

/**
 * Decodes a leaving target.
 * @param value Value of the header; empty if there is none.
 * @param now Current time.
 * @return The target, or nothing if the value is empty or malformed.
 */
std::optional<leaving_target> decodeLeavingTarget(const std::string &value, steady_time now);

/**
 * Encodes the outcome of an attempt without a response.
 * @param outcome Outcome.
 * @return Headers.
 */
std::vector<http_header> encodeOutcome(const request_outcome &outcome);

/**
 * Decodes the outcome from the headers of a response.
 * @param headers Headers.
 * @return The outcome; unknown if there is none.
 */
request_outcome decodeOutcome(const std::vector<http_header> &headers);

/**
 * Encodes the headers of a target's response for another daemon.
 * @param headers Headers.
 * @param length Bytes of the body, if known.
 * @param loadPerSlot Load of the target.
 * @param serviceMs Expected service time at the target in milliseconds, if it is learned.
 * @return Headers, names in lower case.
 */
std::vector<http_header> encodeResponseHeaders(const std::vector<http_header> &headers,
                                               std::optional<std::uint64_t> length, double loadPerSlot,
                                               std::optional<double> serviceMs = std::nullopt);

/**
 * Encodes the headers of a store's response that is passed on to another daemon.
 * @param headers Headers of the response.
 * @return The same headers with the names in lower case, as HTTP/2 asks.
 */
std::vector<http_header> encodeStoreHeaders(const std::vector<http_header> &headers);

} // namespace quetzalspool

#endif // PEER_WIRE_H
