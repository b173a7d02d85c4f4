/** @file crash_suspect_func.h Requests suspected of crashing the targets that run them.
 *
 * When a target crashes, all requests that it was running are suspects. A suspect runs at most once at a time at a
 * target, so that the next crash tells it from the other suspects. A response clears it. If a second target crashes
 * under a suspect, no daemon hands it to a target for a moment; after a third, it is quarantined for a time that grows
 * with each further crash. */
#ifndef CRASH_SUSPECT_FUNC_H
#define CRASH_SUSPECT_FUNC_H

#include "crash_suspect_base.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzalspool {

/** What makes up a request for its fingerprint. Texts are not copied. */
struct request_content
{
    std::string_view method; ///< Method.
    std::string_view host; ///< Host.
    std::string_view path; ///< Path and query.
    std::string_view key; ///< Key, for keyed pools.
    std::string_view callerPool; ///< Pool of the target on whose instance the request originated.
    std::string_view body; ///< Body.
    std::vector<std::string_view> moreBody; ///< Rest of a body that is not stored in one piece.
};

/**
 * Hashes a request.
 * @param content What it asks for, and for whom.
 * @return Its fingerprint.
 */
request_fingerprint makeFingerprint(const request_content &content);

/**
 * Records that targets crashed while they ran a request. What is known already changes nothing.
 * @param suspects Suspects.
 * @param suspect The request, and the crashes.
 * @param now Present time.
 */
void recordSuspect(crash_suspects &suspects, const crash_suspect &suspect, steady_time now);

/**
 * Records what another daemon says about a request, unless a target has responded to it lately.
 * @param suspects Suspects.
 * @param suspect The request, and the crashes.
 * @param now Present time.
 */
void recordNews(crash_suspects &suspects, const crash_suspect &suspect, steady_time now);

/**
 * Clears a request: a target has responded to it.
 * @param suspects Suspects.
 * @param fingerprint The request.
 * @param now Present time.
 */
void clearSuspect(crash_suspects &suspects, const request_fingerprint &fingerprint, steady_time now);

/**
 * Returns of how many crashes a request is suspected.
 * @param suspects Suspects.
 * @param fingerprint The request.
 * @param now Present time.
 * @return Number of crashes, one after another; 0 if it is no suspect.
 */
std::uint32_t crashesOf(const crash_suspects &suspects, const request_fingerprint &fingerprint, steady_time now);

/**
 * Returns for how long a request must not be handed to a target.
 * @param suspects Suspects.
 * @param fingerprint The request.
 * @param now Present time.
 * @return Time left; nothing if it is not quarantined.
 */
std::optional<milliseconds> quarantineLeft(const crash_suspects &suspects, const request_fingerprint &fingerprint,
                                           steady_time now);

/**
 * Records that a request is handed to the local target.
 * @param runs Runs of the target.
 * @param id Id under which admission control knows the request.
 * @param request The request.
 */
void beginRun(target_runs &runs, std::uint64_t id, const running_request &request);

/**
 * Records that the target has responded to a request.
 * @param runs Runs of the target.
 * @param id Id of the request; may be unknown.
 */
void finishRun(target_runs &runs, std::uint64_t id);

/**
 * Records that a request was handed to nobody, or that the target refused it.
 * @param runs Runs of the target.
 * @param id Id of the request; may be unknown.
 */
void abandonRun(target_runs &runs, std::uint64_t id);

/**
 * Records that the connection of a request ended without a response, also because this daemon gave up waiting. Whether
 * the target crashes is not known yet.
 * @param runs Runs of the target.
 * @param id Id of the request; may be unknown.
 * @param now Present time.
 */
void loseRun(target_runs &runs, std::uint64_t id, steady_time now);

/**
 * Records that the target has crashed. Further evidence of the same crash changes nothing: requests that were handed
 * over meanwhile reached nobody.
 * @param runs Runs of the target.
 * @param now Present time.
 * @return Requests that it was running, each with one crash more than before.
 */
std::vector<crash_suspect> takeCrashedRuns(target_runs &runs, steady_time now);

/**
 * Records that another incarnation of the target has reported, so the one before has ended.
 * @param runs Runs of the target.
 * @param now Present time.
 * @return Requests that it was running, if its end was not known.
 */
std::vector<crash_suspect> beginIncarnation(target_runs &runs, steady_time now);

/**
 * Formats a fingerprint.
 * @param fingerprint Fingerprint.
 * @return 32 hexadecimal digits.
 */
std::string toString(const request_fingerprint &fingerprint);

/**
 * Formats suspects for other daemons.
 * @param suspects Requests that a target was running when it crashed.
 * @return JSON text.
 */
std::string formatSuspects(const std::vector<crash_suspect> &suspects);

/**
 * Parses suspects.
 * @param text JSON text.
 * @param why Receives the reason if it is malformed.
 * @return Suspects, or nothing if the text is malformed.
 */
std::optional<std::vector<crash_suspect>> parseSuspects(std::string_view text, last_reason &why);

} // namespace quetzalspool

#endif // CRASH_SUSPECT_FUNC_H
