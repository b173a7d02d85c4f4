/** @file call_priority_cmd.cpp Priority of calls, requests that targets make within others. */
#include "call_priority_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr milliseconds minHold{20}; ///< Shortest hold: calls arrive one by one, and the next is a few ms away.
constexpr milliseconds maxHold{250}; ///< Longest hold, so that a burst of calls doesn't stop fresh requests for long.
constexpr milliseconds callSmoothingTime{500}; ///< Time constant of the average of calls in flight.

/** Average of the calls in flight at the present time. */
double meanCalls(const call_estimate &calls, bool urgent, steady_time now)
{
    const auto elapsed = std::chrono::duration<double>(now - calls.updatedAt) / callSmoothingTime;
    const auto mean = calls.meanInFlight[urgent];
    return mean + (calls.inFlight[urgent] - mean) * (1 - std::exp(-elapsed));
}

} // namespace

void beginRequest(requests_in_progress &requests, const std::string &id, std::uint32_t rank)
{
    requests.ranks[id] = rank;
}

void endRequest(requests_in_progress &requests, const std::string &id)
{
    requests.ranks.erase(id);
}

std::optional<std::uint32_t> rankOfCall(const requests_in_progress &requests, const std::string &id)
{
    const auto dot = id.rfind('.');
    const auto found = dot == std::string::npos ? requests.ranks.end() : requests.ranks.find(id.substr(0, dot));
    return found == requests.ranks.end() ? std::nullopt : std::optional(found->second);
}

void holdFreshRequests(call_hold &hold, const request_urgency &urgency, milliseconds service, steady_time now)
{
    std::erase_if(hold.until, [&](const auto &entry) { return entry.second <= now; });
    auto &until = hold.until[urgency];
    until = std::max(until, now + std::clamp(service, minHold, maxHold));
}

milliseconds holdLeft(const call_hold &hold, const request_urgency &urgency, steady_time now)
{
    auto latest = now;
    for (auto entry = hold.until.begin(); entry != hold.until.end() && entry->first <= urgency; ++entry) {
        latest = std::max(latest, entry->second);
    }
    return std::chrono::ceil<milliseconds>(latest - now);
}

void countCall(call_estimate &calls, bool urgent, int change, steady_time now)
{
    for (const bool each : {false, true}) {
        calls.meanInFlight[each] = meanCalls(calls, each, now);
    }
    calls.updatedAt = now;
    calls.inFlight[urgent] += change;
}

double slotsOfCalls(const call_estimate &calls, bool urgent, steady_time now)
{
    return meanCalls(calls, true, now) + (urgent ? 0 : meanCalls(calls, false, now));
}

} // namespace quetzalspool
