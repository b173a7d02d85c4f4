/** @file call_throttle_cmd.cpp Throttles fresh requests whose calls can't be served. */
#include "call_throttle_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr milliseconds adjustInterval{200}; ///< Interval of adjustments of a share.
constexpr std::uint32_t minEnded = 4; ///< Requests in an interval below which it lasts longer: single failures of few
                                      ///< requests say little.
constexpr milliseconds maxAdjustInterval{1000}; ///< Longest interval, whatever the number of requests.
constexpr milliseconds idleReset{2000}; ///< A route without requests for this long is fully admitted again: what was
                                        ///< learned of its calls is out of date.
constexpr double failureLimit = 0.1; ///< Share of failed requests above which the admitted share decreases.
constexpr double maxDecrease = 0.5; ///< Smallest factor on the share in one adjustment.
constexpr double minShare = 0.05; ///< Smallest share, so that a recovery is noticed.
constexpr double firstIncrease = 0.03; ///< First additive increase after a decrease.
constexpr double maxIncrease = 0.2; ///< Largest additive increase; increases double up to it without failures.
constexpr double maxCredit = 2; ///< Most requests admitted in succession after a pause.
constexpr double returnCredit = 4; ///< Callers that came back and are admitted ahead of their turn at most.
constexpr std::size_t maxFailedCalls = 256; ///< Bound of the remembered failed calls.
constexpr std::chrono::seconds failedCallAge{5}; ///< Failed calls are forgotten after this time.
constexpr milliseconds minReturn{100}; ///< Shortest time after which a caller should come back.
constexpr milliseconds returnWindow{1000}; ///< Returns are spread over this time beyond the shortest, at full refusal.
constexpr double serviceMargin = 1.5; ///< Factor on the expected service time that a request must have left.
constexpr double goldenRatio = 0.6180339887; ///< Multiples of it, modulo 1, are spread evenly.

/** Uses up one failed call that lies in the time of a failed request. */
bool explainsFailure(call_throttle &throttle, steady_time startedAt)
{
    const auto found = std::lower_bound(throttle.failedCalls.begin(), throttle.failedCalls.end(), startedAt);
    if (found == throttle.failedCalls.end()) {
        return false;
    }
    throttle.failedCalls.erase(found);
    return true;
}

void adjust(route_throttle &route)
{
    const auto failing = static_cast<double>(route.failed) / std::max<std::uint32_t>(route.ended, 1);
    if (route.ended > 0 && failing > failureLimit) {
        // The share of requests that succeeded, but not all of the excess at once: failures of the next interval
        // belong in part to requests admitted before.
        route.share = std::max(route.share * std::max(1 - failing / 2, maxDecrease), minShare);
        route.increase = firstIncrease;
    } else {
        route.share = std::min(route.share + route.increase, 1.0);
        route.increase = std::min(route.increase * 2, maxIncrease);
    }
    route.ended = 0;
    route.failed = 0;
}

/** Adjusts the share if the interval is over. Returns whether the route is fully admitted again. */
bool adjustWhenDue(route_throttle &route, steady_time now)
{
    const auto elapsed = now - route.adjustedAt;
    if (elapsed >= idleReset) {
        return true;
    }
    const bool enough = route.failed == 0 || route.ended >= minEnded;
    if (elapsed >= maxAdjustInterval || (elapsed >= adjustInterval && enough)) {
        adjust(route);
        route.adjustedAt = now;
    }
    return route.share >= 1 && route.failed == 0;
}

/** Time after which a refused caller should come back; returns are spread. */
milliseconds planReturn(route_throttle &route, std::chrono::duration<double, std::milli> spare)
{
    const auto position = std::fmod(++route.refused * goldenRatio, 1.0);
    const auto window = std::clamp(spare.count() / 2 - minReturn.count(), 0.0, double(returnWindow.count()));
    return minReturn + milliseconds(std::llround(position * window));
}

} // namespace

void recordFailedCall(call_throttle &throttle, steady_time now)
{
    while (!throttle.failedCalls.empty()
           && (throttle.failedCalls.size() >= maxFailedCalls || now - throttle.failedCalls.front() > failedCallAge)) {
        throttle.failedCalls.pop_front();
    }
    throttle.failedCalls.push_back(now);
}

void recordEnd(call_throttle &throttle, const std::string &name, bool failed, steady_time startedAt, steady_time now)
{
    const bool byCall = failed && explainsFailure(throttle, startedAt);
    const auto found = throttle.routes.find(name);
    if (found == throttle.routes.end() && !byCall) {
        return;
    }
    auto &route = found == throttle.routes.end() ? throttle.routes[name] : found->second;
    if (found == throttle.routes.end()) {
        route.adjustedAt = now;
    }
    ++route.ended;
    route.failed += byCall ? 1 : 0;
    if (adjustWhenDue(route, now)) {
        throttle.routes.erase(name);
    }
}

throttle_decision throttleFresh(call_throttle &throttle, const std::string &name, const fresh_request &request,
                                steady_time now)
{
    const auto found = throttle.routes.find(name);
    if (found == throttle.routes.end()) {
        return {};
    }
    auto &route = found->second;
    if (adjustWhenDue(route, now)) {
        throttle.routes.erase(found);
        return {};
    }
    route.credit = std::min(route.credit + (request.returned ? 0 : route.share), maxCredit);
    const bool inTime = request.left >= request.service * serviceMargin;
    if (inTime && route.credit >= (request.returned ? 1 - returnCredit : 1)) {
        route.credit -= 1;
        return {};
    }
    return {false, planReturn(route, request.left - request.service)};
}

double admittedShare(const call_throttle &throttle, const std::string &name)
{
    const auto found = throttle.routes.find(name);
    return found == throttle.routes.end() ? 1 : found->second.share;
}

} // namespace quetzalspool
