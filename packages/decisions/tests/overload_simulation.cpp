/** @file overload_simulation.cpp Two services under simulated time, of which one calls the other, and their callers. */
#include "overload_simulation.h"

#include "admission_func.h"
#include "call_priority_func.h"
#include "call_throttle_func.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>

namespace quetzalspool::test {

namespace {

constexpr std::uint32_t slotsPerTarget = 8; ///< Concurrency of each target.
constexpr double retryBudgetPerRequest = 0.1; ///< Retries at another target per request, as in the daemon.
constexpr double retryBudgetCap = 10; ///< Most retries that are saved up.
constexpr std::size_t maxTargets = 3; ///< Targets that a request is sent to at most.

std::string routeOf(std::size_t kind)
{
    return "route-" + std::to_string(kind);
}

} // namespace

struct overload_simulation::simulated_request
{
    std::size_t kind = 0;
    std::size_t service = 0;
    bool isCall = false;
    request_ptr parent;
    admission_request admission;
    std::size_t target = 0;
    std::set<std::size_t> tried;
    steady_time arrivedAt{};
    steady_time goal{};
    steady_time deadline{};
    steady_time startedAt{};
    std::vector<milliseconds> work;
    std::size_t stage = 0;
    int callsLeft = 0;
    int returns = 0;
    bool failsByItself = false;
    std::shared_ptr<std::vector<caller_counts>> counts;
};

struct overload_simulation::simulated_target
{
    admission_state admission;
    call_throttle throttle;
};

overload_simulation::overload_simulation(const overload_setup &given)
    : setup(given)
{
    for (const auto number : setup.targets) {
        auto &targets = services.emplace_back(number);
        for (auto &target : targets) {
            target.admission.hasTarget = true;
            target.admission.enforceGoals = true;
            target.admission.limits.concurrency = slotsPerTarget;
            target.admission.limits.queue = 32;
            target.admission.serviceMs = 50;
            target.admission.announcedAt = now - std::chrono::seconds(60);
        }
    }
    retryTokens.resize(services.size(), retryBudgetCap);
}

overload_simulation::~overload_simulation() = default;

std::shared_ptr<const std::vector<caller_counts>> overload_simulation::run(const std::vector<double> &factors,
                                                                           milliseconds span)
{
    counts = std::make_shared<std::vector<caller_counts>>(setup.kinds.size());
    const auto until = now + span;
    while (now < until) {
        for (std::size_t kind = 0; kind < setup.kinds.size(); ++kind) {
            const auto perStep = setup.kinds[kind].perSecond * factors[kind] / 1000;
            for (int left = std::poisson_distribution<int>(perStep)(random); left > 0; --left) {
                arrive(kind);
            }
        }
        step();
    }
    return counts;
}

int overload_simulation::refusedCalls() const
{
    return callsRefused;
}

int overload_simulation::throttledRequests() const
{
    return throttled;
}

void overload_simulation::schedule(milliseconds after, std::function<void()> action)
{
    timers.emplace(now + after, std::move(action));
}

void overload_simulation::step()
{
    now += milliseconds(1);
    while (!timers.empty() && timers.begin()->first <= now) {
        const auto action = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        action();
    }
    applyDecisions();
}

void overload_simulation::arrive(std::size_t kind)
{
    const auto &properties = setup.kinds[kind];
    const auto request = std::make_shared<simulated_request>();
    request->kind = kind;
    request->service = properties.service;
    request->arrivedAt = now;
    request->goal = now + properties.goal;
    request->deadline = now + properties.deadline;
    request->callsLeft = std::bernoulli_distribution(properties.callShare)(random) ? 2 : 0;
    request->failsByItself = std::bernoulli_distribution(properties.failShare)(random);
    request->admission.rank = properties.rank;
    const auto mean = static_cast<double>(properties.work.count()) * drawSlowdown();
    const auto work = std::lognormal_distribution<>(std::log(mean) - 0.045, 0.3)(random);
    // A target calls others in the course of its work.
    for (const auto share : {0.4, 0.4, 0.2}) {
        request->work.emplace_back(std::llround(work * share));
    }
    request->counts = counts;
    ++(*counts)[kind].asked;
    submit(request);
}

void overload_simulation::submit(const request_ptr &request)
{
    auto &tokens = retryTokens[request->service];
    tokens = std::min(tokens + retryBudgetPerRequest, retryBudgetCap);
    request->tried.clear();
    request->admission.goal = request->goal;
    request->admission.deadline = request->deadline;
    const auto first = random() % services[request->service].size();
    submitTo(request, first);
}

/** Sends a request to the less loaded of a given target and another one that was not tried yet. */
void overload_simulation::submitTo(const request_ptr &request, std::size_t at)
{
    auto &targets = services[request->service];
    const auto other = random() % targets.size();
    const bool less = loadPerSlot(targets[other].admission, now) < loadPerSlot(targets[at].admission, now);
    request->target = less && !request->tried.contains(other) ? other : at;
    request->tried.insert(request->target);
    request->admission.id = ++lastId;
    auto &target = targets[request->target];
    milliseconds retryAfter{0};
    if (throttles(request, target, retryAfter)) {
        refuse(request, retryAfter);
        return;
    }
    const auto result = admit(target.admission, request->admission, now);
    if (result.admitted) {
        begin(request);
        return;
    }
    if (result.queued) {
        waiting[request->admission.id] = request;
        return;
    }
    auto &tokens = retryTokens[request->service];
    if (tokens >= 1 && request->tried.size() < std::min(maxTargets, targets.size())) {
        tokens -= 1;
        for (std::size_t next = 0; next < targets.size(); ++next) {
            if (!request->tried.contains(next)) {
                submitTo(request, next);
                return;
            }
        }
    }
    refuse(request, result.retryAfter);
}

bool overload_simulation::throttles(const request_ptr &request, simulated_target &target, milliseconds &retryAfter)
{
    if (!setup.followCalls || request->isCall) {
        return false;
    }
    const fresh_request fresh{request->returns > 0, request->goal - now,
                              std::chrono::duration<double, std::milli>(target.admission.serviceMs)};
    const auto decision = throttleFresh(target.throttle, routeOf(request->kind), fresh, now);
    throttled += decision.admitted ? 0 : 1;
    retryAfter = decision.retryAfter;
    return !decision.admitted;
}

void overload_simulation::begin(const request_ptr &request)
{
    request->startedAt = now;
    request->stage = 0;
    advanceWork(request);
}

void overload_simulation::advanceWork(const request_ptr &request)
{
    if (request->stage == request->work.size()) {
        finish(request, !request->failsByItself);
        return;
    }
    const auto work = request->work[request->stage++];
    schedule(std::max(work, milliseconds(1)), [this, request] {
        if (request->callsLeft > 0) {
            --request->callsLeft;
            makeCall(request);
        } else {
            advanceWork(request);
        }
    });
}

void overload_simulation::makeCall(const request_ptr &parent)
{
    const auto call = std::make_shared<simulated_request>();
    call->isCall = true;
    call->parent = parent;
    call->service = setup.calls.service;
    call->arrivedAt = now;
    call->goal = now + setup.calls.goal;
    call->deadline = now + setup.calls.deadline;
    call->admission.rank = setup.calls.rank;
    if (setup.followCalls) {
        call->admission.call = true;
        call->admission.rank = parent->admission.rank;
    }
    const auto mean = static_cast<double>(setup.calls.work.count()) * drawSlowdown();
    const auto work = std::lognormal_distribution<>(std::log(mean) - 0.045, 0.3)(random);
    call->work.emplace_back(std::llround(work));
    submit(call);
}

double overload_simulation::drawSlowdown()
{
    if (setup.slowShare <= 0) {
        return 1;
    }
    return std::bernoulli_distribution(setup.slowShare)(random) ? slowFactor : 1;
}

void overload_simulation::endCall(const request_ptr &call, bool answered)
{
    const auto parent = call->parent;
    if (!answered) {
        recordFailedCall(services[parent->service][parent->target].throttle, now);
    }
    if (answered && now <= call->deadline) {
        advanceWork(parent);
    } else {
        finish(parent, false);
    }
}

void overload_simulation::finish(const request_ptr &request, bool answered)
{
    auto &target = services[request->service][request->target];
    finishRequest(target.admission, request->admission, true,
                  std::chrono::duration_cast<milliseconds>(now - request->startedAt), now);
    if (request->isCall) {
        endCall(request, answered);
    } else {
        recordEnd(target.throttle, routeOf(request->kind), !answered, request->startedAt, now);
        record(request, answered);
    }
}

void overload_simulation::record(const request_ptr &request, bool answered)
{
    auto &kind = (*request->counts)[request->kind];
    const bool inTime = answered && now <= request->goal;
    ++(!answered ? kind.failed : inTime ? kind.inTime : kind.late);
    kind.returnedInTime += inTime && request->returns > 0 ? 1 : 0;
}

void overload_simulation::refuse(const request_ptr &request, milliseconds retryAfter)
{
    if (request->isCall) {
        ++callsRefused;
        endCall(request, false);
        return;
    }
    // A caller comes back as it is told, but not after a third of the time that it has left.
    const auto left = std::chrono::duration_cast<milliseconds>(request->deadline - now);
    if (request->returns == setup.returns || left <= milliseconds(0)) {
        ++(*request->counts)[request->kind].refused;
        return;
    }
    (*request->counts)[request->kind].returned += request->returns++ == 0 ? 1 : 0;
    schedule(std::max(std::min(retryAfter, left / 3), milliseconds(1)), [this, request] { submit(request); });
}

void overload_simulation::applyDecisions()
{
    for (auto &targets : services) {
        for (auto &target : targets) {
            for (const auto &decided : advanceQueue(target.admission, now)) {
                const auto request = waiting.at(decided.id);
                waiting.erase(decided.id);
                if (decided.result.admitted) {
                    begin(request);
                } else {
                    refuse(request, decided.result.retryAfter);
                }
            }
        }
    }
}

} // namespace quetzalspool::test
