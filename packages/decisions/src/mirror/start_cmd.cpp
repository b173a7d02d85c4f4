/** @file start_cmd.cpp Which daemon reads the store when many start at once. */
#include "start_func.h"

#include <arpa/inet.h>
#include <charconv>
#include <xxhash.h>

namespace quetzalspool {

namespace {

constexpr milliseconds readerWait{2000}; ///< A reader that has just started is given this time to read the store.
constexpr milliseconds startLimit{3500}; ///< After this time a daemon reads the store itself in any case.
constexpr std::uint32_t maxSilentAnswers = 2; ///< A reader that does not respond so often is replaced.
constexpr std::uint32_t maxClaims = 2; ///< A daemon that loses so many claims reads the store itself.

/** Whether the named reader has had its chance: it does not respond, or has had no copy for too long. */
bool isReaderFailing(const start_state &state, steady_time now)
{
    return state.silentAnswers >= maxSilentAnswers || now - state.namedAt >= readerWait;
}

} // namespace

std::string startGroup(const domain_id &domain, const instance_id &id)
{
    const auto hash = XXH3_64bits(id.value.data(), id.value.size());
    return domain.value + "/" + std::to_string(hash % startGroupsPerDomain);
}

start_step nextStartStep(const start_state &state, steady_time now)
{
    const bool isReader = state.claimed || state.reader == state.self;
    if (isReader || !state.storeAnswers || now - state.startedAt >= startLimit) {
        return start_step::read_store;
    }
    if (state.reader && !isReaderFailing(state, now)) {
        return start_step::ask;
    }
    return state.claims < maxClaims ? start_step::claim : start_step::read_store;
}

void applyReader(start_state &state, const std::optional<endpoint> &reader, revision_number revision, steady_time now)
{
    state.reader = reader;
    state.readerRevision = revision;
    state.namedAt = now;
    state.silentAnswers = 0;
}

std::string formatReader(const endpoint &reader)
{
    return toString(reader);
}

std::optional<endpoint> parseReader(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    endpoint reader{std::string(text.substr(0, colon)), 0};
    in_addr ignored{};
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, reader.port);
    const bool valid = inet_pton(AF_INET, reader.host.c_str(), &ignored) == 1 && parsed.ec == std::errc()
        && parsed.ptr == end && reader.port != 0;
    return valid ? std::optional(reader) : std::nullopt;
}

} // namespace quetzalspool
