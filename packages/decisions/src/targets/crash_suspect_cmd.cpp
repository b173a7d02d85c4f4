/** @file crash_suspect_cmd.cpp Requests suspected of crashing the targets that run them. */
#include "crash_suspect_func.h"

#include <algorithm>
#include <memory>
#include <xxhash.h>

namespace quetzalspool {

namespace {

constexpr std::uint32_t pauseCrashes = 2; ///< Crashes one after another after which a request is held back shortly.
constexpr std::uint32_t quarantineCrashes = 3; ///< Crashes one after another from which a request is quarantined.
constexpr milliseconds pause{1500}; ///< Targets that end for another reason soon after one another are down by then,
                                    ///< and all daemons know of the crashes.
constexpr std::chrono::seconds clearanceTime{10}; ///< For this long after a response, other daemons' news of crashes is
                                                  ///< not believed: it may be older than the response.
constexpr std::chrono::minutes suspicionTime{10}; ///< After one crash, a request is a suspect for this long.
constexpr std::chrono::minutes firstQuarantine{10}; ///< Quarantine after `quarantineCrashes`; a target of that time may
                                                    ///< run other code.
constexpr int quarantineGrowth = 4; ///< Factor by which the quarantine grows with each further crash.
constexpr std::chrono::hours longestQuarantine{24}; ///< Upper bound of the quarantine.
constexpr std::chrono::hours retention{48}; ///< A quarantined request is forgotten this long after its last crash.
constexpr std::chrono::seconds lostRunRetention{10}; ///< A crash is noticed within this time: a target that is started
                                                     ///< again reports by then.

milliseconds quarantineTime(std::uint32_t crashes)
{
    if (crashes < quarantineCrashes) {
        return crashes < pauseCrashes ? milliseconds(0) : pause;
    }
    milliseconds time = firstQuarantine;
    for (auto more = quarantineCrashes; more < crashes && time < longestQuarantine; ++more) {
        time *= quarantineGrowth;
    }
    return std::min<milliseconds>(time, longestQuarantine);
}

bool isForgotten(const suspect_record &record, steady_time now)
{
    if (record.crashes == 0) {
        return now - record.clearedAt >= clearanceTime;
    }
    const milliseconds keep = record.crashes < quarantineCrashes ? milliseconds(suspicionTime) : retention;
    return now - record.lastCrashAt >= keep;
}

/** Makes room for another suspect: drops the forgotten ones, else the one with the fewest and oldest crashes. */
void makeRoom(crash_suspects &suspects, steady_time now)
{
    if (suspects.known.size() < suspects.capacity) {
        return;
    }
    std::erase_if(suspects.known, [&](const auto &entry) { return isForgotten(entry.second, now); });
    if (suspects.known.size() < suspects.capacity) {
        return;
    }
    const auto least = std::min_element(suspects.known.begin(), suspects.known.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second.crashes, a.second.lastCrashAt) < std::pair(b.second.crashes, b.second.lastCrashAt);
    });
    suspects.known.erase(least);
}

/** Hashes a text together with its length, so that texts can't be shifted into one another. */
void hashText(XXH3_state_t *state, std::string_view text)
{
    const std::uint64_t size = text.size();
    XXH3_128bits_update(state, &size, sizeof size);
    XXH3_128bits_update(state, text.data(), text.size());
}

/** Hashes the body like a text in one piece, however it is divided. */
void hashBody(XXH3_state_t *state, const request_content &content)
{
    std::uint64_t size = content.body.size();
    for (const auto part : content.moreBody) {
        size += part.size();
    }
    XXH3_128bits_update(state, &size, sizeof size);
    XXH3_128bits_update(state, content.body.data(), content.body.size());
    for (const auto part : content.moreBody) {
        XXH3_128bits_update(state, part.data(), part.size());
    }
}

const suspect_record *findSuspect(const crash_suspects &suspects, const request_fingerprint &fingerprint,
                                  steady_time now)
{
    const auto found = suspects.known.find(fingerprint);
    return found == suspects.known.end() || isForgotten(found->second, now) ? nullptr : &found->second;
}

} // namespace

request_fingerprint makeFingerprint(const request_content &content)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const auto text : {content.method, content.host, content.path, content.key, content.callerPool}) {
        hashText(state.get(), text);
    }
    hashBody(state.get(), content);
    const auto hash = XXH3_128bits_digest(state.get());
    return {hash.high64, hash.low64};
}

void recordSuspect(crash_suspects &suspects, const crash_suspect &suspect, steady_time now)
{
    const auto *known = findSuspect(suspects, suspect.fingerprint, now);
    if (suspect.crashes == 0 || (known != nullptr && known->crashes >= suspect.crashes)) {
        return;
    }
    if (known == nullptr) {
        makeRoom(suspects, now);
    }
    suspects.known[suspect.fingerprint] = {suspect.crashes, now, {}};
}

void recordNews(crash_suspects &suspects, const crash_suspect &suspect, steady_time now)
{
    const auto *known = findSuspect(suspects, suspect.fingerprint, now);
    const bool cleared = known != nullptr && known->crashes == 0;
    if (!cleared) {
        recordSuspect(suspects, suspect, now);
    }
}

void clearSuspect(crash_suspects &suspects, const request_fingerprint &fingerprint, steady_time now)
{
    const auto known = suspects.known.find(fingerprint);
    if (known != suspects.known.end()) {
        known->second = {0, {}, now};
    }
}

std::uint32_t crashesOf(const crash_suspects &suspects, const request_fingerprint &fingerprint, steady_time now)
{
    const auto *known = findSuspect(suspects, fingerprint, now);
    return known == nullptr ? 0 : known->crashes;
}

std::optional<milliseconds> quarantineLeft(const crash_suspects &suspects, const request_fingerprint &fingerprint,
                                           steady_time now)
{
    const auto *known = findSuspect(suspects, fingerprint, now);
    if (known == nullptr) {
        return std::nullopt;
    }
    const auto left = std::chrono::ceil<milliseconds>(known->lastCrashAt + quarantineTime(known->crashes) - now);
    return left.count() > 0 ? std::optional(left) : std::nullopt;
}

void beginRun(target_runs &runs, std::uint64_t id, const running_request &request)
{
    runs.running[id] = request;
}

void finishRun(target_runs &runs, std::uint64_t id)
{
    runs.running.erase(id);
    runs.crashed = false;
}

void abandonRun(target_runs &runs, std::uint64_t id)
{
    runs.running.erase(id);
}

void loseRun(target_runs &runs, std::uint64_t id, steady_time now)
{
    std::erase_if(runs.lost, [&](const auto &lost) { return now - lost.lostAt >= lostRunRetention; });
    const auto run = runs.running.extract(id);
    if (!run.empty()) {
        runs.lost.push_back({run.mapped(), now});
    }
}

std::vector<crash_suspect> takeCrashedRuns(target_runs &runs, steady_time now)
{
    std::vector<crash_suspect> crashed;
    if (runs.crashed) {
        return crashed;
    }
    for (const auto &lost : runs.lost) {
        if (now - lost.lostAt < lostRunRetention) {
            crashed.push_back({lost.request.fingerprint, lost.request.crashesBefore + 1});
        }
    }
    for (const auto &[id, request] : runs.running) {
        crashed.push_back({request.fingerprint, request.crashesBefore + 1});
    }
    std::stable_sort(crashed.begin(), crashed.end(),
                     [](const auto &a, const auto &b) { return a.crashes > b.crashes; });
    crashed.resize(std::min(crashed.size(), maxSuspectsOfCrash));
    runs = {};
    runs.crashed = true;
    return crashed;
}

std::vector<crash_suspect> beginIncarnation(target_runs &runs, steady_time now)
{
    auto crashed = takeCrashedRuns(runs, now);
    runs.lost.clear();
    runs.crashed = false;
    return crashed;
}

} // namespace quetzalspool
